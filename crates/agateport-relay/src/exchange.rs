//! One order to a server and its answer, with what silence means.

use crate::clock::uptime;
use crate::dialect::Dialect;
use crate::link::{Context, Link};
use crate::message::{Answer, Order, Outcome, Request};
use crate::server::Server;
use agateport_domain::prelude::*;
use std::pin::pin;
use tokio::time::{Instant as Deadline, timeout_at};

/// Silence after which a server is suspected: the time of a long statement and a
/// full queue.
const SILENCE: Duration = Duration::from_millis(300);

/// Why an exchange has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lost {
    /// The connection broke.
    Broken,
    /// No answer came in time.
    Slow,
}

impl Lost {
    /// Returns the name used in logs and counters.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Broken => "broken",
            Self::Slow => "slow",
        }
    }
}

/// Sends one order and waits for its answer; a server that is silent for long is
/// suspected meanwhile.
///
/// # Errors
///
/// [`Lost`] if no answer came; what was sent may have run.
pub async fn exchange<D: Dialect>(
    server: &Server<D>,
    link: &mut Link<D>,
    order: Order,
    deadline: Instant,
) -> Result<Answer, Lost> {
    let asked = uptime();
    let orders = [order];
    let deadline = Deadline::from_std(deadline);
    let suspicion = deadline.min(Deadline::now() + SILENCE);
    let mut exchanging = pin!(link.exchange(&orders));
    let mut exchanged = timeout_at(suspicion, &mut exchanging).await;
    if exchanged.is_err() {
        server.missed(asked);
        exchanged = timeout_at(deadline, exchanging).await;
    }
    let answers = exchanged.map_err(|_| Lost::Slow)?;
    let answers = answers.map_err(|error| {
        tracing::debug!(%error, "an exchange with a server broke off");
        server.missed(asked);
        Lost::Broken
    })?;
    answers.into_iter().next().ok_or(Lost::Broken)
}

/// Brings a connection to a session's values and prepared statements.
///
/// # Errors
///
/// [`Lost`] if the connection can't be used; no statement was run.
pub async fn align<D: Dialect>(
    link: &mut Link<D>,
    context: &Context,
    request: Option<&Request>,
    deadline: Instant,
) -> Result<(), Lost> {
    let orders = link.alignment(context, request);
    if orders.is_empty() {
        return Ok(());
    }
    let exchanged = timeout_at(Deadline::from_std(deadline), link.exchange(&orders)).await;
    let answers = exchanged.map_err(|_| Lost::Slow)?;
    let answers = answers.map_err(|_| Lost::Broken)?;
    let is_done = |answer: &Answer| matches!(answer.outcome, Outcome::Done(_));
    if answers.iter().all(is_done) {
        return Ok(());
    }
    tracing::warn!(
        event = "alignment_failed",
        "a server refused a session's value or prepared statement"
    );
    Err(Lost::Broken)
}
