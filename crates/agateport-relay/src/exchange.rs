//! One order to a server and its answer, with what silence means.

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

/// Silence after which a server is suspected: the time of a long statement and a
/// full queue.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(300);

/// Why an exchange has no answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Failure {
    /// The server's connection broke.
    Disconnected,
    /// The node that lent the connection broke off.
    ChannelClosed,
    /// No answer came in time.
    TimedOut,
    /// The connection broke before the order was sent; it wasn't run.
    Unsent,
}

impl Failure {
    /// Returns the name used in logs and counters.
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

/// One order to a server at a seat there.
#[derive(Debug)]
pub struct Exchange<'a, D: Protocol> {
    /// The server.
    pub server: &'a Server<D>,
    /// The right to run it.
    pub permit: &'a mut Permit<D>,
    /// When its answer is no longer waited for.
    pub deadline: Instant,
}

impl<D: Protocol> Exchange<'_, D> {
    /// Runs the order and waits for its answer; a server that is silent for long
    /// is suspected meanwhile.
    ///
    /// # Errors
    ///
    /// [`Failure`] if no answer came; but for [`Failure::Unsent`], it may have run.
    pub async fn run(self, setup: &Setup<'_>, command: Command) -> Result<Answer, Failure> {
        let sent_at = uptime();
        let deadline = Deadline::from_std(self.deadline);
        let suspicion = deadline.min(Deadline::now() + SUSPICION_TIMEOUT);
        let mut running = pin!(self.permit.run(setup, command, self.deadline));
        let mut result = timeout_at(suspicion, &mut running).await;
        if result.is_err() {
            self.server.record_timeout(sent_at);
            result = timeout_at(deadline, running).await;
        }
        let result = result.unwrap_or(Err(Failure::TimedOut));
        if result == Err(Failure::Disconnected) {
            self.server.record_timeout(sent_at);
        }
        result
    }
}
