//! Channels to other nodes: to the owners of servers, which lend permits, and to
//! nodes that probe servers or receive suspicions.
//!
//! A channel carries one claim at a time: the claim, then requests until one of them
//! leaves the session outside of a transaction. If a channel breaks, its permit is
//! released, and the owner closes the connection to the server, which rolls back.

use crate::clock::uptime;
use crate::control::peer::Call;
use crate::exchange;
use crate::frames::Frames;
use crate::link::{Setup, configure_socket};
use crate::message::{Answer, Command, Outcome, Prepared, State, Values};
use crate::permit::{Cause, Claim, Denial};
use crate::probe;
use crate::server::Grant;
use agateport_domain::allowance::Lent;
use agateport_domain::pace::Report;
use agateport_domain::prelude::*;
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// Timeout for a node's first reply: some round trips between zones and the pauses of
/// a busy VM. It is short enough that a caller can still be served elsewhere
/// afterwards.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(60);

/// Time for which a node that did not reply, or is leaving, is not contacted again;
/// doubled with each further failure.
const BACKOFF: Duration = Duration::from_millis(300);

/// Maximum backoff: about the time of a restart.
const MAX_BACKOFF: Duration = Duration::from_millis(1_200);

/// Time that another node gets to probe a server.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which an unused channel is closed. The other node's timeout is longer.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// A channel's connection, split into frames.
pub type Transport = Framed<TcpStream, Frames>;

/// A request to execute a command with a borrowed permit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// Session values that the connection must have, by name; none if the command
    /// does not depend on them.
    pub values: Option<Values>,
    /// Prepared statement that the connection must have, if any.
    pub prepared: Option<Prepared>,
    /// The command to execute.
    pub command: Command,
    /// Time left for the execution.
    pub time_left: Duration,
}

/// A reply to a [`Call`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// Interim reply: the call was received, and its final reply takes longer; or, after
    /// the maximum wait of a claim, the owner expects to grant it in time.
    Pending,
    /// The permit is granted.
    Granted {
        /// Number of requests at the owner that use the server or wait for it.
        load: usize,
    },
    /// The permit is denied; nothing was run.
    Denied(Denial),
    /// The server answered.
    Answered {
        /// Rows of the answer, unchanged.
        rows: Vec<Bytes>,
        /// How the statement ended.
        outcome: Outcome,
        /// State of the session after it.
        state: State,
        /// Watermark of the server's log, if it was reported.
        watermark: Option<Watermark>,
    },
    /// The exchange with the server failed.
    Failed(exchange::Failure),
    /// Outcome of the requested probe.
    Probed(probe::Outcome),
    /// The suspicion was recorded.
    Acknowledged,
    /// Operations were lent, which expire soon.
    Lent {
        /// Number of operations, which may be zero.
        count: u32,
        /// Time after which more are expected to be available.
        retry_after: Duration,
    },
    /// The permit is granted by an owner that adapts to its servers. Nodes of former
    /// versions do not know this reply.
    GrantedAt {
        /// Number of requests at the owner that use the server or wait for it.
        load: usize,
        /// Pace and limit of the server, as the owner measures them.
        pace: Report,
    },
}

impl From<Grant> for Reply {
    fn from(Grant { load, pace }: Grant) -> Self {
        match pace {
            Some(pace) => Self::GrantedAt { load, pace },
            None => Self::Granted { load },
        }
    }
}

impl From<Result<Answer, exchange::Failure>> for Reply {
    fn from(exchanged: Result<Answer, exchange::Failure>) -> Self {
        match exchanged {
            Ok(answer) => Self::Answered {
                rows: answer.rows,
                outcome: answer.outcome,
                state: answer.state,
                watermark: answer.watermark,
            },
            Err(failure) => Self::Failed(failure),
        }
    }
}

/// A failure after which a channel is unusable.
#[derive(Debug, Error)]
pub enum Error {
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Disconnected(#[from] io::Error),
    /// The node did not reply within the timeout for a first reply.
    #[error("the node did not reply in time")]
    Unresponsive,
    /// The node sent an interim reply, but no final reply in time.
    #[error("the node sent no final reply in time")]
    Overdue,
    /// The node that waits for a permit closed the channel, or broke its protocol.
    #[error("the channel was closed while a permit was awaited")]
    Abandoned,
    /// The borrower sent no command for a granted permit in time.
    #[error("a permit was not used in time")]
    Unused,
    /// A message on the channel is malformed.
    #[error("malformed message on the channel: {0}")]
    Malformed(#[from] postcard::Error),
}

/// Sends a message over a channel's connection.
///
/// # Errors
///
/// [`enum@Error`] if the connection breaks.
pub async fn send<T: Serialize>(transport: &mut Transport, message: &T) -> Result<(), Error> {
    let frame = Bytes::from(postcard::to_stdvec(message)?);
    Ok(transport.send(frame).await?)
}

async fn receive(transport: &mut Transport) -> Result<Reply, Error> {
    let frame = transport.next().await;
    let frame = frame.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))??;
    Ok(postcard::from_bytes(&frame)?)
}

