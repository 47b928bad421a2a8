//! Admission control for one upstream server, at its owner.
//!
//! A free slot goes first to a transaction that is already open, then to a
//! priority that has had less than its minimum share, then to the priority with
//! the highest worth per slot-second. Within a priority, callers are served
//! round-robin, and the requests of each caller keep their order.
//!
//! A reserving queue also leaves a slot free if a request of a lower priority would
//! cost more than it is worth: the more urgent requests that were refused recently, and
//! would be refused while it holds the slot.

mod breaker;
mod class;
mod error;
mod estimate;
mod limit;
mod preview;
mod priority_limit;
mod queue;
mod rate;
mod throttle;

pub use breaker::Breaker;
pub use error::Error;
pub use estimate::Estimate;
pub use limit::Limit;
pub use preview::Preview;
pub use priority_limit::PriorityLimit;
pub use queue::Queue;
pub use throttle::Throttle;

use crate::id::{CallerId, PriorityId, RequestId};
use crate::request::Refusal;
use std::time::{Duration, Instant};

/// A request for a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// Id of the request at this owner.
    pub request: RequestId,
    /// Priority that the request is queued under.
    pub priority: PriorityId,
    /// Caller that sent the request, for fairness among callers.
    pub caller: CallerId,
    /// Deadline of the answer: the end of the target latency of the priority.
    pub due: Instant,
}

/// Outcome of offering a request to the queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request holds a slot.
    Started,
    /// The request waits.
    Queued {
        /// Latest start that can still meet the target.
        latest_start: Instant,
        /// A waiting request that was refused to make room, and its refusal.
        evicted: Option<(RequestId, Refusal)>,
    },
}

/// Decision of the queue about a waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request holds a slot.
    Start(RequestId),
    /// The request is refused and certainly does not run.
    Refuse(RequestId, Refusal),
}

/// The part of an upstream server's capacity that one node may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Share {
    /// Statements that may run at once.
    pub slots: usize,
    /// Connections that may be open at once.
    pub connections: usize,
}

/// Shortest retry delay in a refusal.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
