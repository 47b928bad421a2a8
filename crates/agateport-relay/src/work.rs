//! The context of a statement and the result of an attempt to run it at a server.

use crate::catalog::Route;
use crate::context::Context;
use crate::departure::Departure;
use crate::field::Word;
use agateport_domain::prelude::*;
use agateport_domain::request::Refusal;

/// Context of a statement: its session, its route and its time limits.
#[derive(Debug)]
pub struct Work<'a> {
    /// Id that the caller gave to the statement. While a transaction is opened at a
    /// server, it is the id of the statement that follows BEGIN.
    pub id: &'a Word,
    /// Number of its session.
    pub session: SessionId,
    /// Route of its database.
    pub route: &'a Route,
    /// Name of the caller, for fairness between callers: its workspace, if it has one.
    pub caller: &'a CallerId,
    /// Workspace whose connections are used; none if the caller was not identified.
    pub workspace: Option<&'a WorkspaceId>,
    /// Values and prepared statements of its session.
    pub context: &'a Context,
    /// Watermark of the session's last write; none if it has not written.
    pub last_write: Option<Watermark>,
    /// When the statement or its transaction was received, on the clock of leases.
    pub arrived: Uptime,
    /// When its timeout and its target latency begin, on the clock of timeouts.
    pub started: Instant,
    /// Notices that the caller closes its connection.
    pub departure: Departure<'a>,
}

impl Work<'_> {
    /// Returns when the statement times out.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        self.started + self.route.timeout
    }

    /// Returns when the answer is due according to the target latency.
    #[must_use]
    pub fn due(&self) -> Instant {
        self.started + self.route.target
    }

    /// Returns the time up to which acknowledged writes must be visible to a read.
    #[must_use]
    pub fn freshness_bound(&self) -> Uptime {
        let staleness = self.route.consistency.staleness();
        self.arrived.saturating_sub(staleness)
    }
}

/// Why an attempt to run a statement at a server failed.
#[derive(Debug)]
pub enum Failure {
    /// The statement can be tried at another server.
    NextServer(&'static str),
    /// The statement can be retried at the same server.
    Retry(&'static str),
    /// Admission control refused the statement.
    Refused(Refusal),
    /// The caller closed its connection while the statement waited for a permit.
    Departed,
}

impl Failure {
    /// Returns the reason for logs and metrics.
    #[must_use]
    pub fn reason(&self) -> &'static str {
        match self {
            Self::NextServer(reason) | Self::Retry(reason) => reason,
            Self::Refused(refusal) => refusal.reason.name(),
            Self::Departed => "the caller has left",
        }
    }
}

/// Result of an attempt at one server.
#[derive(Debug)]
pub enum Attempt<T> {
    /// The statement ended, successfully or not, and is not tried again.
    Finished(T),
    /// The statement certainly did not run, or is safe to run again.
    Failed(Failure),
}
