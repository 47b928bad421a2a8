//! The state of a server at one moment, as one node measured it.

use super::MAX_AGE;
use crate::id::PriorityId;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// The time that a server's statements of one priority take.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Time {
    /// Their priority.
    pub priority: PriorityId,
    /// Their mean time.
    pub mean: Duration,
    /// How many responses it is an average of, in thousandths.
    pub weight: u32,
}

/// The state of a server at one moment, as one node measured it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Time since the last response.
    pub age: Duration,
    /// Times of the priorities with enough responses.
    pub times: Vec<Time>,
    /// Failures per thousand responses; none before enough responses.
    pub failures: Option<u32>,
    /// Slots in the share of the node.
    pub slots: u32,
    /// Slots that the measured latency allows.
    pub limit: u32,
}

impl Report {
    /// Returns whether the report is based on enough responses.
    #[must_use]
    pub fn is_conclusive(&self) -> bool {
        self.failures.is_some()
    }

    /// Returns whether the report is too old to be used.
    pub(super) fn is_outdated(&self) -> bool {
        self.age >= MAX_AGE
    }
}

/// The last report of a server that another node sent.
#[derive(Clone, Debug)]
pub struct Latest {
    report: Report,
    received_at: Instant,
}

impl Latest {
    /// Creates the state after the first report.
    #[must_use]
    pub fn new(report: Report, now: Instant) -> Self {
        Self {
            report,
            received_at: now,
        }
    }

    /// Replaces the report by one that was received at `now`. One that is based on too few
    /// responses, such as that of a new owner, replaces only one that is outdated.
    pub fn update(&mut self, report: Report, now: Instant) {
        let known = self.at(now);
        if report.is_conclusive() || !known.is_conclusive() || known.is_outdated() {
            *self = Self::new(report, now);
        }
    }

    /// Returns the report with its age at `now`.
    #[must_use]
    pub fn at(&self, now: Instant) -> Report {
        let elapsed = now.saturating_duration_since(self.received_at);
        Report {
            age: self.report.age.saturating_add(elapsed),
            ..self.report.clone()
        }
    }
}
