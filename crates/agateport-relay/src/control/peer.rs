//! Exchange of store updates between nodes, so that few of them read the store.
//!
//! A node sends the age of its update. The receiver subtracts that age from the
//! time at which it sent its query, so the computed read time is never later than
//! the real one: a lease that is renewed from an update can only get shorter.

use crate::catalog::Catalog;
use crate::channel;
use crate::clock::uptime;
use crate::control::snapshot::Snapshot;
use crate::control::update;
use crate::currency::VALIDITY;
use crate::frames::{Frames, next_frame};
use crate::intake::{HOLDING, Holding, Kind};
use crate::lend::Lender;
use crate::link::configure_socket;
use crate::name;
use crate::permit::Claim;
use crate::protocol::Protocol;
use crate::record::Records;
use crate::registry;
use crate::source::Revision;
use crate::upstreams::Upstreams;
use agateport_domain::intake::Reason;
use agateport_domain::prelude::*;
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;

/// Timeout for a query that a node answers at once, including its connection: some round
/// trips and the pauses of a busy VM.
const QUERY_TIMEOUT: Duration = Duration::from_millis(250);

/// Time that the answer to a query may take beyond the time for which the node may wait.
const NEWS_MARGIN: Duration = Duration::from_millis(150);

/// Maximum time for which a node waits for news before it answers a query.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// A failed exchange with another node.
#[derive(Debug, Error)]
pub enum Error {
    /// The connection broke.
    #[error("the connection to the node broke: {0}")]
    Disconnected(#[from] io::Error),
    /// The node did not answer within the timeout.
    #[error("the node did not answer in time")]
    TimedOut,
    /// A message from the node is malformed.
    #[error("malformed message from the node: {0}")]
    Malformed(#[from] postcard::Error),
    /// The connection was used as a channel, which failed.
    #[error("the channel failed: {0}")]
    Channel(#[from] channel::Error),
}

/// A request from one node to another. After any call but [`Call::Update`], the
/// connection is a channel.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Call {
    /// Requests a permit at a server.
    Claim(Claim),
    /// Requests an update of the store's state.
    Update(Query),
    /// Executes a command with the borrowed permit.
    Execute(channel::Request),
    /// Requests a probe of a server.
    Probe(ServerId),
    /// Reports that a primary may be down.
    Suspect(ServerId),
    /// Requests a permit at a server, over a connection of the workspace.
    ClaimFor(WorkspaceId, Claim),
    /// Requests a lease of operations.
    Borrow {
        /// Workspace that runs them.
        workspace: WorkspaceId,
        /// Version of the borrower's configuration.
        version: BundleVersion,
        /// Number of operations.
        count: u32,
    },
}

/// Versions that the querying node already has.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Query {
    /// Time for which the queried node waits for something that it has not sent yet over
    /// the same connection. It answers then in any case.
    max_wait: Duration,
    records_revision: Revision,
    catalog_version: BundleVersion,
    /// Fingerprint of the registry.
    registry_fingerprint: u64,
}

/// State known to another node, without the parts that the querying node already
/// has.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Update {
    /// Time from the receipt of the query until this answer. The ages count from the
    /// answer.
    pub waited: Duration,
    /// Age of the store's last answer, counted from when it was requested; none if
    /// it never answered.
    pub age: Option<Duration>,
    /// Age of the configuration; none if the node has none.
    pub catalog_age: Option<Duration>,
    /// Age of the registry; none if the node has none.
    pub registry_age: Option<Duration>,
    /// The project's rows in the store.
    pub records: Option<Records>,
    /// The configuration.
    pub catalog: Option<Catalog>,
    /// The registered servers.
    pub registry: Option<registry::Snapshot>,
    /// Log positions of the primaries, by group.
    pub positions: BTreeMap<GroupId, Position>,
}

impl Update {
    /// Returns the update without what names no group or server, which is logged. Names of
    /// nodes stay: no line holds them, and a member that was left out would no longer be
    /// waited for.
    fn checked(mut self) -> Self {
        self.catalog = self.catalog.map(Catalog::checked);
        self.registry = self.registry.map(registry::Snapshot::checked);
        self.positions.retain(|group, position| {
            let names = [&**group, &*position.server];
            let are_valid = names.into_iter().all(name::is_valid);
            if !are_valid {
                tracing::warn!(
                    event = "position_odd",
                    group = &**group,
                    server = &*position.server,
                    "a log position whose names are not valid is ignored"
                );
            }
            are_valid
        });
        self
    }
}

