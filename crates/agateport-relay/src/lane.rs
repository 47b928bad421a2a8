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

/// Time for an owner's first word: a new connection between zones, and the pause
/// of a VM that has used up its tenth of a second.
const FIRST_WORD: Duration = Duration::from_millis(120);

/// Time for which an owner that gave no word, or is leaving, isn't asked again.
const AVOIDANCE: Duration = Duration::from_millis(500);

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

    /// Sends a claim and waits for what becomes of it.
    async fn claim(&mut self, claim: &Claim) -> Result<Reply, Error> {
        let call = Call::Claim(claim.clone());
        let told = timeout(FIRST_WORD, self.ask(&call)).await;
        let told = told.map_err(|_| Error::Silent)??;
        if told != Reply::Waiting {
            return Ok(told);
        }
        let rest = timeout(claim.patience + FIRST_WORD, reply(&mut self.wire)).await;
        rest.map_err(|_| Error::Silent)?
    }

    async fn ask(&mut self, call: &Call) -> Result<Reply, Error> {
        send(&mut self.wire, call).await?;
        reply(&mut self.wire).await
    }
}

#[derive(Debug, Default)]
struct Inner {
    idle: BTreeMap<SocketAddr, Vec<Lane>>,
    /// Owners that gave no word, and until when they aren't asked.
    avoided: BTreeMap<SocketAddr, Uptime>,
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
        if self.is_avoided(owner) {
            return Err(Denial::Missed(Gap::Silent));
        }
        let (lane, denial) = match self.try_claim(owner, claim).await {
            Ok((lane, Reply::Granted { load })) => return Ok((lane, load)),
            Ok((lane, Reply::Denied(denial))) => (Some(lane), denial),
            Ok(_) => (None, Denial::Missed(Gap::Silent)),
            Err(error) => {
                tracing::debug!(%owner, %error, "the owner of a server lends no seat");
                (None, Denial::Missed(Gap::Silent))
            }
        };
        if matches!(denial, Denial::Missed(Gap::Leaving | Gap::Silent)) {
            self.avoid(owner);
        }
        if let Some(lane) = lane {
            lane.give_back();
        }
        Err(denial)
    }

    async fn try_claim(
        self: &Arc<Self>,
        owner: SocketAddr,
        claim: &Claim,
    ) -> Result<(Lane, Reply), Error> {
        // A lane that its owner has closed meanwhile is found out here, before
        // anything was run.
        while let Some(mut lane) = self.idle(owner) {
            match lane.claim(claim).await {
                Ok(reply) => return Ok((lane, reply)),
                Err(Error::Broken(_)) => {}
                Err(error) => return Err(error),
            }
        }
        let opened = timeout(FIRST_WORD, self.open(owner)).await;
        let mut lane = opened.map_err(|_| Error::Silent)??;
        let reply = lane.claim(claim).await?;
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
        inner.avoided.retain(|_, until| now < *until);
    }

    fn is_avoided(&self, owner: SocketAddr) -> bool {
        let until = self.lock().avoided.get(&owner).copied();
        until.is_some_and(|until| uptime() < until)
    }

    fn avoid(&self, owner: SocketAddr) {
        let mut inner = self.lock();
        inner.idle.remove(&owner);
        inner.avoided.insert(owner, uptime() + AVOIDANCE);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
