//! One request: its life, what it needs of a server, and how it ended.

mod error;
pub mod key;
pub mod retry;
pub mod setting;
pub mod statement;
pub mod tag;

pub use error::{Error, Reason, Refusal};
pub use key::Key;

use crate::group::{Role, Status};
use crate::id::{CallerId, GroupId, PriorityId, ServerId};
use crate::session::{Transaction, Watermark};
use serde::{Deserialize, Serialize};
use statement::Kind;
use std::time::Duration;

/// How far a request has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Not sent to any upstream: it certainly hasn't run.
    Queued,
    /// Sent to an upstream, the answer outstanding.
    Sent,
    /// Answered in whole.
    Answered,
    /// Sent, and the answer lost: it may have run.
    Unknown,
}

/// What a request needs of the server that runs it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Requirement {
    /// The primary of the group.
    Primary {
        /// What the session has seen; a superseded primary is behind it.
        watermark: Option<Watermark>,
    },
    /// Any server that holds the watermark.
    Replica {
        /// What the session has seen; none asks for nothing.
        watermark: Option<Watermark>,
        /// How old the data may be.
        maximum_staleness: Duration,
        /// How long to wait for a server that is nearly there.
        maximum_wait: Duration,
    },
}

impl Requirement {
    /// Returns what the server must hold.
    #[must_use]
    pub fn watermark(&self) -> Option<Watermark> {
        match self {
            Self::Primary { watermark } | Self::Replica { watermark, .. } => *watermark,
        }
    }

    /// Checks that a server is what the request needs, by what it said of
    /// itself and the age of its data, if it is known.
    ///
    /// # Errors
    ///
    /// The reason why it isn't.
    pub fn check(&self, status: Status, age: Option<Duration>) -> Result<(), Reason> {
        let needs_primary = matches!(self, Self::Primary { .. });
        if needs_primary && status.role != Role::Primary {
            return Err(Reason::NotPrimary);
        }
        // A superseded primary is behind what the session has seen.
        let watermark = self.watermark();
        if watermark.is_some_and(|watermark| status.last < watermark) {
            return Err(Reason::Behind);
        }
        let Self::Replica {
            maximum_staleness, ..
        } = self
        else {
            return Ok(());
        };
        match age {
            Some(age) if age <= *maximum_staleness => Ok(()),
            _ => Err(Reason::Stale),
        }
    }
}

/// A request as a frontend hands it to a server's owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Command {
    /// Group that the caller is connected to.
    pub group: GroupId,
    /// Server that is to run it.
    pub server: ServerId,
    /// Rank of the work.
    pub priority: PriorityId,
    /// Who asks, for fairness among callers.
    pub caller: CallerId,
    /// Time left to answer within the priority's target.
    pub target: Duration,
    /// What the server must be.
    pub requirement: Requirement,
    /// What the first batch does to the data.
    pub kind: Kind,
    /// What it does with a key, if it has one.
    pub key: Option<key::Operation>,
}

/// How a request ended, when it was answered in whole.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Completion {
    /// Place in the log that the answer reflects.
    pub seen: Option<Watermark>,
    /// Transaction state after it.
    pub transaction: Transaction,
    /// Whether a statement failed.
    pub is_failed: bool,
}

/// The life of one request.
#[derive(Clone, Debug)]
pub struct Request {
    state: State,
    is_repeatable: bool,
    /// Whether the answer to an earlier try is lost.
    has_lost_answer: bool,
}

impl Request {
    /// Creates a queued request; only a repeatable one may be sent again.
    #[must_use]
    pub fn new(is_repeatable: bool) -> Self {
        Self {
            state: State::Queued,
            is_repeatable,
            has_lost_answer: false,
        }
    }

    /// Returns how far the request has come.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Records that the request goes out to an upstream.
    ///
    /// # Errors
    ///
    /// [`Error`] if it went out before and may not be repeated, or has ended.
    pub fn mark_sent(&mut self) -> Result<(), Error> {
        if !self.can_send() {
            return Err(Error { state: self.state });
        }
        self.state = State::Sent;
        Ok(())
    }

    /// Tells whether the request may go out to an upstream now.
    #[must_use]
    pub fn can_send(&self) -> bool {
        match self.state {
            State::Queued => true,
            State::Unknown => self.is_repeatable,
            State::Sent | State::Answered => false,
        }
    }

    /// Records that this try certainly did not run it; an earlier one may have,
    /// unless the reason rules that out.
    ///
    /// # Errors
    ///
    /// [`Error`] if the request has been sent and the answer isn't a refusal.
    pub fn mark_refused(&mut self, reason: Reason) -> Result<(), Error> {
        match self.state {
            State::Queued | State::Sent if self.has_lost_answer && !reason.is_conclusive() => {
                self.state = State::Unknown;
                Ok(())
            }
            State::Queued | State::Sent => {
                self.state = State::Queued;
                Ok(())
            }
            state => Err(Error { state }),
        }
    }

    /// Records the whole answer.
    pub fn mark_answered(&mut self) {
        self.state = State::Answered;
    }

    /// Records that the answer is lost.
    pub fn mark_unknown(&mut self) {
        if self.state == State::Sent {
            self.state = State::Unknown;
            self.has_lost_answer = true;
        }
    }

    /// Tells whether "not run" would be true.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        self.state == State::Queued
    }
}
