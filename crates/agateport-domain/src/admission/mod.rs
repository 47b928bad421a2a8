//! The queue of one upstream server, at its owner.
//!
//! A free slot goes first to a transaction that is already open, then to a
//! priority that has had less than its minimum share, then to the priority with
//! the highest worth for each slot-second. Within a priority the callers take
//! turns, and each caller's requests keep their order.

mod breaker;
mod class;
mod error;
mod estimate;
mod limit;
mod queue;
mod throttle;

pub use breaker::Breaker;
pub use error::Error;
pub use estimate::Estimate;
pub use limit::Limit;
pub use queue::Queue;
pub use throttle::Throttle;

use crate::id::{CallerId, PriorityId, RequestId};
use crate::request::Refusal;
use std::time::{Duration, Instant};

/// A request that asks for a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// Number of the request at this owner.
    pub request: RequestId,
    /// Rank of the work.
    pub priority: PriorityId,
    /// Who asks.
    pub caller: CallerId,
    /// When its answer is due.
    pub due: Instant,
}

/// What became of a request that asked for a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It has its slot.
    Started,
    /// It waits; another one was refused in its place, if any is named.
    Queued {
        /// When the target can no longer be met.
        latest_start: Instant,
        /// The request that made room.
        evicted: Option<(RequestId, Refusal)>,
    },
}

/// What the queue decides about a waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It gets a slot.
    Start(RequestId),
    /// It can't be served and is certainly not run.
    Refuse(RequestId, Refusal),
}

/// A part of an upstream server that one node may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Share {
    /// Statements at once.
    pub slots: usize,
    /// Connections at once.
    pub connections: usize,
}

/// Shortest time that a refused caller is told to wait.
const MINIMUM_RETRY_DELAY: Duration = Duration::from_millis(50);
