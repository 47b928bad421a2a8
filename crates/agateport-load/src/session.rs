//! Session of one caller: its connection, its reconnections to other nodes, and
//! the items that its reads must return.

mod work;

use crate::history::{History, ItemId};
use crate::outcome::Outcome;
use crate::plan::{Arrival, Migration};
use agateport_domain::shard::Sharded;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::timeout;
use tokio_postgres::{Client, Error, NoTls, SimpleQueryMessage};

/// Time limit of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time limit of a statement or transaction; the connection is closed after it.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum number of recent items kept per table of a group for later reads; a
/// session keeps up to twice as many items that its reads must return.
const MAX_RECENT: usize = 64;

/// Table that the load reads and writes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Table {
    /// Table with a maximum staleness.
    Stock,
    /// Table without a read rule.
    Sale,
}

/// Guarantee by which a session's reads must return an item.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Guarantee {
    /// The session wrote the item, and the write was acknowledged.
    ReadYourWrites,
    /// The session has read the item before.
    MonotonicReads,
}

/// Table of one group.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct TableKey {
    group: usize,
    table: Table,
}

/// State shared by all sessions of a run.
#[derive(Debug)]
pub struct Context {
    /// Caller addresses of the nodes.
    pub nodes: Vec<SocketAddr>,
    /// Names of the database groups.
    pub groups: Vec<String>,
    /// Writes of all sessions and their outcomes.
    pub history: History,
    recent: Sharded<TableKey, VecDeque<ItemId>>,
    violations: Mutex<Vec<String>>,
}

impl Context {
    /// Creates the context of a run, with an empty history.
    #[must_use]
    pub fn new(nodes: Vec<SocketAddr>, groups: Vec<String>) -> Self {
        Self {
            nodes,
            groups,
            history: History::new(),
            recent: Sharded::new(),
            violations: Mutex::default(),
        }
    }

    /// Records a violation of a guarantee.
    pub fn record_violation(&self, violation: String) {
        let mut violations = self
            .violations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        violations.push(violation);
    }

    /// Returns the violations recorded so far.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        let violations = self
            .violations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        violations.clone()
    }

    fn add_recent(&self, key: TableKey, item: ItemId) {
        self.recent.with(&key, |recent| {
            let items = recent.entry(key).or_default();
            items.push_back(item);
            if items.len() > MAX_RECENT {
                items.pop_front();
            }
        });
    }

    fn choose_recent(&self, key: TableKey, choice: u64) -> Option<ItemId> {
        let item = self.recent.update(&key, |items| {
            let index = usize::try_from(choice % items.len() as u64).ok()?;
            items.get(index).copied()
        });
        item.flatten()
    }
}

/// Outcome of an arrival, with a reason unless it is [`Outcome::Done`].
#[derive(Clone, Debug)]
pub struct Completion {
    /// Outcome that the caller received.
    pub outcome: Outcome,
    /// Error message of the node or upstream, or a description of the failure.
    pub reason: Option<String>,
}

/// Session of one caller.
#[derive(Debug)]
pub struct Session {
    context: Arc<Context>,
    priority: Arc<str>,
    group: usize,
    node: usize,
    client: Option<Client>,
    watermark: Option<String>,
    required: BTreeMap<(Table, ItemId), Guarantee>,
}

impl Session {
    /// Creates an unconnected session; `number` selects its group and its first
    /// node.
    #[must_use]
    pub fn new(context: Arc<Context>, priority: Arc<str>, number: usize) -> Self {
        Self {
            group: number % context.groups.len(),
            node: number % context.nodes.len(),
            context,
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

    /// Connects before the first arrival. A failure is ignored: the first arrival
    /// connects again.
    pub async fn preconnect(&mut self) {
        self.client = self.connect().await.ok();
    }

    /// Executes one arrival.
    pub async fn serve(&mut self, arrival: &Arrival) -> Completion {
        let serving = timeout(ANSWER_TIMEOUT, self.attempt(arrival));
        let Ok(result) = serving.await else {
            self.client = None;
            return Completion {
                outcome: Outcome::Broken,
                reason: Some("no answer in time".to_owned()),
            };
        };
        if self.client.as_ref().is_some_and(Client::is_closed) {
            self.client = None;
        }
        result
    }

    async fn attempt(&mut self, arrival: &Arrival) -> Completion {
        if let Some(migration) = arrival.migration {
            self.migrate(migration).await;
        }
        if !self.reconnect().await {
            return Completion {
                outcome: Outcome::Unreachable,
                reason: Some("no node can be connected to".to_owned()),
            };
        }
        self.work(arrival).await
    }

    /// Connects unless there is a connection, and tries each node in turn.
    /// Returns whether there is a connection.
    async fn reconnect(&mut self) -> bool {
        for _ in 0..self.context.nodes.len() {
            if self.client.is_some() {
                return true;
            }
            match self.connect().await {
                Ok(client) => self.client = Some(client),
                Err(_) => self.node = (self.node + 1) % self.context.nodes.len(),
            }
        }
        self.client.is_some()
    }

    async fn migrate(&mut self, migration: Migration) {
        self.watermark = match (migration, &self.client) {
            (Migration::WithWatermark, Some(client)) => show_watermark(client).await,
            _ => None,
        };
        self.client = None;
        self.node = (self.node + 1) % self.context.nodes.len();
    }

    async fn connect(&mut self) -> Result<Client, Error> {
        let node = self.context.nodes[self.node];
        let options = self
            .watermark
            .take()
            .map(|watermark| format!("-c agateport.watermark={watermark}"));
        let client = connect(node, &self.context.groups[self.group], options.as_deref()).await?;
        if !self.priority.is_empty() {
            let set = format!("SET agateport.priority = '{}'", self.priority);
            // A node that refuses the setting uses its default priority.
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

/// Connects to a node as a caller of `group`.
///
/// # Errors
///
/// Returns the client's error if the connection cannot be established.
pub async fn connect(
    node: SocketAddr,
    group: &str,
    options: Option<&str>,
) -> Result<Client, Error> {
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
