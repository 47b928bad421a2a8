//! One database group: its servers, its primary and its acknowledged writes.

mod ballot;
mod cooldown;
mod detector;
mod error;
pub mod handover;
mod health;
mod leadership;
mod lease;
mod progress;
pub mod promotion;
mod quorum;
mod read_index;
pub mod roster;
mod wait;

pub use ballot::{Ballot, PromoterId};
pub use cooldown::Cooldown;
pub use detector::Detector;
pub use error::Error;
pub use health::Cause;
pub use leadership::{Leadership, Reign, Succession};
pub use lease::{DURATION as LEASE_DURATION, Lease};
pub use progress::Progress;
pub use promotion::Promotion;
pub use quorum::{Quorum, Vote};
pub use read_index::ReadIndex;
pub use roster::Roster;
pub use wait::Wait;

use crate::id::{ServerId, Term};
use crate::session::Watermark;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Role of a server in its group.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Replicates the primary's log.
    Replica,
    /// Accepts neither writes nor log entries until it is promoted or ordered to
    /// follow a primary.
    Fenced,
}

/// Status that a server reports.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Highest term that the server has received.
    pub term: Term,
    /// Watermark of the last entry of its log.
    pub last: Watermark,
    /// Role in its group.
    pub role: Role,
    /// Time since its log was last known to match the log of its primary; none if
    /// that is unknown.
    pub age: Option<Duration>,
}

/// Which copies of a write must exist before it is acknowledged to its caller.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Acknowledge {
    /// A majority of the group's servers, the primary among them.
    #[default]
    Majority,
    /// The primary alone; a failover can lose such a write.
    Primary,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    status: Status,
    as_of: Instant,
    /// Outcome of the last query.
    outcome: Outcome,
}

/// Outcome of a status query to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    Answer,
    Refusal,
    Timeout,
}

/// One database group, with its state as known to one node.
#[derive(Clone, Debug)]
pub struct Group {
    acknowledge: Acknowledge,
    reports: BTreeMap<ServerId, Option<Report>>,
    /// Server that last served as the primary, for a node that does not query the
    /// servers itself.
    hint: Option<ServerId>,
    /// Why the group needs a new primary, and since when.
    unhealthy: Option<(Cause, Instant)>,
}

impl Group {
    /// Creates a group whose servers have not reported yet.
    ///
    /// # Errors
    ///
    /// [`Error`] if there is no server.
    pub fn new(
        acknowledge: Acknowledge,
        servers: impl IntoIterator<Item = ServerId>,
    ) -> Result<Self, Error> {
        let reports: BTreeMap<_, _> = servers.into_iter().map(|server| (server, None)).collect();
        if reports.is_empty() {
            return Err(Error);
        }
        Ok(Self {
            acknowledge,
            reports,
            hint: None,
            unhealthy: None,
        })
    }

    /// Applies a changed declaration and keeps the reports of the servers that
    /// remain.
    ///
    /// # Errors
    ///
    /// [`Error`] if there is no server.
    pub fn reconfigure(
        &mut self,
        acknowledge: Acknowledge,
        servers: impl IntoIterator<Item = ServerId>,
    ) -> Result<(), Error> {
        let mut changed = Self::new(acknowledge, servers)?;
        for (server, report) in &mut changed.reports {
            *report = self.reports.get(server).copied().flatten();
        }
        let hint = self.hint.take();
        changed.hint = hint.filter(|hint| changed.reports.contains_key(hint));
        changed.unhealthy = self.unhealthy;
        *self = changed;
        Ok(())
    }

    /// Records the status that a server reported at `now`.
    pub fn record_status(&mut self, server: &ServerId, status: Status, now: Instant) {
        if let Some(report) = self.reports.get_mut(server) {
            *report = Some(Report {
                status,
                as_of: now,
                outcome: Outcome::Answer,
            });
        }
    }

    /// Records that a server refused or closed a connection.
    pub fn record_refusal(&mut self, server: &ServerId) {
        if let Some(Some(report)) = self.reports.get_mut(server) {
            report.outcome = Outcome::Refusal;
        }
    }

    /// Records that a server did not answer in time.
    pub fn record_timeout(&mut self, server: &ServerId) {
        if let Some(Some(report)) = self.reports.get_mut(server) {
            report.outcome = Outcome::Timeout;
        }
    }

    /// Records that the log of `server` has reached `seen`, as one of its answers
    /// shows.
    pub fn advance(&mut self, server: &ServerId, seen: Watermark) {
        let Some(Some(report)) = self.reports.get_mut(server) else {
            return;
        };
        if report.status.term == seen.term {
            report.status.last = report.status.last.max(seen);
        }
    }

    /// Records that `server` served as the primary.
    pub fn set_hint(&mut self, server: &ServerId) {
        if self.reports.contains_key(server) {
            self.hint = Some(server.clone());
        }
    }

    /// Returns the reported primary with the highest term, or else the server that
    /// last served as the primary.
    #[must_use]
    pub fn primary(&self) -> Option<&ServerId> {
        self.reported_primary().or(self.hint.as_ref())
    }

    /// Returns the names of the group's servers.
    pub fn servers(&self) -> impl Iterator<Item = &ServerId> {
        self.reports.keys()
    }

    fn reported_primary(&self) -> Option<&ServerId> {
        let primaries = self.reports.iter().filter_map(|(server, report)| {
            let status = report.as_ref()?.status;
            (status.role == Role::Primary).then_some((status.term, server))
        });
        primaries.max().map(|(_, server)| server)
    }

    /// Returns the last status of a server, and the moment as of which it holds;
    /// none if the server refuses connections.
    #[must_use]
    pub fn status(&self, server: &ServerId) -> Option<(Status, Instant)> {
        let report = self.reports.get(server)?.as_ref()?;
        (report.outcome != Outcome::Refusal).then_some((report.status, report.as_of))
    }

    /// Returns whether a server has reported its status.
    #[must_use]
    pub fn is_known(&self, server: &ServerId) -> bool {
        self.reports.get(server).is_some_and(Option::is_some)
    }

    /// Drops the report of a server that this node no longer queries, since it
    /// would become outdated.
    pub fn forget(&mut self, server: &ServerId) {
        if let Some(report) = self.reports.get_mut(server) {
            *report = None;
        }
    }

    /// Returns whether the write at `written` may be acknowledged.
    ///
    /// With [`Acknowledge::Majority`], a majority of the servers must be in the
    /// write's own term and hold its position. A superseded primary cannot reach
    /// that majority, so the rule does not depend on clocks. A new primary starts
    /// its term with an entry of its own, so the watermark it reports never belongs
    /// to an older term.
    #[must_use]
    pub fn is_acknowledged(&self, written: Watermark) -> bool {
        if self.acknowledge == Acknowledge::Primary || written.position == 0 {
            return true;
        }
        let holders = self.reports.values().flatten().filter(|report| {
            let status = report.status;
            status.term == written.term && status.last >= written
        });
        holders.count() > self.reports.len() / 2
    }
}