/// A connection to another node, over which a permit can be borrowed.
#[derive(Debug)]
pub struct Channel {
    transport: Transport,
    node: SocketAddr,
    idle_since: Uptime,
    pool: Arc<Pool>,
}

impl Channel {
    /// Returns the address of the node at the other end.
    #[must_use]
    pub fn node(&self) -> SocketAddr {
        self.node
    }

    /// Executes one command with the borrowed permit.
    ///
    /// # Errors
    ///
    /// [`exchange::Failure`] if no answer is received.
    pub async fn run(
        &mut self,
        setup: &Setup<'_>,
        command: Command,
        time_left: Duration,
    ) -> Result<Answer, exchange::Failure> {
        let request = Request {
            values: setup.values.cloned(),
            prepared: setup.prepared.clone(),
            command,
            time_left,
        };
        match self.exchange(&Call::Execute(request)).await {
            Ok(Reply::Answered {
                rows,
                outcome,
                state,
                watermark,
            }) => Ok(Answer {
                rows,
                outcome,
                state,
                watermark,
                tries: Vec::new(),
            }),
            Ok(Reply::Failed(failure)) => Err(failure),
            Ok(_) => Err(exchange::Failure::ChannelClosed),
            Err(error) => {
                tracing::debug!(owner = %self.node, %error, "the channel to an owner failed");
                Err(exchange::Failure::ChannelClosed)
            }
        }
    }

    /// Returns the channel to its pool, after the owner has taken back the permit.
    pub fn release(mut self) {
        self.idle_since = uptime();
        let pool = self.pool.clone();
        pool.lock().idle.entry(self.node).or_default().push(self);
    }

    /// Sends a call and waits for the final reply.
    async fn call(&mut self, call: &Call, max_wait: Duration) -> Result<Reply, Error> {
        let reply = timeout(FIRST_REPLY_TIMEOUT, self.exchange(call)).await;
        let reply = reply.map_err(|_| Error::Unresponsive)??;
        if reply != Reply::Pending {
            return Ok(reply);
        }
        let reply = timeout(max_wait + FIRST_REPLY_TIMEOUT, receive(&mut self.transport)).await;
        let reply = reply.map_err(|_| Error::Overdue)??;
        let (Reply::Pending, Call::Claim(claim) | Call::ClaimFor(_, claim)) = (&reply, call) else {
            return Ok(reply);
        };
        // The owner expects to start the request in time.
        let reply = timeout(claim.due_in, receive(&mut self.transport)).await;
        reply.map_err(|_| Error::Overdue)?
    }

    async fn exchange(&mut self, call: &Call) -> Result<Reply, Error> {
        send(&mut self.transport, call).await?;
        receive(&mut self.transport).await
    }
}

/// Backoff state of a node.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Uptime,
    /// Length of the current backoff.
    delay: Duration,
}

#[derive(Debug, Default)]
struct Inner {
    idle: BTreeMap<SocketAddr, Vec<Channel>>,
    /// Nodes that did not reply, or are leaving.
    backoffs: BTreeMap<SocketAddr, Backoff>,
}

/// Pool of a node's channels to other nodes.
#[derive(Debug, Default)]
pub struct Pool {
    inner: Mutex<Inner>,
}

impl Pool {
    /// Borrows a permit from `owner`, and returns its channel with the owner's report.
    ///
    /// # Errors
    ///
    /// [`Denial`] if no permit is granted; nothing was run.
    pub async fn acquire(
        self: &Arc<Self>,
        owner: SocketAddr,
        claim: &Claim,
    ) -> Result<(Channel, Grant), Denial> {
        let call = match &claim.workspace {
            Some(workspace) => Call::ClaimFor(workspace.clone(), claim.clone()),
            None => Call::Claim(claim.clone()),
        };
        match self.request(owner, &call, claim.max_wait).await {
            Some((channel, Reply::Granted { load })) => Ok((channel, Grant { load, pace: None })),
            Some((channel, Reply::GrantedAt { load, pace })) => {
                let pace = Some(pace);
                Ok((channel, Grant { load, pace }))
            }
            Some((channel, Reply::Denied(denial))) => {
                channel.release();
                if denial == Denial::Unavailable(Cause::Leaving) {
                    self.back_off(owner);
                }
                Err(denial)
            }
            _ => Err(Denial::Unavailable(Cause::Unresponsive)),
        }
    }

    /// Requests a probe of a server by another node.
    pub async fn probe(self: &Arc<Self>, node: SocketAddr, server: &ServerId) -> probe::Outcome {
        let call = Call::Probe(server.clone());
        let reply = self.request(node, &call, PROBE_TIMEOUT).await;
        let Some((channel, Reply::Probed(outcome))) = reply else {
            return probe::Outcome::Unknown;
        };
        channel.release();
        outcome
    }

