//! When a node that stops ends what it still serves.

use std::time::{Duration, Instant};

/// Share of the grace period in which open transactions may end by themselves.
const TRANSACTION_SHARE: f64 = 0.5;

/// Share of the grace period after which no answer of a server is awaited.
const CUT_SHARE: f64 = 0.85;

/// Share of the grace period after which the node ends. The rest is a margin for the end
/// of its process.
const END_SHARE: f64 = 0.95;

/// What a node is asked to pass on to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// The start of a transaction.
    Begin,
    /// A statement of an open transaction.
    Next,
    /// The commit of an open transaction.
    Commit,
    /// A statement outside of transactions.
    Single,
    /// A statement of another node, over a connection that was lent to it.
    Lent,
}

/// The stages of a stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Schedule {
    /// When transactions are ended between two of their statements.
    pub transactions_end: Instant,
    /// When statements in progress are answered without their server.
    pub cut: Instant,
    /// When the node ends, whatever is in progress.
    pub end: Instant,
}

impl Schedule {
    /// Returns the schedule of a stop that was requested at `requested_at`.
    #[must_use]
    pub fn new(requested_at: Instant, grace: Duration) -> Self {
        Self {
            transactions_end: requested_at + grace.mul_f64(TRANSACTION_SHARE),
            cut: requested_at + grace.mul_f64(CUT_SHARE),
            end: requested_at + grace.mul_f64(END_SHARE),
        }
    }

    /// Returns whether a step that ends within `timeout` may be passed on at `now`.
    ///
    /// Once transactions are ended, only that is passed on which leaves nothing open and
    /// whose timeout is over before the cut. A commit is among it: all other work of its
    /// transaction has been done.
    #[must_use]
    pub fn allows(&self, step: Step, now: Instant, timeout: Duration) -> bool {
        if now < self.transactions_end {
            return true;
        }
        match step {
            Step::Begin | Step::Next => false,
            Step::Commit | Step::Single | Step::Lent => now + timeout <= self.cut,
        }
    }
}
