//! What a statement brings along, and how a try at a server ends.

use crate::catalog::Route;
use crate::link::Context;
use agateport_domain::prelude::*;
use agateport_domain::request::Refusal;
use bytes::Bytes;

/// What a statement brings along.
#[derive(Debug)]
pub struct Work<'a> {
    /// The caller's name for it, or for its transaction's first statement.
    pub id: &'a Bytes,
    /// How its database is served.
    pub route: &'a Route,
    /// Who asks, for fairness among callers.
    pub caller: &'a CallerId,
    /// What a connection must have for it.
    pub context: &'a Context,
    /// What its session has written.
    pub last_write: Option<Watermark>,
    /// When it, or its transaction, came in, by the clock of proofs.
    pub arrived: Uptime,
    /// The same by the clock of limits.
    pub started: Instant,
}

impl Work<'_> {
    /// Returns when the statement's time is up.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        self.started + self.route.timeout
    }

    /// Returns when an answer is due within the target.
    #[must_use]
    pub fn due(&self) -> Instant {
        self.started + self.route.target
    }

    /// Returns the moment before which everything acknowledged must be seen.
    #[must_use]
    pub fn freshness_bound(&self) -> Uptime {
        let staleness = self.route.consistency.staleness();
        self.arrived.saturating_sub(staleness)
    }
}

/// Why a statement wasn't run at one server.
#[derive(Debug)]
pub enum Failure {
    /// Another server may run it.
    NextServer(&'static str),
    /// The same server may run it over another connection.
    Retry(&'static str),
    /// No server is free in time.
    Refused(Refusal),
}

impl Failure {
    /// Returns the name used in logs and counters.
    #[must_use]
    pub fn reason(&self) -> &'static str {
        match self {
            Self::NextServer(reason) | Self::Retry(reason) => reason,
            Self::Refused(refusal) => refusal.reason.name(),
        }
    }
}

/// How one try at a server ended.
#[derive(Debug)]
pub enum Attempt<T> {
    /// It is over, well or not.
    Finished(T),
    /// It certainly did not run, or may be run again.
    Failed(Failure),
}
