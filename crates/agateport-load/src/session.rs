//! One caller's session: its connection, its moves, and what it must see.

mod work;

use crate::outcome::Outcome;
use crate::plan::{Arrival, Move};
use crate::record::{ItemId, Record};
use agateport_domain::shard::Sharded;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::timeout;
use tokio_postgres::{Client, Error, NoTls, SimpleQueryMessage};

/// Time after which a connection attempt is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which an answer is given up and the connection closed.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// Items that a session or group remembers for later reads.
const REMEMBERED: usize = 64;

/// A table that is read and written.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Table {
    /// Read with a maximum staleness.
    Stock,
    /// Read without a rule.
    Sale,
}

/// Why a session must see an item.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Cause {
    /// It wrote the item and was told so.
    Written,
    /// It read the item before.
    Read,
}

/// The last items of one group's table that somebody wrote.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Place {
    group: usize,
    table: Table,
}

/// What all sessions of a run share.
#[derive(Debug)]
pub struct Fleet {
    /// Addresses of nodes for callers.
    pub nodes: Vec<SocketAddr>,
    /// Database groups.
    pub groups: Vec<String>,
    /// What callers were told of their writes.
    pub record: Record,
    recent: Sharded<Place, VecDeque<ItemId>>,
    broken: Mutex<Vec<String>>,
}

impl Fleet {
    /// Creates the fleet of a run.
    #[must_use]
    pub fn new(nodes: Vec<SocketAddr>, groups: Vec<String>) -> Self {
        Self {
            nodes,
            groups,
            record: Record::new(),
            recent: Sharded::new(),
            broken: Mutex::default(),
        }
    }

    /// Records a broken promise.
    pub fn break_promise(&self, what: String) {
        let mut broken = self.broken.lock().unwrap_or_else(PoisonError::into_inner);
        broken.push(what);
    }

    /// Returns the broken promises so far.
    #[must_use]
    pub fn broken(&self) -> Vec<String> {
        let broken = self.broken.lock().unwrap_or_else(PoisonError::into_inner);
        broken.clone()
    }

    fn remember(&self, place: Place, item: ItemId) {
        self.recent.with(&place, |recent| {
            let items = recent.entry(place).or_default();
            items.push_back(item);
            if items.len() > REMEMBERED {
                items.pop_front();
            }
        });
    }

    fn recall(&self, place: Place, choice: u64) -> Option<ItemId> {
        let item = self.recent.update(&place, |items| {
            let index = usize::try_from(choice % items.len() as u64).ok()?;
            items.get(index).copied()
        });
        item.flatten()
    }
}

/// How an arrival went, and why if it wasn't done.
#[derive(Clone, Debug)]
pub struct Result {
    /// What the caller was told.
    pub outcome: Outcome,
    /// Message of a refusal or failure.
    pub reason: Option<String>,
}

/// One caller's session.
#[derive(Debug)]
pub struct Session {
    fleet: Arc<Fleet>,
    priority: Arc<str>,
    group: usize,
    node: usize,
    client: Option<Client>,
    watermark: Option<String>,
    required: BTreeMap<(Table, ItemId), Cause>,
}

impl Session {
    /// Creates the session of number `number`, not connected yet.
    #[must_use]
    pub fn new(fleet: Arc<Fleet>, priority: Arc<str>, number: usize) -> Self {
        Self {
            group: number % fleet.groups.len(),
            node: number % fleet.nodes.len(),
            fleet,
            priority,
            client: None,
            watermark: None,
            required: BTreeMap::new(),
        }
    }

    /// Returns the index of the session's group in the profile.
    #[must_use]
    pub fn group(&self) -> usize {
        self.group
    }

    /// Connects ahead of the first arrival; a failure shows up there.
    pub async fn prepare(&mut self) {
        self.client = self.connect().await.ok();
    }

    /// Does the work of one arrival.
    pub async fn serve(&mut self, arrival: &Arrival) -> Result {
        let serving = timeout(ANSWER_TIMEOUT, self.attempt(arrival));
        let Ok(result) = serving.await else {
            self.client = None;
            return Result {
                outcome: Outcome::Broken,
                reason: Some("no answer in time".to_owned()),
            };
        };
        if self.client.as_ref().is_some_and(Client::is_closed) {
            self.client = None;
        }
        result
    }

    async fn attempt(&mut self, arrival: &Arrival) -> Result {
        if let Some(kind) = arrival.roams {
            self.roam(kind).await;
        }
        if !self.reconnect().await {
            return Result {
                outcome: Outcome::Unreachable,
                reason: Some("no node can be connected to".to_owned()),
            };
        }
        self.work(arrival).await
    }

    /// Connects if need be, to each node in turn; false if none lets it.
    async fn reconnect(&mut self) -> bool {
        for _ in 0..self.fleet.nodes.len() {
            if self.client.is_some() {
                return true;
            }
            match self.connect().await {
                Ok(client) => self.client = Some(client),
                Err(_) => self.node = (self.node + 1) % self.fleet.nodes.len(),
            }
        }
        self.client.is_some()
    }

    async fn roam(&mut self, kind: Move) {
        self.watermark = match (kind, &self.client) {
            (Move::Handover, Some(client)) => show_watermark(client).await,
            _ => None,
        };
        self.client = None;
        self.node = (self.node + 1) % self.fleet.nodes.len();
    }

    async fn connect(&mut self) -> std::result::Result<Client, Error> {
        let node = self.fleet.nodes[self.node];
        let options = self
            .watermark
            .take()
            .map(|watermark| format!("-c agateport.watermark={watermark}"));
        let client = connect(node, &self.fleet.groups[self.group], options.as_deref()).await?;
        if !self.priority.is_empty() {
            let set = format!("SET agateport.priority = '{}'", self.priority);
            // A node that doesn't know the setting gives its default priority.
            let _ = client.batch_execute(&set).await;
        }
        Ok(client)
    }
}

async fn show_watermark(client: &Client) -> Option<String> {
    let messages = client.simple_query("SHOW agateport.watermark").await;
    let mut cells = messages
        .ok()?
        .into_iter()
        .filter_map(|message| match message {
            SimpleQueryMessage::Row(row) => row.get(0).map(ToOwned::to_owned),
            _ => None,
        });
    cells.next().filter(|watermark| !watermark.is_empty())
}

/// Connects to a node.
///
/// # Errors
///
/// An error of the driver if the node can't be used.
pub async fn connect(
    node: SocketAddr,
    group: &str,
    options: Option<&str>,
) -> std::result::Result<Client, Error> {
    let mut config = tokio_postgres::Config::new();
    config
        .host(node.ip().to_string())
        .port(node.port())
        .user("agate-load")
        .connect_timeout(CONNECT_TIMEOUT)
        .dbname(group);
    if let Some(options) = options {
        config.options(options);
    }
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}
