//! A request: its state, its requirements on a server, and its completion.

mod error;
pub mod key;
pub mod name;
pub mod retry;
pub mod setting;
pub mod statement;
pub mod tag;
pub mod text;

pub use error::{Error, Reason, Refusal};
pub use key::Key;

use crate::group::{Role, Status};
use crate::id::{CallerId, GroupId, PriorityId, ServerId};
use crate::session::{Transaction, Watermark};
use serde::{Deserialize, Serialize};
use statement::Kind;
use std::time::Duration;

/// State of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Not sent to any upstream, so it certainly has not run.
    Queued,
    /// Sent to an upstream; the answer is outstanding.
    Sent,
    /// Completely answered.
    Answered,
    /// Sent, but the answer was lost, so it may have run.
    Unknown,
}

/// Requirement of a request on the server that runs it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Requirement {
    /// The primary of the group.
    Primary {
        /// Watermark of the session. A primary whose successor the session has
        /// observed is behind it.
        watermark: Option<Watermark>,
    },
    /// Any server that has reached the watermark.
    Replica {
        /// Watermark of the session; none if any watermark suffices.
        watermark: Option<Watermark>,
        /// Maximum age of the data.
        maximum_staleness: Duration,
        /// Maximum time to wait for a server that is slightly behind.
        maximum_wait: Duration,
    },
}

impl Requirement {
    /// Returns the watermark that the server must have reached.
    #[must_use]
    pub fn watermark(&self) -> Option<Watermark> {
        match self {
            Self::Primary { watermark } | Self::Replica { watermark, .. } => *watermark,
        }
    }

    /// Checks that a server meets the requirement, by its reported status and
    /// the age of its data, if known.
    ///
    /// # Errors
    ///
    /// The reason why the server does not meet the requirement.
    pub fn check(&self, status: Status, age: Option<Duration>) -> Result<(), Reason> {
        let needs_primary = matches!(self, Self::Primary { .. });
        if needs_primary && status.role != Role::Primary {
            return Err(Reason::NotPrimary);
        }
        // This also rejects a primary whose successor the session has observed.
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

/// A request as a frontend sends it to the owner of a server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Command {
    /// Group that the caller is connected to.
    pub group: GroupId,
    /// Server that is to run the request.
    pub server: ServerId,
    /// Priority that the request is queued under.
    pub priority: PriorityId,
    /// Caller that sent the request, for fairness among callers.
    pub caller: CallerId,
    /// Time left of the target latency of the priority.
    pub target: Duration,
    /// Requirement that the server must meet.
    pub requirement: Requirement,
    /// Effect of the first batch on the data.
    pub kind: Kind,
    /// Operation on an idempotency key, if the request has one.
    pub key: Option<key::Operation>,
}

/// Result of a completely answered request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Completion {
    /// Watermark of the data that the answer reflects.
    pub watermark: Option<Watermark>,
    /// Transaction state after the request.
    pub transaction: Transaction,
    /// Whether a statement failed.
    pub is_failed: bool,
}

/// The state machine of a request.
#[derive(Clone, Debug)]
pub struct Request {
    state: State,
    is_repeatable: bool,
    /// Whether the answer to an earlier attempt was lost.
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

    /// Returns the state of the request.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Records that the request is being sent to an upstream.
    ///
    /// # Errors
    ///
    /// [`Error`] if it was sent before and may not be repeated, or has ended.
    pub fn mark_sent(&mut self) -> Result<(), Error> {
        if !self.can_send() {
            return Err(Error { state: self.state });
        }
        self.state = State::Sent;
        Ok(())
    }

    /// Returns whether the request may be sent to an upstream now.
    #[must_use]
    pub fn can_send(&self) -> bool {
        match self.state {
            State::Queued => true,
            State::Unknown => self.is_repeatable,
            State::Sent | State::Answered => false,
        }
    }

    /// Records that this attempt certainly did not run the request; an earlier
    /// one may have, unless the reason rules that out.
    ///
    /// # Errors
    ///
    /// [`Error`] if the request is already answered or its outcome is unknown.
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

    /// Records that the answer was received completely.
    pub fn mark_answered(&mut self) {
        self.state = State::Answered;
    }

    /// Records that the answer was lost.
    pub fn mark_unknown(&mut self) {
        if self.state == State::Sent {
            self.state = State::Unknown;
            self.has_lost_answer = true;
        }
    }

    /// Returns whether the request certainly has not run.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        self.state == State::Queued
    }
}
