//! What clients may make a node hold: memory, connections and time.
//!
//! [`Budget`] counts the memory of buffers and answers and names the connection to close
//! when it is short. [`Gate`] counts connections and decides which of them are accepted.
//! Both only decide; their callers close.

mod budget;
mod error;
mod gate;

pub use budget::{Account, Budget, FREE_BYTES, Resized};
pub use error::Reason;
pub use gate::{Admission, Gate, Ticket};

use std::time::Duration;

/// Part of the VM's memory that clients may make the node hold.
const MEMORY_DIVISOR: usize = 4;

/// Part of the VM's memory that values and prepared statements may use: the limit that holds
/// without the setting, for the smallest VM (160 MB).
const CONTEXTS_DIVISOR: usize = 5;

/// Minimum budget in bytes: a few messages of the maximum length.
const MIN_BUDGET: usize = 8 << 20;

/// Part of the budget that one answer may use.
const ANSWER_DIVISOR: usize = 8;

/// Minimum limit of one answer in bytes: a row of the maximum length fits.
const MIN_ANSWER: usize = 2 << 20;

/// Part of the descriptors that is kept for servers, other nodes, the store and files.
const RESERVE_DIVISOR: usize = 4;

/// Minimum number of descriptors that are kept.
const MIN_RESERVE: usize = 256;

/// Part of the kept descriptors that connections of other nodes may use.
const PEERS_DIVISOR: usize = 2;

/// Timeout for a first message, the rest of a message, and an unread answer, if the
/// settings do not say: a message of the maximum length arrives in time at 100 KiB/s.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Limits on what clients may make a node hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Memory that all clients together may use beyond [`FREE_BYTES`] of each connection,
    /// in bytes; none if unlimited.
    pub memory: Option<usize>,
    /// Memory that the values and prepared statements of all sessions may use, in bytes; none
    /// if it does not depend on that of the VM.
    pub contexts: Option<usize>,
    /// Maximum number of callers; none if unlimited.
    pub callers: Option<usize>,
    /// Maximum number of connections of other nodes; none if unlimited.
    pub peers: Option<usize>,
    /// Timeout for the first message of a connection.
    pub first_message: Duration,
    /// Timeout for the rest of a message that has begun.
    pub message: Duration,
    /// Timeout for a part of an answer that the client does not read.
    pub unread: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self::new(None, None)
    }
}

impl Limits {
    /// Derives the limits from the memory of the VM in bytes and from the number of
    /// descriptors that the process may have. What is none is not limited.
    #[must_use]
    pub fn new(memory: Option<usize>, descriptors: Option<usize>) -> Self {
        let reserve = |descriptors: usize| (descriptors / RESERVE_DIVISOR).max(MIN_RESERVE);
        Self {
            memory: memory.map(|memory| (memory / MEMORY_DIVISOR).max(MIN_BUDGET)),
            contexts: memory.map(|memory| memory / CONTEXTS_DIVISOR),
            callers: descriptors.map(|all| all.saturating_sub(reserve(all)).max(1)),
            peers: descriptors.map(|all| reserve(all) / PEERS_DIVISOR),
            first_message: DEFAULT_TIMEOUT,
            message: DEFAULT_TIMEOUT,
            unread: DEFAULT_TIMEOUT,
        }
    }

    /// Returns the maximum size of one answer in bytes; none if unlimited.
    #[must_use]
    pub fn answer(&self) -> Option<usize> {
        self.memory
            .map(|memory| (memory / ANSWER_DIVISOR).max(MIN_ANSWER))
    }
}