/// Log position of a primary.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Position {
    /// Name of the primary.
    pub server: ServerId,
    /// Age of the position, counted from when the primary was queried.
    pub age: Duration,
    /// Last entry of its log.
    pub last: Watermark,
}

type Connection = Framed<TcpStream, Frames>;

/// Answers other nodes until `token` is cancelled.
pub async fn serve<W: Protocol>(
    listener: TcpListener,
    lender: Lender<W>,
    snapshots: watch::Receiver<Option<Snapshot>>,
    token: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = token.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, address)) => {
                let intake = lender.upstreams.intake();
                if let Some(holding) = intake.admit(Kind::Peer, address) {
                    let (lender, snapshots) = (lender.clone(), snapshots.clone());
                    tokio::spawn(serve_node(stream, holding, lender, snapshots));
                }
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error, "the connection of a node could not be accepted");
                // Accepting may keep failing for some time; the pause avoids a busy loop.
                tokio::time::sleep(QUERY_TIMEOUT).await;
            }
        }
    }
}

async fn serve_node<W: Protocol>(
    stream: TcpStream,
    holding: Arc<Holding>,
    lender: Lender<W>,
    snapshots: watch::Receiver<Option<Snapshot>>,
) {
    let answering = answer_all(stream, &holding, lender, snapshots);
    let answered = tokio::select! {
        biased;
        () = holding.closed() => return,
        answered = HOLDING.scope(holding.clone(), answering) => answered,
    };
    if let Err(error) = answered {
        tracing::debug!(%error, "the connection of another node ended with an error");
    }
}

async fn answer_all<W: Protocol>(
    stream: TcpStream,
    holding: &Arc<Holding>,
    lender: Lender<W>,
    snapshots: watch::Receiver<Option<Snapshot>>,
) -> Result<(), Error> {
    configure_socket(&stream)?;
    let mut news = News {
        changes: lender.upstreams.subscribe(),
        snapshots,
        has_answered: false,
    };
    let mut connection = Framed::new(stream, Frames::new(holding.clone()));
    while let Some(frame) = next_frame(&mut connection, holding, news.has_answered).await {
        let query = match postcard::from_bytes(&frame?)? {
            Call::Update(query) => query,
            call => return Ok(lender.serve(connection, call).await?),
        };
        let received_at = uptime();
        let max_wait = query.max_wait.min(MAX_WAIT);
        // After the timeout, the answer says how old everything is.
        let _ = timeout(max_wait, news.wait(&lender.upstreams)).await;
        let snapshot = news.take();
        let waited = uptime().saturating_sub(received_at);
        let update = answer(&lender.upstreams, snapshot.as_ref(), query, waited);
        let sending = connection.send(update::encode(&update)?);
        let Ok(sent) = timeout(holding.limits().unread, sending).await else {
            holding.close(Reason::Unread);
            return Ok(());
        };
        sent?;
    }
    Ok(())
}

/// What another node has not been sent over its connection.
#[derive(Debug)]
struct News {
    snapshots: watch::Receiver<Option<Snapshot>>,
    changes: watch::Receiver<u64>,
    has_answered: bool,
}

impl News {
    /// Waits until there is something new, or, for the first answer, until everything is
    /// known.
    async fn wait<W: Protocol>(&mut self, upstreams: &Upstreams<W>) {
        while self.has_answered || !self.is_complete(upstreams) {
            let changed = tokio::select! {
                changed = self.snapshots.changed() => changed,
                changed = self.changes.changed() => changed,
            };
            if self.has_answered || changed.is_err() {
                return;
            }
        }
    }

    fn is_complete<W: Protocol>(&self, upstreams: &Upstreams<W>) -> bool {
        let currencies = upstreams.currencies();
        let copies = [&currencies.catalog, &currencies.registry];
        let are_current = copies
            .iter()
            .all(|copy| copy.age().is_some_and(|age| age < VALIDITY));
        are_current && self.snapshots.borrow().is_some()
    }

