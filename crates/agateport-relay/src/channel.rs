//! Seats at a server that another node lends, and the connections to that node.
//!
//! A lane carries one claim at a time: the claim, then statements until one leaves
//! the session outside of any transaction. A lane that breaks gives its seat up,
//! and the owner closes the server's connection, which rolls back.

use crate::clock::uptime;
use crate::control::peer::Call;
use crate::exchange::Lost;
use crate::link::{Setup, watch_peer};
use crate::message::{Access, Answer, Order, Outcome, State};
use crate::permit::{Cause, Claim, Denial};
use crate::probe;
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
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Time for an owner's first word: some round trips between zones, and the pauses
/// of a busy VM. A caller that waited for it can still be served elsewhere.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(60);

/// Time for which an owner that gave no word, or is leaving, isn't asked again;
/// doubled with each further silence.
const BACKOFF: Duration = Duration::from_millis(300);

/// Longest time for which it isn't asked: about that of a restart.
const MAX_BACKOFF: Duration = Duration::from_millis(1_200);

/// Time that a node gets to ask a server what it is.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which an unused lane is closed; its owner closes it later.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// The messages of a lane's connection.
pub type Transport = Framed<TcpStream, LengthDelimitedCodec>;

/// An order to run at a lent seat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// Values that the connection must have, by name; none if any will do.
    pub values: Option<BTreeMap<Bytes, Bytes>>,
    /// The prepared statement that it must have, if any.
    pub prepared: Option<(Access, Bytes)>,
    /// What the server is asked.
    pub order: Order,
    /// Time left for it.
    pub limit: Duration,
}

/// What the owner of a server answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// The claim waits for a slot or a connection.
    Pending,
    /// The seat is lent.
    Granted {
        /// Requests that use the server through its owner or wait for it.
        load: usize,
    },
    /// There is no seat; nothing was run.
    Denied(Denial),
    /// The server's answer.
    Answered {
        /// Rows, as they came.
        rows: Vec<Bytes>,
        /// How the statement ended.
        outcome: Outcome,
        /// State after it.
        state: State,
        /// Place of the server's log, if it was told.
        watermark: Option<Watermark>,
    },
    /// The server gave no answer.
    Lost(Lost),
    /// What the node knows of the server just now.
    Probed(probe::Outcome),
    /// The doubt was taken in.
    Acknowledged,
}

impl From<Result<Answer, Lost>> for Reply {
    fn from(exchanged: Result<Answer, Lost>) -> Self {
        match exchanged {
            Ok(answer) => Self::Answered {
                rows: answer.rows,
                outcome: answer.outcome,
                state: answer.state,
                watermark: answer.place,
            },
            Err(lost) => Self::Lost(lost),
        }
    }
}

/// A lane that can't be used any more.
#[derive(Debug, Error)]
pub enum Error {
    /// The connection broke.
    #[error("the connection to the owner broke")]
    Broken(#[from] io::Error),
    /// The owner gave no word in time.
    #[error("the owner gave no word in time")]
    Unresponsive,
    /// The owner is there, but its last word didn't come in time.
    #[error("the owner's last word didn't come in time")]
    Overdue,
    /// The owner's words can't be read.
    #[error("the owner's words can't be read")]
    Malformed(#[from] postcard::Error),
}

/// Sends a message over a lane's connection.
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

/// A connection to the owner of a server, with the seat that it lends.
#[derive(Debug)]
pub struct Channel {
    transport: Transport,
    owner: SocketAddr,
    idle_since: Uptime,
    pool: Arc<Pool>,
}

impl Channel {
    /// Runs one order at the seat.
    ///
    /// # Errors
    ///
    /// [`Lost`] if no answer came.
    pub async fn run(
        &mut self,
        setup: &Setup<'_>,
        order: Order,
        limit: Duration,
    ) -> Result<Answer, Lost> {
        let request = Request {
            values: setup.values.cloned(),
            prepared: setup.prepared.clone(),
            order,
            limit,
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
                place: watermark,
                tries: Vec::new(),
            }),
            Ok(Reply::Lost(lost)) => Err(lost),
            Ok(_) => Err(Lost::Lane),
            Err(error) => {
                tracing::debug!(owner = %self.owner, %error, "a lane broke");
                Err(Lost::Lane)
            }
        }
    }

    /// Keeps the lane for the next claim, after the seat went back to its owner.
    pub fn release(mut self) {
        self.idle_since = uptime();
        let pool = self.pool.clone();
        pool.lock().idle.entry(self.owner).or_default().push(self);
    }

    /// Asks for something, and waits for the owner's last word on it.
    async fn call(&mut self, call: &Call, max_wait: Duration) -> Result<Reply, Error> {
        let reply = timeout(FIRST_REPLY_TIMEOUT, self.exchange(call)).await;
        let reply = reply.map_err(|_| Error::Unresponsive)??;
        if reply != Reply::Pending {
            return Ok(reply);
        }
        let reply = timeout(max_wait + FIRST_REPLY_TIMEOUT, receive(&mut self.transport)).await;
        reply.map_err(|_| Error::Overdue)?
    }

    async fn exchange(&mut self, call: &Call) -> Result<Reply, Error> {
        send(&mut self.transport, call).await?;
        receive(&mut self.transport).await
    }
}

/// How long an owner isn't asked.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Uptime,
    delay: Duration,
}

