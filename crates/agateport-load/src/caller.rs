//! One caller: writes rows and reads its own writes.

use crate::cli::Config;
use crate::outcome::Outcome;
use crate::report::Report;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::time::{sleep, sleep_until};
use tokio_postgres::{Client, Error, NoTls};

/// Pause before a caller connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// Number of a row.
pub type RowId = i64;

/// Connects to a node.
///
/// # Errors
///
/// An error of the driver if the node can't be used.
pub async fn connect(node: SocketAddr, group: &str) -> Result<Client, Error> {
    let mut config = tokio_postgres::Config::new();
    config
        .host(node.ip().to_string())
        .port(node.port())
        .user("agate-load")
        .dbname(group);
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// One caller.
#[derive(Debug)]
pub struct Caller {
    config: Config,
    node: SocketAddr,
    next: RowId,
    interval: Duration,
    random: Pcg64Mcg,
    rows: BTreeMap<RowId, Outcome>,
    report: Report,
}

impl Caller {
    /// Creates the caller of number `number`.
    pub fn new(config: &Config, number: u32, random: Pcg64Mcg) -> Self {
        let nodes = &config.nodes;
        let node = nodes[number as usize % nodes.len()];
        Self {
            node,
            next: RowId::from(number) << 32,
            interval: Duration::from_secs(1) * config.callers / config.rate.max(1),
            random,
            rows: BTreeMap::new(),
            report: Report::new(),
            config: config.clone(),
        }
    }

    /// Runs until `end`; returns what it was told of each row.
    pub async fn run(mut self, end: Instant) -> (BTreeMap<RowId, Outcome>, Report) {
        let mut client = None;
        let mut due = Instant::now();
        while due < end {
            sleep_until(due.into()).await;
            let connected = match client.take() {
                Some(client) => Some(client),
                None => connect(self.node, &self.config.group).await.ok(),
            };
            let Some(connected) = connected else {
                sleep(RECONNECT_PAUSE).await;
                due = Instant::now();
                continue;
            };
            if self.random.random_bool(0.5) {
                self.write(&connected, due).await;
            } else {
                self.read(&connected, due).await;
            }
            if !connected.is_closed() {
                client = Some(connected);
            }
            due += self.interval;
        }
        (self.rows, self.report)
    }

    async fn write(&mut self, client: &Client, due: Instant) {
        let row = self.next;
        self.next += 1;
        let sql = "INSERT INTO stock (id, holder) VALUES ($1, $2)";
        let result = client.execute(sql, &[&row, &"counter"]).await;
        let outcome = Outcome::from(&result);
        self.rows.insert(row, outcome);
        self.report.record("write", outcome, due.elapsed());
    }

    /// Reads the last row that was written for certain.
    async fn read(&mut self, client: &Client, due: Instant) {
        let mut done = self.rows.iter().rev();
        let Some((row, _)) = done.find(|(_, outcome)| **outcome == Outcome::Done) else {
            return;
        };
        let row = *row;
        let sql = "SELECT holder FROM stock WHERE id = $1";
        let result = client.query_opt(sql, &[&row]).await;
        self.report
            .record("read", Outcome::from(&result), due.elapsed());
        if let Ok(None) = result {
            self.report
                .break_promise(format!("row {row} was written but not read"));
        }
    }
}
