//! Puts a bundle in force by conditional changes of one row.

use super::Revision;
use super::active::{Comparison, compare};

/// Version of the row of the bundle in force; zero stands for no row.
pub type RowVersion = u64;

/// Reads and changes without a definite answer that are put up with.
const MAXIMUM_ATTEMPTS: u32 = 20;

/// What came of a conditional change of the row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Response {
    /// It took effect.
    Applied,
    /// The row had another version, so it took no effect.
    Conflict,
    /// No answer came, so it may have taken effect or may yet do so.
    Lost,
}

/// What the operator is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The bundle is in force by this command.
    InForce,
    /// The bundle was in force already.
    AlreadyInForce,
    /// Another bundle of the same or a higher version is in force.
    Superseded(Revision),
    /// The platform doesn't tell what is in force; nothing was changed.
    Unreadable,
    /// The platform doesn't tell whether the change took effect.
    Unknown,
}

/// What to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Set the row to the revision if it has this version.
    Commit(RowVersion),
    /// Tell the operator.
    Finish(Outcome),
    /// Read the row.
    Read,
}

/// One operator's command to put a bundle in force; it starts by a read.
#[derive(Clone, Debug)]
pub struct Rollout {
    revision: Revision,
    /// Version of the row that the last change was conditional on.
    expected: Option<RowVersion>,
    attempts: u32,
}

impl Rollout {
    /// Creates a command that has done nothing yet.
    #[must_use]
    pub fn new(revision: Revision) -> Self {
        Self {
            revision,
            expected: None,
            attempts: 0,
        }
    }

    /// Goes on with what the row holds.
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

    /// Goes on when a read got no answer.
    pub fn record_read_failure(&mut self) -> Step {
        self.attempts += 1;
        if self.expected.is_none() {
            return Step::Finish(Outcome::Unreadable);
        }
        if self.attempts >= MAXIMUM_ATTEMPTS {
            return Step::Finish(Outcome::Unknown);
        }
        Step::Read
    }

    /// Goes on with what came of the change.
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

    /// Changes the row. A change sent before was conditional on the same
    /// version, or on one that is gone, so that just one can take effect.
    fn commit(&mut self, version: RowVersion) -> Step {
        self.attempts += 1;
        if self.attempts >= MAXIMUM_ATTEMPTS {
            return Step::Finish(Outcome::Unknown);
        }
        self.expected = Some(version);
        Step::Commit(version)
    }
}
