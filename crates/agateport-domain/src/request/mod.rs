//! One request: its life, what it needs of a server, and how it ended.

mod error;
pub mod statement;
pub mod tag;

pub use error::{Error, Reason, Refusal};

use crate::id::{CallerId, GroupId, PriorityId, ServerId};
use crate::session::{Transaction, Watermark};
use serde::{Deserialize, Serialize};
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
pub enum Need {
    /// The primary of the group.
    Primary,
    /// Any server that holds the watermark.
    Replica {
        /// What the session has seen; none asks for nothing.
        watermark: Option<Watermark>,
        /// How old the data may be.
        maximum_staleness: Duration,
    },
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
    pub need: Need,
}

/// How a request ended, when it was answered in whole.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Completion {
    /// Place in the log that the answer reflects.
    pub seen: Option<Watermark>,
    /// Transaction state after it.
    pub transaction: Transaction,
}

/// The life of one request.
#[derive(Clone, Debug)]
pub struct Request {
    state: State,
    is_repeatable: bool,
}

impl Request {
    /// Creates a queued request; only a repeatable one may be sent again.
    #[must_use]
    pub fn new(is_repeatable: bool) -> Self {
        Self {
            state: State::Queued,
            is_repeatable,
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
    pub fn send(&mut self) -> Result<(), Error> {
        let may_send = match self.state {
            State::Queued => true,
            State::Unknown => self.is_repeatable,
            State::Sent | State::Answered => false,
        };
        if !may_send {
            return Err(Error { state: self.state });
        }
        self.state = State::Sent;
        Ok(())
    }

    /// Records that the upstream certainly did not run it.
    ///
    /// # Errors
    ///
    /// [`Error`] if the request has been sent and the answer isn't a refusal.
    pub fn refuse(&mut self) -> Result<(), Error> {
        match self.state {
            State::Queued | State::Sent => {
                self.state = State::Queued;
                Ok(())
            }
            state => Err(Error { state }),
        }
    }

    /// Records the whole answer.
    pub fn answer(&mut self) {
        self.state = State::Answered;
    }

    /// Records that the answer is lost.
    pub fn lose(&mut self) {
        if self.state == State::Sent {
            self.state = State::Unknown;
        }
    }

    /// Tells whether "not run" would be true.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        self.state == State::Queued
    }
}