    /// Returns the latest snapshot; everything known now counts as sent.
    fn take(&mut self) -> Option<Snapshot> {
        self.has_answered = true;
        self.changes.mark_unchanged();
        self.snapshots.borrow_and_update().clone()
    }
}

fn answer<W: Protocol>(
    upstreams: &Upstreams<W>,
    snapshot: Option<&Snapshot>,
    query: Query,
    waited: Duration,
) -> Update {
    let records = snapshot.map(|snapshot| &snapshot.records);
    let records = records.filter(|records| records.revision > query.records_revision);
    let catalog = upstreams.catalog();
    let is_newer = catalog.version > query.catalog_version;
    let is_changed = upstreams.fingerprint() != query.registry_fingerprint;
    Update {
        waited,
        age: snapshot.map(Snapshot::age),
        catalog_age: upstreams.currencies().catalog.age(),
        registry_age: upstreams.currencies().registry.age(),
        records: records.map(|records| Records::clone(records)),
        catalog: is_newer.then(|| Catalog::clone(&catalog)),
        registry: is_changed.then(|| upstreams.registry_snapshot()),
        positions: positions(upstreams),
    }
}

fn positions<W: Protocol>(upstreams: &Upstreams<W>) -> BTreeMap<GroupId, Position> {
    let now = uptime();
    let groups = upstreams.groups().into_iter();
    let positions = groups.filter_map(|group| {
        let (server, sent_at, last) = upstreams.group(&group).latest_progress()?;
        let age = now.saturating_sub(sent_at);
        Some((group, Position { server, age, last }))
    });
    positions.collect()
}

/// Connections to the nodes that were queried.
#[derive(Debug, Default)]
pub struct Peers {
    connections: BTreeMap<SocketAddr, Connection>,
}

impl Peers {
    /// Queries another node, which may wait for `max_wait` until it has news. Returns its
    /// update, and a time that is no later than its answer. What the update says was true
    /// at that time less the age of the respective part.
    ///
    /// # Errors
    ///
    /// [`enum@Error`] if the node does not answer.
    pub async fn query<W: Protocol>(
        &mut self,
        address: SocketAddr,
        upstreams: &Upstreams<W>,
        records_revision: Revision,
        max_wait: Duration,
    ) -> Result<(Update, Uptime), Error> {
        let query = Query {
            max_wait,
            records_revision,
            catalog_version: upstreams.catalog().version,
            registry_fingerprint: upstreams.fingerprint(),
        };
        let sent_at = uptime();
        // A connection with an outstanding answer must not be used for another query.
        let connection = self.connections.remove(&address);
        let exchanging = exchange(connection, address, query);
        let max_time = (max_wait + NEWS_MARGIN).max(QUERY_TIMEOUT);
        let (connection, update) = timeout(max_time, exchanging)
            .await
            .map_err(|_| Error::TimedOut)??;
        let update = update.checked();
        self.connections.insert(address, connection);
        // The node received the query after it was sent, so this is no later than its
        // answer.
        let answered_at = sent_at + update.waited.min(uptime().saturating_sub(sent_at));
        for (group, position) in &update.positions {
            // Like the time of the read, this one is never later than the real time at
            // which the primary was queried.
            let sent_at = answered_at.saturating_sub(position.age);
            let group = upstreams.group(group);
            group.record_progress(&position.server, sent_at, position.last);
        }
        Ok((update, answered_at))
    }
}

async fn exchange(
    connection: Option<Connection>,
    address: SocketAddr,
    query: Query,
) -> Result<(Connection, Update), Error> {
    let mut connection = if let Some(connection) = connection {
        connection
    } else {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Framed::new(stream, Frames::default())
    };
    connection.send(encode(&Call::Update(query))?).await?;
    let frame = connection.next().await;
    let frame = frame.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))??;
    Ok((connection, update::decode(&frame)?))
}

fn encode<T: Serialize>(message: &T) -> Result<Bytes, Error> {
    Ok(postcard::to_stdvec(message)?.into())
}
