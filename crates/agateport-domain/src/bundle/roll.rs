//! Puts a bundle in force by conditional changes of one row.

use super::Revision;
use super::force::{Verdict, judge};

/// Version of the row of the bundle in force; zero stands for no row.
pub type RowVersion = u64;

/// Reads and changes without a definite answer that are put up with.
const TRIES: u32 = 20;

/// What came of a conditional change of the row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// It took effect.
    Applied,
    /// The row had another version, so it took no effect.
    Changed,
    /// No answer came, so it may have taken effect or may yet do so.
    Lost,
}

/// What the operator is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum End {
    /// The bundle is in force by this command.
    InForce,
    /// The bundle was in force already.
    Repeated,
    /// Another bundle of the same or a higher version is in force.
    Superseded(Revision),
    /// The platform doesn't tell what is in force; nothing was changed.
    Unread,
    /// The platform doesn't tell whether the change took effect.
    Unsettled,
}

/// What to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Set the row to the revision if it has this version.
    Commit(RowVersion),
    /// Tell the operator.
    End(End),
    /// Read the row.
    Read,
}

/// One operator's command to put a bundle in force; it starts by a read.
#[derive(Clone, Debug)]
pub struct Roll {
    revision: Revision,
    /// Version of the row that the last change was conditional on.
    sent: Option<RowVersion>,
    tries: u32,
}

impl Roll {
    /// Creates a command that has done nothing yet.
    #[must_use]
    pub fn new(revision: Revision) -> Self {
        Self {
            revision,
            sent: None,
            tries: 0,
        }
    }

    /// Goes on with what the row holds.
    pub fn read(&mut self, row: Option<(RowVersion, Revision)>) -> Step {
        let version = row.as_ref().map_or(0, |(version, _)| *version);
        let in_force = row.map(|(_, revision)| revision);
        match (judge(in_force.as_ref(), &self.revision), in_force) {
            (Verdict::Keep, _) => self.keep(),
            (Verdict::Raise, _) | (_, None) => self.commit(version),
            (Verdict::Conflict | Verdict::Outdated, Some(other)) => {
                Step::End(End::Superseded(other))
            }
        }
    }

    /// Goes on when a read got no answer.
    pub fn unread(&mut self) -> Step {
        self.tries += 1;
        if self.sent.is_none() {
            return Step::End(End::Unread);
        }
        if self.tries >= TRIES {
            return Step::End(End::Unsettled);
        }
        Step::Read
    }

    /// Goes on with what came of the change.
    pub fn answer(&mut self, answer: Answer) -> Step {
        match answer {
            Answer::Applied => Step::End(End::InForce),
            Answer::Changed | Answer::Lost => Step::Read,
        }
    }

    fn keep(&self) -> Step {
        let end = match self.sent {
            Some(_) => End::InForce,
            None => End::Repeated,
        };
        Step::End(end)
    }

    /// Changes the row. A change sent before was conditional on the same
    /// version, or on one that is gone, so that just one can take effect.
    fn commit(&mut self, version: RowVersion) -> Step {
        self.tries += 1;
        if self.tries >= TRIES {
            return Step::End(End::Unsettled);
        }
        self.sent = Some(version);
        Step::Commit(version)
    }
}