#[derive(Debug, Default)]
struct Inner {
    idle: BTreeMap<SocketAddr, Vec<Channel>>,
    /// Owners that gave no word, or are leaving.
    backoffs: BTreeMap<SocketAddr, Backoff>,
}

/// The lanes of a node to the owners of servers.
#[derive(Debug, Default)]
pub struct Pool {
    inner: Mutex<Inner>,
}

impl Pool {
    /// Claims a seat at `owner`, and returns it with the owner's load.
    ///
    /// # Errors
    ///
    /// [`Denial`] if there is none; nothing was run.
    pub async fn acquire(
        self: &Arc<Self>,
        owner: SocketAddr,
        claim: &Claim,
    ) -> Result<(Channel, usize), Denial> {
        let call = Call::Claim(claim.clone());
        match self.request(owner, &call, claim.max_wait).await {
            Some((channel, Reply::Granted { load })) => Ok((channel, load)),
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

    /// Asks a node what a server says of itself.
    pub async fn probe(self: &Arc<Self>, node: SocketAddr, server: &ServerId) -> probe::Outcome {
        let call = Call::Probe(server.clone());
        let reply = self.request(node, &call, PROBE_TIMEOUT).await;
        let Some((channel, Reply::Probed(outcome))) = reply else {
            return probe::Outcome::Unknown;
        };
        channel.release();
        outcome
    }

    /// Tells a node that a server may be lost.
    pub async fn report_suspicion(self: &Arc<Self>, node: SocketAddr, server: &ServerId) {
        let call = Call::Suspect(server.clone());
        let reply = self.request(node, &call, Duration::ZERO).await;
        if let Some((channel, Reply::Acknowledged)) = reply {
            channel.release();
        }
    }

    /// Takes in whether a node that was asked something else gave a word.
    pub fn record_reachability(&self, node: SocketAddr, is_reachable: bool) {
        if is_reachable {
            self.lock().backoffs.remove(&node);
        } else {
            self.back_off(node);
        }
    }

    /// Tells whether a node gave no word just now.
    #[must_use]
    pub fn is_backing_off(&self, node: SocketAddr) -> bool {
        let backoff = self.lock().backoffs.get(&node).copied();
        backoff.is_some_and(|backoff| uptime() < backoff.until)
    }

    /// Asks for something over a lane; none if the owner gives no word.
    async fn request(
        self: &Arc<Self>,
        owner: SocketAddr,
        call: &Call,
        max_wait: Duration,
    ) -> Option<(Channel, Reply)> {
        if !self.may_contact(owner) {
            return None;
        }
        match self.try_request(owner, call, max_wait).await {
            Ok(reply) => {
                self.lock().backoffs.remove(&owner);
                Some(reply)
            }
            Err(error) => {
                tracing::debug!(%owner, %error, "the owner of a server gives no word");
                if !matches!(error, Error::Overdue) {
                    self.back_off(owner);
                }
                None
            }
        }
    }

    async fn try_request(
        self: &Arc<Self>,
        owner: SocketAddr,
        call: &Call,
        max_wait: Duration,
    ) -> Result<(Channel, Reply), Error> {
        // A lane that its owner has closed meanwhile is found out here, before
        // anything was run.
        while let Some(mut channel) = self.take_idle(owner) {
            match channel.call(call, max_wait).await {
                Ok(reply) => return Ok((channel, reply)),
                Err(Error::Broken(_)) => {}
                Err(error) => return Err(error),
            }
        }
        let opened = timeout(FIRST_REPLY_TIMEOUT, self.open(owner)).await;
        let mut channel = opened.map_err(|_| Error::Unresponsive)??;
        let reply = channel.call(call, max_wait).await?;
        Ok((channel, reply))
    }

    async fn open(self: &Arc<Self>, owner: SocketAddr) -> Result<Channel, Error> {
        let stream = TcpStream::connect(owner).await?;
        watch_peer(&stream)?;
        Ok(Channel {
            transport: Framed::new(stream, LengthDelimitedCodec::new()),
            owner,
            idle_since: Uptime::ZERO,
            pool: self.clone(),
        })
    }

    fn take_idle(&self, owner: SocketAddr) -> Option<Channel> {
        self.lock().idle.get_mut(&owner)?.pop()
    }

    /// Closes lanes that weren't used for a while.
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

    /// Tells whether an owner may be asked. Of the requests that find one due again
    /// only the first may: the others would wait for it in vain.
    fn may_contact(&self, owner: SocketAddr) -> bool {
        let now = uptime();
        let mut inner = self.lock();
        let Some(backoff) = inner.backoffs.get_mut(&owner) else {
            return true;
        };
        let is_due = now >= backoff.until;
        if is_due {
            backoff.until = now + backoff.delay;
        }
        is_due
    }

    fn back_off(&self, owner: SocketAddr) {
        let now = uptime();
        let mut inner = self.lock();
        inner.idle.remove(&owner);
        let known = inner.backoffs.get(&owner).copied();
        if known.is_some_and(|known| now + BACKOFF < known.until) {
            // Requests that were under way together count once.
            return;
        }
        let delay = known.map_or(BACKOFF, |known| (known.delay * 2).min(MAX_BACKOFF));
        let until = now + delay;
        inner.backoffs.insert(owner, Backoff { until, delay });
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
