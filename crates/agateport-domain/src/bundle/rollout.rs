//! Puts a bundle in force by conditional writes to one row.

use super::Revision;
use super::active::{Comparison, compare};

/// Version of the row of the bundle in force; zero if there is no row.
pub type RowVersion = u64;

/// Number of writes and failed reads at which a rollout gives up; a write that
/// would reach it is not sent.
const MAX_ATTEMPTS: u32 = 20;

/// Result of a conditional write to the row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Response {
    /// The write took effect.
    Applied,
    /// The row had another version, so the write took no effect.
    Conflict,
    /// There was no answer: the write may have taken effect or may still do so.
    Lost,
}

/// Outcome of a rollout, as reported to the operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The bundle was put in force while this command ran: by it, or by another
    /// rollout of the same revision.
    InForce,
    /// The bundle was in force already.
    AlreadyInForce,
    /// Another bundle of the same or a higher version is in force.
    Superseded(Revision),
    /// The row could not be read; nothing was written.
    Unreadable,
    /// A write was sent, and whether it took effect could not be determined.
    Unknown,
}

/// Next step of a rollout.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Write the revision to the row if the row has this version.
    Commit(RowVersion),
    /// Report the outcome to the operator.
    Finish(Outcome),
    /// Read the row.
    Read,
}

/// An operator's command to put a bundle in force; it starts with a read of the
/// row.
#[derive(Clone, Debug)]
pub struct Rollout {
    revision: Revision,
    /// Row version that the last write was conditional on; none before the first
    /// write.
    expected: Option<RowVersion>,
    attempts: u32,
}

impl Rollout {
    /// Creates a rollout of `revision`.
    #[must_use]
    pub fn new(revision: Revision) -> Self {
        Self {
            revision,
            expected: None,
            attempts: 0,
        }
    }

    /// Records the version and content of the row, as read; returns the next
    /// step.
    pub fn record_row(&mut self, row: Option<(RowVersion, Revision)>) -> Step {
        let version = row.as_ref().map_or(0, |(version, _)| *version);
        let in_force = row.map(|(_, revision)| revision);
        match (compare(in_force.as_ref(), &self.revision), in_force) {
            (Comparison::Same, _) => self.finish_unchanged(),
            (Comparison::Newer, _) | (_, None) => self.commit(version),
            (Comparison::Conflict | Comparison::Older, Some(other)) => {
                Step::Finish(Outcome::Superseded(other))
            }
        }
    }

    /// Records that a read got no answer; returns the next step.
    pub fn record_read_failure(&mut self) -> Step {
        self.attempts += 1;
        if self.expected.is_none() {
            return Step::Finish(Outcome::Unreadable);
        }
        if self.attempts >= MAX_ATTEMPTS {
            return Step::Finish(Outcome::Unknown);
        }
        Step::Read
    }

    /// Records the result of the write; returns the next step.
    pub fn record_response(&mut self, response: Response) -> Step {
        match response {
            Response::Applied => Step::Finish(Outcome::InForce),
            Response::Conflict | Response::Lost => Step::Read,
        }
    }

    fn finish_unchanged(&self) -> Step {
        let outcome = match self.expected {
            Some(_) => Outcome::InForce,
            None => Outcome::AlreadyInForce,
        };
        Step::Finish(outcome)
    }

    /// Returns the step that writes the row.
    ///
    /// Earlier writes were conditional on the same row version or on a lower one,
    /// so at most one of these writes can take effect.
    fn commit(&mut self, version: RowVersion) -> Step {
        self.attempts += 1;
        if self.attempts >= MAX_ATTEMPTS {
            return Step::Finish(Outcome::Unknown);
        }
        self.expected = Some(version);
        Step::Commit(version)
    }
}
