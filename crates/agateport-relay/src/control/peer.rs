//! News from one node to another, so that few of them have to ask the store.
//!
//! A node says how old its news is. Who asked counts that age back from the
//! moment of its question, which is never later than the moment meant: the proof
//! that comes with news is only ever shortened on the way.

use crate::catalog::Catalog;
use crate::channel;
use crate::clock::uptime;
use crate::control::poller::Snapshot;
use crate::dialect::Dialect;
use crate::lend::Lender;
use crate::link::watch_peer;
use crate::permit::Claim;
use crate::record::Records;
use crate::registry;
use crate::source::RowVersion;
use crate::upstreams::Upstreams;
use agateport_domain::prelude::*;
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::sync::CancellationToken;

/// Time for a question to another node, its connection included: some round
/// trips, and the pauses of a busy VM.
const TIMEOUT: Duration = Duration::from_millis(250);

/// Time without a question after which a node's connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// News that doesn't come.
#[derive(Debug, Error)]
pub enum Error {
    /// The connection broke.
    #[error("the connection to the node broke")]
    Broken(#[from] io::Error),
    /// The node didn't answer in time.
    #[error("the node didn't answer in time")]
    Timeout,
    /// The node's words can't be read.
    #[error("the node's words can't be read")]
    Malformed(#[from] postcard::Error),
    /// The seat that was lent over the connection ended with it.
    #[error("a lane ended")]
    Channel(#[from] channel::Error),
}

/// What a node asks another one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Call {
    /// Asks for a seat at a server; the connection is a lane from then on.
    Claim(Claim),
    /// Asks for news.
    Update(Query),
    /// Runs an order at the seat.
    Execute(channel::Request),
    /// Asks what a server says of itself.
    Probe(ServerId),
    /// Tells that a server may be lost.
    Suspect(ServerId),
}

/// What the one who asks knows already.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Query {
    records_version: RowVersion,
    catalog_version: BundleVersion,
    /// Fingerprint of the list of servers.
    registry_fingerprint: u64,
}

/// What another node knows; what the question names already is left out.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Update {
    /// How long ago the store was asked; none if it never answered.
    pub age: Option<Duration>,
    /// The project's rows.
    pub records: Option<Records>,
    /// The configuration.
    pub catalog: Option<Catalog>,
    /// The list of servers.
    pub registry: Option<registry::Snapshot>,
    /// How far the primaries' logs had come, by group.
    pub positions: BTreeMap<GroupId, Position>,
}

/// How far a primary's log had come.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Position {
    /// Name of the primary.
    pub server: ServerId,
    /// How long ago it was asked.
    pub age: Duration,
    /// Last entry of its log.
    pub last: Watermark,
}

type Connection = Framed<TcpStream, LengthDelimitedCodec>;

/// Answers other nodes until this one ends.
pub async fn serve<D: Dialect>(
    listener: TcpListener,
    lender: Lender<D>,
    snapshots: watch::Receiver<Option<Snapshot>>,
    token: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = token.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let answering = answer_all(stream, lender.clone(), snapshots.clone());
                tokio::spawn(async move {
                    if let Err(error) = answering.await {
                        tracing::debug!(%error, "another node's questions ended");
                    }
                });
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error, "a node could not be taken in");
                tokio::time::sleep(TIMEOUT).await;
            }
        }
    }
}

async fn answer_all<D: Dialect>(
    stream: TcpStream,
    lender: Lender<D>,
    snapshots: watch::Receiver<Option<Snapshot>>,
) -> Result<(), Error> {
    watch_peer(&stream)?;
    let mut connection = Framed::new(stream, LengthDelimitedCodec::new());
    while let Ok(Some(frame)) = timeout(IDLE_TIMEOUT, connection.next()).await {
        let query = match postcard::from_bytes(&frame?)? {
            Call::Update(query) => query,
            call => return Ok(lender.serve(connection, call).await?),
        };
        let snapshot = snapshots.borrow().clone();
        let update = answer(&lender.upstreams, snapshot.as_ref(), query);
        connection.send(encode(&update)?).await?;
    }
    Ok(())
}

fn answer<D: Dialect>(
    upstreams: &Upstreams<D>,
    snapshot: Option<&Snapshot>,
    query: Query,
) -> Update {
    let records = snapshot.map(|snapshot| &snapshot.records);
    let records = records.filter(|records| records.version > query.records_version);
    let catalog = upstreams.catalog();
    let is_newer = catalog.version > query.catalog_version;
    let is_changed = upstreams.fingerprint() != query.registry_fingerprint;
    Update {
        age: snapshot.map(|snapshot| uptime().saturating_sub(snapshot.sent_at)),
        records: records.map(|records| Records::clone(records)),
        catalog: is_newer.then(|| Catalog::clone(&catalog)),
        registry: is_changed.then(|| upstreams.registry_snapshot()),
        positions: positions(upstreams),
    }
}

fn positions<D: Dialect>(upstreams: &Upstreams<D>) -> BTreeMap<GroupId, Position> {
    let now = uptime();
    let groups = upstreams.groups().into_iter();
    let positions = groups.filter_map(|group| {
        let (server, sent_at, last) = upstreams.group(&group).latest_progress()?;
        let age = now.saturating_sub(sent_at);
        Some((group, Position { server, age, last }))
    });
    positions.collect()
}

/// The connections to the nodes that were asked.
#[derive(Debug, Default)]
pub struct Peers {
    connections: BTreeMap<SocketAddr, Connection>,
}

impl Peers {
    /// Asks another node for news, and returns it with the moment that the
    /// store was asked at the latest.
    ///
    /// # Errors
    ///
    /// [`enum@Error`] if it doesn't answer.
    pub async fn ask<D: Dialect>(
        &mut self,
        address: SocketAddr,
        upstreams: &Upstreams<D>,
        records: RowVersion,
    ) -> Result<(Update, Option<Uptime>), Error> {
        let query = Query {
            records_version: records,
            catalog_version: upstreams.catalog().version,
            registry_fingerprint: upstreams.fingerprint(),
        };
        let sent_at = uptime();
        // A connection with an answer under way is of no use to another question.
        let connection = self.connections.remove(&address);
        let exchanging = exchange(connection, address, query);
        let (connection, update): (_, Update) = timeout(TIMEOUT, exchanging)
            .await
            .map_err(|_| Error::Timeout)??;
        self.connections.insert(address, connection);
        let read_at = update.age.map(|age| sent_at.saturating_sub(age));
        for (group, position) in &update.positions {
            // Counted back from the question, the moment is never later than it was.
            let sent_at = sent_at.saturating_sub(position.age);
            let group = upstreams.group(group);
            group.record_progress(&position.server, sent_at, position.last);
        }
        Ok((update, read_at))
    }
}

async fn exchange<T: DeserializeOwned>(
    connection: Option<Connection>,
    address: SocketAddr,
    query: Query,
) -> Result<(Connection, T), Error> {
    let mut connection = if let Some(connection) = connection {
        connection
    } else {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Framed::new(stream, LengthDelimitedCodec::new())
    };
    connection.send(encode(&Call::Update(query))?).await?;
    let frame = connection.next().await;
    let frame = frame.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))??;
    Ok((connection, postcard::from_bytes(&frame)?))
}

fn encode<T: Serialize>(message: &T) -> Result<Bytes, Error> {
    Ok(postcard::to_stdvec(message)?.into())
}
