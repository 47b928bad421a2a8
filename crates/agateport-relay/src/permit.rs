//! Permits to run statements at a server, over a connection of this node or over
//! one that an owner of the server lends.

use crate::channel::{self, Channel};
use crate::clock::uptime;
use crate::exchange;
use crate::link::{self, Link, Setup};
use crate::message::{Answer, Code, Command, State, Status, Values};
use crate::probe;
use crate::protocol::Protocol;
use crate::server::{Place, Role, Server};
use crate::slot::{Slot, Usage};
use crate::trace::Site;
use agateport_domain::owner::rotate;
use agateport_domain::prelude::*;
use agateport_domain::request::Refusal;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Pause before a retry at a server that has no connection left; other nodes close
/// idle ones in the meantime.
const CONNECTION_PAUSE: Duration = Duration::from_millis(15);

/// A request for a permit at a server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Name of the server.
    pub server: ServerId,
    /// Priority of the work.
    pub priority: PriorityId,
    /// Caller that the work is for; slots are shared fairly among callers.
    pub caller: CallerId,
    /// Time until the answer is due, relative to the claim.
    pub due_in: Duration,
    /// Maximum wait for a slot and a connection.
    pub max_wait: Duration,
    /// Values of the caller's session; a connection that already has them is preferred.
    pub values: Values,
    /// Workspace whose connections are used. Between nodes it is part of
    /// [`crate::control::peer::Call::ClaimFor`], so that other claims stay as they were.
    #[serde(skip)]
    pub workspace: Option<WorkspaceId>,
}

/// Why a permit is unavailable at a node.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Cause {
    /// The node is not an owner of the server.
    NotOwner,
    /// The node is stopping.
    Leaving,
    /// The node did not reply.
    Unresponsive,
    /// The server is unreachable.
    Unreachable,
    /// The server has no connection left.
    Exhausted,
}

/// Why a claim is denied; nothing was run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Denial {
    /// The server's queue refused the request, or no slot became free in time.
    Refused(Refusal),
    /// The permit is unavailable for another cause.
    Unavailable(Cause),
}

/// A permit to run statements at a server.
#[derive(Debug)]
pub enum Permit<W: Protocol> {
    /// Over a connection of this node.
    Local {
        /// The slot at the server.
        slot: Slot<W>,
        /// The connection to the server.
        link: Link<W>,
    },
    /// Over a connection of the server's owner.
    Borrowed {
        /// The channel to the owner.
        channel: Channel,
        /// Counts this permit in the load of the server.
        usage: Usage<W>,
    },
}

impl<W: Protocol> Permit<W> {
    /// Executes one command, after its connection has been set up for it. If the server
    /// rejects the setup, the answer says so, and the command is not sent.
    ///
    /// # Errors
    ///
    /// [`exchange::Failure`] if no answer is received.
    pub async fn run(
        &mut self,
        setup: &Setup<'_>,
        command: Command,
        deadline: Instant,
    ) -> Result<Answer, exchange::Failure> {
        match self {
            Self::Local { slot, link } => {
                slot.resume();
                run_on(slot.server(), link, setup, command).await
            }
            Self::Borrowed { channel, .. } => {
                let time_left = deadline.saturating_duration_since(Instant::now());
                channel.run(setup, command, time_left).await
            }
        }
    }

    /// Returns the address of the node that lent the permit, if another one did.
    #[must_use]
    pub fn owner(&self) -> Option<SocketAddr> {
        match self {
            Self::Local { .. } => None,
            Self::Borrowed { channel, .. } => Some(channel.node()),
        }
    }

    /// Releases the slot between two statements of a transaction.
    pub fn pause(&self) {
        match self {
            Self::Local { slot, .. } => slot.pause(),
            // The owner releases the slot on its side.
            Self::Borrowed { .. } => {}
        }
    }

    /// Releases a permit that was used for nothing.
    pub fn release_unused(self) {
        match self {
            Self::Local { slot, link } => {
                // The next request must find the connection, or it would open another one.
                slot.server().release_link(link);
                slot.discard();
            }
            // The owner still waits for a command, so the channel cannot be used for another
            // claim. Closing it returns the permit.
            Self::Borrowed { channel, .. } => drop(channel),
        }
    }

