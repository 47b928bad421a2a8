//! The right to run statements at a server: over an own connection, or over one
//! that another node lends.

use crate::channel::{self, Channel};
use crate::clock::uptime;
use crate::dialect::Dialect;
use crate::exchange::Lost;
use crate::link::{self, Link, Setup};
use crate::message::{Answer, Code, Order, State, Status};
use crate::probe;
use crate::server::{Role, Server};
use crate::slot::{Slot, Usage};
use agateport_domain::prelude::*;
use agateport_domain::request::Refusal;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Pause before another try at a server that has no connection left; other
/// nodes close theirs meanwhile.
const CONNECTION_PAUSE: Duration = Duration::from_millis(15);

/// What a request asks of a server before it is sent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Name of the server.
    pub server: ServerId,
    /// Rank of the work.
    pub priority: PriorityId,
    /// Who asks, for fairness among callers.
    pub caller: CallerId,
    /// Time until the answer is due.
    pub due_in: Duration,
    /// Time that it waits for a slot and a connection.
    pub max_wait: Duration,
    /// Values of its session; a connection that has them is preferred.
    pub values: BTreeMap<Bytes, Bytes>,
}

/// Why a node has no seat to give.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Cause {
    /// The node isn't an owner of the server.
    NotOwner,
    /// The node is about to stop.
    Leaving,
    /// The node gave no word.
    Unresponsive,
    /// The server can't be reached.
    Unreachable,
    /// The server has no connection left.
    Exhausted,
}

/// Why a claim got no seat; nothing was run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Denial {
    /// No slot comes in time.
    Refused(Refusal),
    /// There is no seat to give.
    Unavailable(Cause),
}

/// The right to run statements at a server.
#[derive(Debug)]
pub enum Permit<D: Dialect> {
    /// Over a connection of this node.
    Local {
        /// The right to a slot.
        slot: Slot<D>,
        /// The connection.
        link: Link<D>,
    },
    /// Over a connection of the server's owner.
    Borrowed {
        /// The connection to the owner.
        channel: Channel,
        /// Counts this use of the server.
        usage: Usage<D>,
    },
}

impl<D: Dialect> Permit<D> {
    /// Runs one order, after what its connection must have for it.
    ///
    /// # Errors
    ///
    /// [`Lost`] if no answer came.
    pub async fn run(
        &mut self,
        setup: &Setup<'_>,
        order: Order,
        deadline: Instant,
    ) -> Result<Answer, Lost> {
        match self {
            Self::Local { slot, link } => {
                slot.resume();
                run_at(link, setup, order).await
            }
            Self::Borrowed { channel, .. } => {
                let limit = deadline.saturating_duration_since(Instant::now());
                channel.run(setup, order, limit).await
            }
        }
    }

    /// Gives the slot back between two statements of a transaction.
    pub fn pause(&self) {
        match self {
            Self::Local { slot, .. } => slot.pause(),
            // The owner does it by itself.
            Self::Borrowed { .. } => {}
        }
    }

    /// Gives the seat up; its connection is kept for others if it is outside of
    /// any transaction, and closed else, which rolls back.
    pub fn release(self, state: State) {
        if !state.is_idle() {
            return;
        }
        match self {
            Self::Local { slot, link } => slot.server().release_link(link),
            Self::Borrowed { channel, .. } => channel.release(),
        }
    }
}

async fn run_at<D: Dialect>(
    link: &mut Link<D>,
    setup: &Setup<'_>,
    order: Order,
) -> Result<Answer, Lost> {
    link.align(setup).await.map_err(|error| {
        tracing::debug!(%error, "a connection could not be brought to a session's values");
        Lost::Unsent
    })?;
    let answers = link.exchange(&[order]).await.map_err(|error| {
        tracing::debug!(%error, "an exchange with a server broke off");
        Lost::Broken
    })?;
    let answer = answers.into_iter().next().ok_or(Lost::Broken)?;
    if answer.code() == Some(&Code::NoStatement) {
        link.forget_prepared();
    }
    Ok(answer)
}

/// Finds a seat at a server: at this node, or at an owner of the server.
///
/// # Errors
///
/// [`Denial`] if there is none; nothing was run.
pub async fn acquire<D: Dialect>(
    server: &Arc<Server<D>>,
    channels: &Arc<channel::Pool>,
    claim: &Claim,
) -> Result<Permit<D>, Denial> {
    let role = server.role();
    let Role::Borrower(owners) = &*role else {
        return acquire_local(server, claim).await;
    };
    let sent_at = uptime();
    let latest = Instant::now() + claim.max_wait;
    for owner in owners {
        match borrow(server, channels, *owner, claim).await {
            Err(Denial::Unavailable(Cause::NotOwner | Cause::Leaving | Cause::Unresponsive)) => {}
            acquired => return acquired,
        }
        if Instant::now() >= latest {
            break;
        }
    }
    // Owners are in the zone of their server, so both may be out of reach. A
    // connection of its own would take one from the owners, which order them.
    server.record_timeout(sent_at);
    Err(Denial::Unavailable(Cause::Unresponsive))
}

/// Asks what a server says of itself: at this node, or at an owner of the server.
/// None if nobody tells.
pub async fn status<D: Dialect>(
    server: &Server<D>,
    channels: &Arc<channel::Pool>,
) -> Option<Status> {
    let role = server.role();
    let Role::Borrower(owners) = &*role else {
        return server.probe().await.status();
    };
    let name = server.entry().server.clone();
    for owner in owners {
        let outcome = channels.probe(*owner, &name).await;
        if outcome != probe::Outcome::Unknown {
            return outcome.status();
        }
    }
    None
}

async fn borrow<D: Dialect>(
    server: &Arc<Server<D>>,
    channels: &Arc<channel::Pool>,
    owner: SocketAddr,
    claim: &Claim,
) -> Result<Permit<D>, Denial> {
    let usage = Usage::new(server.clone());
    let (channel, load) = channels.acquire(owner, claim).await?;
    server.record_owner_load(load);
    Ok(Permit::Borrowed { channel, usage })
}

/// Takes a seat over a connection of this node.
///
/// # Errors
///
/// [`Denial`] if there is none; nothing was run.
pub async fn acquire_local<D: Dialect>(
    server: &Arc<Server<D>>,
    claim: &Claim,
) -> Result<Permit<D>, Denial> {
    let now = Instant::now();
    let latest = now + claim.max_wait;
    let slot = server
        .admit(&claim.priority, &claim.caller, now + claim.due_in, latest)
        .await
        .map_err(Denial::Refused)?;
    let mut opened = server.link(&claim.values).await;
    while is_exhausted(&opened) && Instant::now() < latest {
        tokio::time::sleep(CONNECTION_PAUSE).await;
        opened = server.link(&claim.values).await;
    }
    if is_exhausted(&opened) {
        return Err(Denial::Unavailable(Cause::Exhausted));
    }
    let link = opened.map_err(|error| {
        tracing::info!(
            event = "connection_failed",
            server = &*server.entry().server,
            %error,
            "no connection to a server"
        );
        Denial::Unavailable(Cause::Unreachable)
    })?;
    Ok(Permit::Local { slot, link })
}

/// Tells whether a server has no connection left.
fn is_exhausted<T>(opened: &Result<T, link::Error>) -> bool {
    matches!(opened, Err(link::Error::Refused(Code::TooMany)))
}
