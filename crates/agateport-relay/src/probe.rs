//! Probes of servers, and the classification of their failures.

use crate::clock::uptime;
use crate::link;
use crate::message::{Command, Status};
use crate::protocol::{self, Protocol};
use crate::server::Server;
use agateport_domain::prelude::*;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::time::timeout;

/// Timeout for a server's status: a round trip and the server's queueing delay.
const STATUS_TIMEOUT: Duration = Duration::from_millis(300);

/// Outcome of a probe of a server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The server reported this status.
    Status(Status),
    /// The server answered, but without a valid status.
    Reachable,
    /// The server did not answer.
    Unreachable,
    /// The probing node was not contacted, did not reply, or does not know the server.
    Unknown,
}

impl Outcome {
    /// Returns the reported status, if there is one.
    #[must_use]
    pub fn status(self) -> Option<Status> {
        match self {
            Self::Status(status) => Some(status),
            Self::Reachable | Self::Unreachable | Self::Unknown => None,
        }
    }
}

/// A failed status request.
#[derive(Debug, Error)]
pub enum Error {
    /// The connection to the server failed.
    #[error("the connection to the server failed: {0}")]
    Link(#[from] link::Error),
    /// The server did not answer within the timeout for a status.
    #[error("the server did not answer in time")]
    TimedOut,
    /// The answer has no status row.
    #[error("the server's answer has no status row")]
    NoStatus,
    /// The status row is malformed.
    #[error("malformed status row: {0}")]
    Malformed(#[from] protocol::Error),
}

impl Error {
    /// Returns whether the failure is a reply, which means that the server is
    /// reachable.
    #[must_use]
    pub fn is_reply(&self) -> bool {
        match self {
            Self::Link(link::Error::Refused(_)) | Self::NoStatus | Self::Malformed(_) => true,
            Self::Link(_) | Self::TimedOut => false,
        }
    }
}

impl<W: Protocol> Server<W> {
    /// Sends a command that the server answers with its status.
    ///
    /// # Errors
    ///
    /// [`enum@Error`] if no valid status is received.
    pub async fn request_status(&self, command: Command) -> Result<Status, Error> {
        let sent_at = uptime();
        let result = timeout(STATUS_TIMEOUT, self.exchange_status(command)).await;
        let status = result.unwrap_or(Err(Error::TimedOut));
        match &status {
            Ok(status) => self.record_answer(sent_at, Some(status.last)),
            Err(Error::TimedOut) => self.record_failure(sent_at),
            Err(error) if error.is_reply() => self.record_answer(sent_at, None),
            Err(_) => {}
        }
        status
    }

    /// Probes the server, or shares the outcome of a probe that was sent after this
    /// one was requested, or of one that has just failed.
    pub async fn probe(&self) -> Outcome {
        let requested_at = uptime();
        if self.is_unreachable() {
            // An unreachable server is probed continuously in the background, so the
            // caller need not wait for another probe.
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
        let outcome = match self.request_status(Command::Status).await {
            Ok(status) => Outcome::Status(status),
            Err(error) => {
                let name = &*self.entry().server;
                tracing::debug!(server = name, %error, "a server did not return its status");
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

    async fn exchange_status(&self, command: Command) -> Result<Status, Error> {
        let mut link = self.any_link().await?;
        let answers = link.exchange(&[command]).await?;
        let row = answers.first().and_then(|answer| answer.rows.first());
        let status = W::decode_status(row.ok_or(Error::NoStatus)?)?;
        self.release_link(link);
        Ok(status)
    }
}
