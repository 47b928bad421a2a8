//! Sends a command to a server, waits for its answer, and records a failure of the server
//! if it does not answer.

use crate::clock::uptime;
use crate::link::Setup;
use crate::message::{Answer, Command};
use crate::permit::Permit;
use crate::protocol::Protocol;
use crate::server::Server;
use agateport_domain::prelude::*;
use serde::{Deserialize, Serialize};
use std::pin::pin;
use tokio::time::{Instant as Deadline, timeout_at};

/// Time without an answer after which the failure detector records a failure of the
/// server: the duration of a long statement behind a full queue.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Why an exchange has no answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Failure {
    /// The connection to the server broke, or the server's answer was malformed.
    Disconnected,
    /// The channel to the node that lent the permit broke, or its reply was malformed.
    ChannelClosed,
    /// No answer was received before the deadline.
    TimedOut,
    /// The connection could not be prepared for the command, which was not sent.
    Unsent,
}

impl Failure {
    /// Returns the name for logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Disconnected => "broken",
            Self::ChannelClosed => "lane",
            Self::TimedOut => "slow",
            Self::Unsent => "unsent",
        }
    }
}

/// Where one command runs, and until when its answer is awaited.
#[derive(Debug)]
pub struct Exchange<'a, W: Protocol> {
    /// Server that runs the command.
    pub server: &'a Server<W>,
    /// Permit for the server.
    pub permit: &'a mut Permit<W>,
    /// When the wait for the answer ends.
    pub deadline: Instant,
}

impl<W: Protocol> Exchange<'_, W> {
    /// Runs the command and waits for its answer. If there is none within
    /// `RESPONSE_TIMEOUT`, a failure of the server is recorded while the wait continues; a
    /// broken connection to the server is recorded as a failure as well.
    ///
    /// # Errors
    ///
    /// [`Failure`] if no answer was received. Unless it is [`Failure::Unsent`], the
    /// command may have been run.
    pub async fn run(mut self, setup: &Setup<'_>, command: Command) -> Result<Answer, Failure> {
        let sent_at = uptime();
        let result = self.receive(setup, command, sent_at).await;
        if result == Err(Failure::Disconnected) {
            self.server.record_failure(sent_at);
        }
        // For a borrowed permit, the owner measures the server, without the time of the
        // messages between the nodes.
        if let Permit::Local { slot, .. } = &*self.permit {
            slot.record_response(&result, uptime().saturating_sub(sent_at));
        }
        result
    }

    async fn receive(
        &mut self,
        setup: &Setup<'_>,
        command: Command,
        sent_at: Uptime,
    ) -> Result<Answer, Failure> {
        let deadline = Deadline::from_std(self.deadline);
        let response_deadline = deadline.min(Deadline::now() + RESPONSE_TIMEOUT);
        let mut running = pin!(self.permit.run(setup, command, self.deadline));
        let mut result = timeout_at(response_deadline, &mut running).await;
        if result.is_err() {
            self.server.record_failure(sent_at);
            result = timeout_at(deadline, running).await;
        }
        result.unwrap_or(Err(Failure::TimedOut))
    }
}
