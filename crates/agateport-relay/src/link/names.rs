//! Names of the statements that are prepared on a connection.

use crate::context::{MAX_ENTRIES, MAX_SESSION_BYTES};
use crate::field::Word;
use crate::message::{Prepared, State};
use agateport_domain::prelude::*;

/// Maximum number of statements that are prepared on a connection.
pub const MAX_PREPARED: usize = 256;

/// Maximum size of the shapes of the statements that are prepared on a connection in
/// bytes. A single statement may be larger.
pub const MAX_PREPARED_BYTES: usize = 32 << 10;

/// Number of a name, unique on its connection.
type NameId = u64;

/// Names of the statements that are prepared on a connection.
///
/// A name is a number that is never used again on the connection. It holds no text of
/// a caller, and two statements never share one.
#[derive(Debug, Default)]
pub struct Names {
    prepared: BTreeMap<Prepared, NameId>,
    last: NameId,
    /// Size of the shapes in bytes.
    bytes: usize,
}

impl Names {
    /// Returns the name of a statement; none if it is not prepared.
    #[must_use]
    pub fn get(&self, prepared: &Prepared) -> Option<Word> {
        self.prepared.get(prepared).copied().map(Word::numbered)
    }

    /// Returns the name of the next statement to be prepared.
    #[must_use]
    pub fn next(&self) -> Word {
        Word::numbered(self.last + 1)
    }

    /// Records that a statement was prepared under the next name, or, if the server
    /// rejected it, that the name may be in use.
    pub fn record(&mut self, prepared: Prepared, is_done: bool) {
        self.last += 1;
        if is_done {
            let size = prepared.shape.len();
            if self.prepared.insert(prepared, self.last).is_none() {
                self.bytes += size;
            }
        }
    }

    /// Returns whether a statement is prepared, or can be without exceeding the limits of a
    /// connection in this transaction state.
    #[must_use]
    pub fn has_room(&self, prepared: &Prepared, state: State) -> bool {
        // A connection cannot be reset within a transaction, which may need all statements
        // of its session.
        let (count, bytes) = if state.is_idle() {
            (MAX_PREPARED, MAX_PREPARED_BYTES)
        } else {
            (MAX_ENTRIES, MAX_SESSION_BYTES)
        };
        let is_within = self.prepared.len() < count && self.bytes + prepared.shape.len() <= bytes;
        is_within || self.prepared.is_empty() || self.prepared.contains_key(prepared)
    }

    /// Returns the number of prepared statements and the size of their shapes in bytes.
    #[must_use]
    pub fn size(&self) -> (usize, usize) {
        (self.prepared.len(), self.bytes)
    }

    /// Records that no statement is prepared any more.
    pub fn clear(&mut self) {
        self.prepared.clear();
        self.bytes = 0;
    }
}