    /// Reports to another node that a server may be down.
    pub async fn report_suspicion(self: &Arc<Self>, node: SocketAddr, server: &ServerId) {
        let call = Call::Suspect(server.clone());
        let reply = self.request(node, &call, Duration::ZERO).await;
        if let Some((channel, Reply::Acknowledged)) = reply {
            channel.release();
        }
    }

    /// Requests a lease of operations from another node; none if it does not reply.
    pub async fn borrow(
        self: &Arc<Self>,
        node: SocketAddr,
        workspace: &WorkspaceId,
        version: BundleVersion,
        count: u32,
    ) -> Option<Lent> {
        let call = Call::Borrow {
            workspace: workspace.clone(),
            version,
            count,
        };
        let reply = self.request(node, &call, Duration::ZERO).await;
        let (channel, Reply::Lent { count, retry_after }) = reply? else {
            return None;
        };
        channel.release();
        Some(Lent { count, retry_after })
    }

    /// Records whether a node replied to a request made over another connection.
    pub fn record_reachability(&self, node: SocketAddr, is_reachable: bool) {
        if is_reachable {
            self.lock().backoffs.remove(&node);
        } else {
            self.back_off(node);
        }
    }

    /// Returns whether a node is in backoff, because it did not reply or is leaving.
    #[must_use]
    pub fn is_backing_off(&self, node: SocketAddr) -> bool {
        let backoff = self.lock().backoffs.get(&node).copied();
        backoff.is_some_and(|backoff| uptime() < backoff.until)
    }

    /// Sends a call over a channel; returns `None` if the node is in backoff or does not
    /// reply.
    async fn request(
        self: &Arc<Self>,
        node: SocketAddr,
        call: &Call,
        max_wait: Duration,
    ) -> Option<(Channel, Reply)> {
        if !self.may_contact(node) {
            return None;
        }
        match self.try_request(node, call, max_wait).await {
            Ok(reply) => {
                self.lock().backoffs.remove(&node);
                Some(reply)
            }
            Err(error) => {
                tracing::debug!(owner = %node, %error, "a call over a channel failed");
                if !matches!(error, Error::Overdue) {
                    self.back_off(node);
                }
                None
            }
        }
    }

    async fn try_request(
        self: &Arc<Self>,
        node: SocketAddr,
        call: &Call,
        max_wait: Duration,
    ) -> Result<(Channel, Reply), Error> {
        // A channel that the other node has closed in the meantime fails here, before
        // anything was run.
        while let Some(mut channel) = self.take_idle(node) {
            match channel.call(call, max_wait).await {
                Ok(reply) => return Ok((channel, reply)),
                Err(Error::Disconnected(_)) => {}
                Err(error) => return Err(error),
            }
        }
        let opened = timeout(FIRST_REPLY_TIMEOUT, self.open(node)).await;
        let mut channel = opened.map_err(|_| Error::Unresponsive)??;
        let reply = channel.call(call, max_wait).await?;
        Ok((channel, reply))
    }

    async fn open(self: &Arc<Self>, node: SocketAddr) -> Result<Channel, Error> {
        let stream = TcpStream::connect(node).await?;
        configure_socket(&stream)?;
        Ok(Channel {
            transport: Framed::new(stream, Frames::default()),
            node,
            idle_since: Uptime::ZERO,
            pool: self.clone(),
        })
    }

    fn take_idle(&self, node: SocketAddr) -> Option<Channel> {
        self.lock().idle.get_mut(&node)?.pop()
    }

    /// Closes channels that were idle for too long, and drops the backoffs that expired
    /// more than `MAX_BACKOFF` ago. Until then a further failure doubles the delay.
    pub fn close_idle(&self) {
        let now = uptime();
        let mut inner = self.lock();
        inner.idle.retain(|_, channels| {
            channels.retain(|channel| now < channel.idle_since + IDLE_TIMEOUT);
            !channels.is_empty()
        });
        inner
            .backoffs
            .retain(|_, backoff| now < backoff.until + MAX_BACKOFF);
    }

    /// Returns whether a node may be contacted. When its backoff has expired, only the
    /// first request may retry, and the backoff is renewed for the others, which would
    /// wait in vain if the node is still down.
    fn may_contact(&self, node: SocketAddr) -> bool {
        let now = uptime();
        let mut inner = self.lock();
        let Some(backoff) = inner.backoffs.get_mut(&node) else {
            return true;
        };
        let is_due = now >= backoff.until;
        if is_due {
            backoff.until = now + backoff.delay;
        }
        is_due
    }

    fn back_off(&self, node: SocketAddr) {
        let now = uptime();
        let mut inner = self.lock();
        inner.idle.remove(&node);
        let known = inner.backoffs.get(&node).copied();
        if known.is_some_and(|known| now + BACKOFF < known.until) {
            // A failure while more than `BACKOFF` remains is that of a concurrent
            // request, and does not extend the backoff again.
            return;
        }
        let delay = known.map_or(BACKOFF, |known| (known.delay * 2).min(MAX_BACKOFF));
        let until = now + delay;
        inner.backoffs.insert(node, Backoff { until, delay });
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
