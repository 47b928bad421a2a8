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
use crate::seat::{Claim, Denial, Gap};
use crate::sight::Sight;
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
const FIRST_WORD: Duration = Duration::from_millis(60);

/// Time for which an owner that gave no word, or is leaving, isn't asked again;
/// doubled with each further silence.
const AVOIDANCE: Duration = Duration::from_millis(300);

/// Longest time for which it isn't asked: about that of a restart.
const LONGEST_AVOIDANCE: Duration = Duration::from_millis(1_200);

/// Time that a node gets to ask a server what it is.
const STATUS_PATIENCE: Duration = Duration::from_millis(300);

/// Time after which an unused lane is closed; its owner closes it later.
const IDLE: Duration = Duration::from_secs(5);

/// The messages of a lane's connection.
pub type Wire = Framed<TcpStream, LengthDelimitedCodec>;

/// An order to run at a lent seat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
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
    Waiting,
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
        place: Option<Watermark>,
    },
    /// The server gave no answer.
    Lost(Lost),
    /// What the node knows of the server just now.
    Status(Sight),
    /// The doubt was taken in.
    Noted,
}

impl From<Result<Answer, Lost>> for Reply {
    fn from(exchanged: Result<Answer, Lost>) -> Self {
        match exchanged {
            Ok(answer) => Self::Answered {
                rows: answer.rows,
                outcome: answer.outcome,
                state: answer.state,
                place: answer.place,
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
    Silent,
    /// The owner is there, but its last word didn't come in time.
    #[error("the owner's last word didn't come in time")]
    Late,
    /// The owner's words can't be read.
    #[error("the owner's words can't be read")]
    Garbled(#[from] postcard::Error),
}

/// Sends a message over a lane's connection.
///
/// # Errors
///
/// [`enum@Error`] if the connection breaks.
pub async fn send<T: Serialize>(wire: &mut Wire, message: &T) -> Result<(), Error> {
    let frame = Bytes::from(postcard::to_stdvec(message)?);
    Ok(wire.send(frame).await?)
}

async fn reply(wire: &mut Wire) -> Result<Reply, Error> {
    let frame = wire.next().await;
    let frame = frame.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))??;
    Ok(postcard::from_bytes(&frame)?)
}

/// A connection to the owner of a server, with the seat that it lends.
#[derive(Debug)]
pub struct Lane {
    wire: Wire,
    owner: SocketAddr,
    idle_since: Uptime,
    lanes: Arc<Lanes>,
}

impl Lane {
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
        let run = Run {
            values: setup.values.cloned(),
            prepared: setup.prepared.clone(),
            order,
            limit,
        };
        match self.ask(&Call::Run(run)).await {
            Ok(Reply::Answered {
                rows,
                outcome,
                state,
                place,
            }) => Ok(Answer {
                rows,
                outcome,
                state,
                place,
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
    pub fn give_back(mut self) {
        self.idle_since = uptime();
        let lanes = self.lanes.clone();
        lanes.lock().idle.entry(self.owner).or_default().push(self);
    }

    /// Asks for something, and waits for the owner's last word on it.
    async fn request(&mut self, call: &Call, patience: Duration) -> Result<Reply, Error> {
        let told = timeout(FIRST_WORD, self.ask(call)).await;
        let told = told.map_err(|_| Error::Silent)??;
        if told != Reply::Waiting {
            return Ok(told);
        }
        let rest = timeout(patience + FIRST_WORD, reply(&mut self.wire)).await;
        rest.map_err(|_| Error::Late)?
    }

    async fn ask(&mut self, call: &Call) -> Result<Reply, Error> {
        send(&mut self.wire, call).await?;
        reply(&mut self.wire).await
    }
}

/// How long an owner isn't asked.
#[derive(Clone, Copy, Debug)]
struct Avoided {
    until: Uptime,
    pause: Duration,
}

#[derive(Debug, Default)]
struct Inner {
    idle: BTreeMap<SocketAddr, Vec<Lane>>,
    /// Owners that gave no word, or are leaving.
    avoided: BTreeMap<SocketAddr, Avoided>,
}

/// The lanes of a node to the owners of servers.
#[derive(Debug, Default)]
pub struct Lanes {
    inner: Mutex<Inner>,
}

impl Lanes {
    /// Claims a seat at `owner`, and returns it with the owner's load.
    ///
    /// # Errors
    ///
    /// [`Denial`] if there is none; nothing was run.
    pub async fn claim(
        self: &Arc<Self>,
        owner: SocketAddr,
        claim: &Claim,
    ) -> Result<(Lane, usize), Denial> {
        let call = Call::Claim(claim.clone());
        match self.request(owner, &call, claim.patience).await {
            Some((lane, Reply::Granted { load })) => Ok((lane, load)),
            Some((lane, Reply::Denied(denial))) => {
                lane.give_back();
                if denial == Denial::Missed(Gap::Leaving) {
                    self.avoid(owner);
                }
                Err(denial)
            }
            _ => Err(Denial::Missed(Gap::Silent)),
        }
    }

    /// Asks a node what a server says of itself.
    pub async fn sight(self: &Arc<Self>, node: SocketAddr, server: &ServerId) -> Sight {
        let call = Call::Status(server.clone());
        let told = self.request(node, &call, STATUS_PATIENCE).await;
        let Some((lane, Reply::Status(sight))) = told else {
            return Sight::Untold;
        };
        lane.give_back();
        sight
    }

    /// Tells a node that a server may be lost.
    pub async fn doubt(self: &Arc<Self>, node: SocketAddr, server: &ServerId) {
        let call = Call::Doubt(server.clone());
        let told = self.request(node, &call, Duration::ZERO).await;
        if let Some((lane, Reply::Noted)) = told {
            lane.give_back();
        }
    }

    /// Takes in whether a node that was asked something else gave a word.
    pub fn note(&self, node: SocketAddr, is_answer: bool) {
        if is_answer {
            self.lock().avoided.remove(&node);
        } else {
            self.avoid(node);
        }
    }

    /// Tells whether a node gave no word just now.
    #[must_use]
    pub fn is_silent(&self, node: SocketAddr) -> bool {
        let avoided = self.lock().avoided.get(&node).copied();
        avoided.is_some_and(|avoided| uptime() < avoided.until)
    }

    /// Asks for something over a lane; none if the owner gives no word.
    async fn request(
        self: &Arc<Self>,
        owner: SocketAddr,
        call: &Call,
        patience: Duration,
    ) -> Option<(Lane, Reply)> {
        if !self.may_ask(owner) {
            return None;
        }
        match self.try_request(owner, call, patience).await {
            Ok(told) => {
                self.lock().avoided.remove(&owner);
                Some(told)
            }
            Err(error) => {
                tracing::debug!(%owner, %error, "the owner of a server gives no word");
                if !matches!(error, Error::Late) {
                    self.avoid(owner);
                }
                None
            }
        }
    }

    async fn try_request(
        self: &Arc<Self>,
        owner: SocketAddr,
        call: &Call,
        patience: Duration,
    ) -> Result<(Lane, Reply), Error> {
        // A lane that its owner has closed meanwhile is found out here, before
        // anything was run.
        while let Some(mut lane) = self.idle(owner) {
            match lane.request(call, patience).await {
                Ok(reply) => return Ok((lane, reply)),
                Err(Error::Broken(_)) => {}
                Err(error) => return Err(error),
            }
        }
        let opened = timeout(FIRST_WORD, self.open(owner)).await;
        let mut lane = opened.map_err(|_| Error::Silent)??;
        let reply = lane.request(call, patience).await?;
        Ok((lane, reply))
    }

    async fn open(self: &Arc<Self>, owner: SocketAddr) -> Result<Lane, Error> {
        let stream = TcpStream::connect(owner).await?;
        watch_peer(&stream)?;
        Ok(Lane {
            wire: Framed::new(stream, LengthDelimitedCodec::new()),
            owner,
            idle_since: Uptime::ZERO,
            lanes: self.clone(),
        })
    }

    fn idle(&self, owner: SocketAddr) -> Option<Lane> {
        self.lock().idle.get_mut(&owner)?.pop()
    }

    /// Closes lanes that weren't used for a while.
    pub fn close_idle(&self) {
        let now = uptime();
        let mut inner = self.lock();
        inner.idle.retain(|_, lanes| {
            lanes.retain(|lane| now < lane.idle_since + IDLE);
            !lanes.is_empty()
        });
        inner
            .avoided
            .retain(|_, avoided| now < avoided.until + LONGEST_AVOIDANCE);
    }

    /// Tells whether an owner may be asked. Of the requests that find one due again
    /// only the first may: the others would wait for it in vain.
    fn may_ask(&self, owner: SocketAddr) -> bool {
        let now = uptime();
        let mut inner = self.lock();
        let Some(avoided) = inner.avoided.get_mut(&owner) else {
            return true;
        };
        let is_due = now >= avoided.until;
        if is_due {
            avoided.until = now + avoided.pause;
        }
        is_due
    }

    fn avoid(&self, owner: SocketAddr) {
        let now = uptime();
        let mut inner = self.lock();
        inner.idle.remove(&owner);
        let known = inner.avoided.get(&owner).copied();
        if known.is_some_and(|known| now + AVOIDANCE < known.until) {
            // Requests that were under way together count once.
            return;
        }
        let pause = known.map_or(AVOIDANCE, |known| (known.pause * 2).min(LONGEST_AVOIDANCE));
        let until = now + pause;
        inner.avoided.insert(owner, Avoided { until, pause });
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
