//! Asks a server what it is, and what its silence or refusal means.

use crate::clock::uptime;
use crate::dialect::{self, Dialect};
use crate::link;
use crate::message::{Order, Status};
use crate::server::Server;
use agateport_domain::prelude::*;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::time::timeout;

/// Time that a server gets to say what it is: a round trip, and its queue.
const STATUS_TIMEOUT: Duration = Duration::from_millis(300);

/// What a node finds out about a server when it asks it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The server says this of itself.
    Status(Status),
    /// The server answers, but not that.
    Reachable,
    /// The server doesn't answer.
    Unreachable,
    /// The node wasn't asked, or didn't tell.
    Unknown,
}

impl Outcome {
    /// Returns what the server says of itself, if it said it.
    #[must_use]
    pub fn status(self) -> Option<Status> {
        match self {
            Self::Status(status) => Some(status),
            Self::Reachable | Self::Unreachable | Self::Unknown => None,
        }
    }
}

/// A server that doesn't say what it is.
#[derive(Debug, Error)]
pub enum Error {
    /// The connection can't be used.
    #[error("the server can't be asked")]
    Link(#[from] link::Error),
    /// It didn't answer in time.
    #[error("the server didn't answer in time")]
    Timeout,
    /// It answered something else.
    #[error("the server gave no status")]
    NoStatus,
    /// Its status can't be read.
    #[error("the server's status can't be read")]
    Malformed(#[from] dialect::Error),
}

impl Error {
    /// Tells whether the server was reached all the same.
    #[must_use]
    pub fn is_reply(&self) -> bool {
        match self {
            Self::Link(link::Error::Refused(_)) | Self::NoStatus | Self::Malformed(_) => true,
            Self::Link(_) | Self::Timeout => false,
        }
    }
}

impl<D: Dialect> Server<D> {
    /// Asks the server what it is.
    ///
    /// # Errors
    ///
    /// [`enum@Error`] if it doesn't say.
    pub async fn request_status(&self, order: Order) -> Result<Status, Error> {
        let sent_at = uptime();
        let result = timeout(STATUS_TIMEOUT, self.exchange_status(order)).await;
        let status = result.unwrap_or(Err(Error::Timeout));
        match &status {
            Ok(status) => self.record_answer(sent_at, Some(status.last)),
            Err(Error::Timeout) => self.record_timeout(sent_at),
            Err(error) if error.is_reply() => self.record_answer(sent_at, None),
            Err(_) => {}
        }
        status
    }

    /// Asks the server what it is, or shares the answer to a question that was
    /// sent after this one came up.
    pub async fn probe(&self) -> Outcome {
        let requested_at = uptime();
        if self.is_unreachable() {
            // It is asked all the time; who wants to know needn't wait for that.
            return Outcome::Unreachable;
        }
        let mut last_probe = self.last_probe().lock().await;
        if let Some((sent_at, outcome)) = *last_probe {
            let has_just_failed =
                outcome == Outcome::Unreachable && requested_at < sent_at + STATUS_TIMEOUT;
            if sent_at >= requested_at || has_just_failed {
                return outcome;
            }
        }
        let sent_at = uptime();
        let outcome = match self.request_status(Order::Status).await {
            Ok(status) => Outcome::Status(status),
            Err(error) => {
                let name = &*self.entry().server;
                tracing::debug!(server = name, %error, "a server gave no status");
                if error.is_reply() {
                    Outcome::Reachable
                } else {
                    Outcome::Unreachable
                }
            }
        };
        *last_probe = Some((sent_at, outcome));
        outcome
    }

    async fn exchange_status(&self, order: Order) -> Result<Status, Error> {
        let mut link = self.link(&BTreeMap::new()).await?;
        let answers = link.exchange(&[order]).await?;
        let row = answers.first().and_then(|answer| answer.rows.first());
        let status = D::status(row.ok_or(Error::NoStatus)?)?;
        self.release_link(link);
        Ok(status)
    }
}
