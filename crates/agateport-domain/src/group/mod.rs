//! One database group: its servers, its primary, and what it has acknowledged.

mod ballot;
mod cooldown;
mod detector;
mod error;
pub mod handover;
mod health;
mod lease;
mod progress;
pub mod promotion;
mod quorum;
mod read_index;

pub use ballot::{Ballot, PromoterId};
pub use cooldown::Cooldown;
pub use detector::Detector;
pub use error::Error;
pub use handover::Leadership;
pub use health::Cause;
pub use lease::{DURATION as LEASE_DURATION, Lease};
pub use progress::Progress;
pub use promotion::Promotion;
pub use quorum::{Quorum, Vote};
pub use read_index::ReadIndex;

use crate::id::{ServerId, Term};
use crate::session::Watermark;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// What a server is to its group.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Takes writes.
    Primary,
    /// Follows the primary's log.
    Replica,
    /// Takes nothing, and waits to be told whom to follow.
    Fenced,
}

/// What a server says of itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Highest term that the server has been told.
    pub term: Term,
    /// Last entry of its log.
    pub last: Watermark,
    /// What it is to its group.
    pub role: Role,
    /// How long ago it last knew itself level with its primary; none when it
    /// doesn't know.
    pub age: Option<Duration>,
}

/// Whose copy of a write must be certain before its caller is told.
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
    /// How the last question ended.
    outcome: Outcome,
}

/// How a question to a server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    Answer,
    Refusal,
    Timeout,
}

/// One database group, as one node knows it.
#[derive(Clone, Debug)]
pub struct Group {
    acknowledge: Acknowledge,
    reports: BTreeMap<ServerId, Option<Report>>,
    /// Primary that served last, for a node that asks no server itself.
    hint: Option<ServerId>,
    /// What is wrong, and since when.
    unhealthy: Option<(Cause, Instant)>,
}

impl Group {
    /// Creates a group of which nothing is known but its servers.
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

    /// Goes by another declaration; what is known of the servers that stay is
    /// kept.
    ///
    /// # Errors
    ///
    /// [`Error`] if there is no server.
    pub fn change(
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

    /// Records what a server said of itself at `now`.
    pub fn record_status(&mut self, server: &ServerId, status: Status, now: Instant) {
        if let Some(report) = self.reports.get_mut(server) {
            *report = Some(Report {
                status,
                as_of: now,
                outcome: Outcome::Answer,
            });
        }
    }

    /// Records that a server refused a connection, or broke one off.
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

    /// Records that an answer of `server` reflected its log up to `seen`.
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

    /// Returns the primary of the highest term heard of, else the one that
    /// served last.
    #[must_use]
    pub fn primary(&self) -> Option<&ServerId> {
        self.reported_primary().or(self.hint.as_ref())
    }

    /// Returns the servers.
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

    /// Returns the last status of a server, and when it was heard; none if it
    /// refuses connections.
    #[must_use]
    pub fn status(&self, server: &ServerId) -> Option<(Status, Instant)> {
        let report = self.reports.get(server)?.as_ref()?;
        (report.outcome != Outcome::Refusal).then_some((report.status, report.as_of))
    }

    /// Tells whether anything was heard of a server.
    #[must_use]
    pub fn is_known(&self, server: &ServerId) -> bool {
        self.reports.get(server).is_some_and(Option::is_some)
    }

    /// Forgets a server that this node no longer asks: what it said grows old.
    pub fn forget(&mut self, server: &ServerId) {
        if let Some(report) = self.reports.get_mut(server) {
            *report = None;
        }
    }

    /// Tells whether the write at `written` may be acknowledged.
    ///
    /// With [`Acknowledge::Majority`], a majority of the servers must be at the
    /// write's own term and hold its position. A superseded primary can't
    /// gather that majority, so no clock is needed. A new primary opens its term
    /// with an entry of its own, so what it reports is never of an older term.
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