    /// Releases the permit. Its connection is kept for reuse if it is outside of a
    /// transaction; otherwise it is closed, which rolls back.
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

async fn run_on<W: Protocol>(
    server: &Server<W>,
    link: &mut Link<W>,
    setup: &Setup<'_>,
    command: Command,
) -> Result<Answer, exchange::Failure> {
    let state = link.state();
    let aligned = link.align(setup).await.map_err(|error| {
        tracing::debug!(%error, "a connection could not be set up for a session");
        exchange::Failure::Unsent
    })?;
    let command = link.bind(setup, command);
    let site = Site {
        server,
        link: link.id,
        request: command.id(),
    };
    server.trace().record_alignment(&site, &aligned);
    if let Some(rejection) = aligned.rejection {
        return Ok(rejection.into_answer(state));
    }
    if link.state() != state {
        // The server ended the transaction, so the command would run outside of it.
        return Err(exchange::Failure::Unsent);
    }
    let prepared = setup.prepared.as_ref();
    server.trace().record_execution(&site, &command, prepared);
    let commands = std::slice::from_ref(&command);
    let answers = link.exchange(commands).await.map_err(|error| {
        tracing::debug!(%error, "an exchange with a server failed");
        exchange::Failure::Disconnected
    })?;
    let answer = answers
        .into_iter()
        .next()
        .ok_or(exchange::Failure::Disconnected)?;
    if answer.code() == Some(&Code::NoStatement) {
        server.trace().record_mismatch(&site, &command);
        link.forget_prepared();
    }
    Ok(answer)
}

/// Acquires a permit at a server, from this node or from an owner of the server.
///
/// # Errors
///
/// [`Denial`] if no permit is granted; nothing was run.
pub async fn acquire<W: Protocol>(
    server: &Arc<Server<W>>,
    channels: &Arc<channel::Pool>,
    claim: &Claim,
) -> Result<Permit<W>, Denial> {
    let role = server.role();
    if matches!(*role, Role::Owner) {
        return acquire_local(server, claim).await;
    }
    let places = places(&role, claim);
    let sent_at = uptime();
    let latest = Instant::now() + claim.max_wait;
    for place in places {
        let Place::Node(owner) = place else {
            return acquire_local(server, claim).await;
        };
        match borrow(server, channels, owner, claim).await {
            Err(Denial::Unavailable(Cause::NotOwner | Cause::Leaving | Cause::Unresponsive)) => {}
            acquired => return acquired,
        }
        if Instant::now() >= latest {
            break;
        }
    }
    // The owners are normally in the zone of their server, so if none of them handles
    // the claim, the server may be unreachable as well. This node does not connect to it
    // instead: that would take a connection away from the owners, which order the
    // requests for the server.
    server.record_failure(sent_at);
    Err(Denial::Unavailable(Cause::Unresponsive))
}

/// Returns where a permit is requested, in order.
pub(crate) fn places(role: &Role, claim: &Claim) -> Vec<Place> {
    let mut places: Vec<_> = match role {
        Role::Owner => return vec![Place::Here],
        Role::Borrower(owners) => owners.iter().copied().map(Place::Node).collect(),
        Role::CoOwner(places) => places.clone(),
    };
    if let Some(workspace) = &claim.workspace {
        rotate(&mut places, workspace, &claim.server);
    }
    places
}

/// Queries the status of a server, directly or through an owner of the server.
/// Returns `None` if no status is received.
pub async fn status<W: Protocol>(
    server: &Server<W>,
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

async fn borrow<W: Protocol>(
    server: &Arc<Server<W>>,
    channels: &Arc<channel::Pool>,
    owner: SocketAddr,
    claim: &Claim,
) -> Result<Permit<W>, Denial> {
    let usage = Usage::new(server.clone());
    let (channel, grant) = channels.acquire(owner, claim).await?;
    server.record_grant(grant);
    Ok(Permit::Borrowed { channel, usage })
}

/// Acquires a permit over a connection of this node.
///
/// # Errors
///
/// [`Denial`] if no permit is granted; nothing was run.
pub async fn acquire_local<W: Protocol>(
    server: &Arc<Server<W>>,
    claim: &Claim,
) -> Result<Permit<W>, Denial> {
    let now = Instant::now();
    let latest = now + claim.max_wait;
    let slot = server
        .admit(&claim.priority, &claim.caller, now + claim.due_in, latest)
        .await
        .map_err(Denial::Refused)?;
    let mut opened = server.link(&claim.values, claim.workspace.as_ref()).await;
    while is_exhausted(&opened) && Instant::now() < latest {
        tokio::time::sleep(CONNECTION_PAUSE).await;
        opened = server.link(&claim.values, claim.workspace.as_ref()).await;
    }
    if is_exhausted(&opened) {
        return Err(Denial::Unavailable(Cause::Exhausted));
    }
    let link = opened.map_err(|error| {
        tracing::info!(
            event = "connection_failed",
            server = &*server.entry().server,
            %error,
            "a connection to a server could not be opened"
        );
        Denial::Unavailable(Cause::Unreachable)
    })?;
    Ok(Permit::Local { slot, link })
}

/// Returns whether opening failed because the server has no connection left.
fn is_exhausted<T>(opened: &Result<T, link::Error>) -> bool {
    matches!(opened, Err(link::Error::Refused(Code::TooMany)))
}
