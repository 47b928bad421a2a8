//! Measures latency and throughput through one node and through two, compared
//! with a direct connection, and the processor time of the nodes; prints a table.

mod support;

use hdrhistogram::Histogram;
use mimalloc::MiMalloc;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::{Deployment, GROUP, node_name, processor_time, runtime};
use tokio::task::JoinSet;
use tokio_postgres::{Client, NoTls, Statement};

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// Rounds per measurement; each round measures all paths in turn.
const ROUNDS: usize = 5;

/// Statements per caller and round.
const STATEMENTS: u64 = 400;

/// Concurrent callers in the throughput measurement.
const CALLERS: u64 = 32;

/// Significant digits of the recorded latencies.
const DIGITS: u8 = 3;

/// Kind of statement.
#[derive(Clone, Copy, Debug)]
enum Kind {
    /// A read in a single simple query message.
    SimpleRead,
    /// A prepared read with a binary parameter.
    PreparedRead,
    /// A prepared write with a binary parameter.
    PreparedWrite,
}

/// A path to the server.
#[derive(Clone, Copy, Debug)]
struct Route {
    name: &'static str,
    address: SocketAddr,
}

/// Measurement of one path.
#[derive(Debug)]
struct Measurement {
    latencies: Histogram<u64>,
    statements: u64,
    elapsed: Duration,
    processor: Duration,
}

fn main() {
    let deployment = Deployment::start();
    let callers = runtime("callers");
    let routes = [
        Route {
            name: "direct",
            address: deployment.server,
        },
        Route {
            name: "one node",
            address: deployment.nodes[0].callers,
        },
        Route {
            name: "two nodes",
            address: deployment.nodes[1].callers,
        },
    ];
    callers.block_on(create(deployment.server));
    println!(
        "{:<14} {:<10} {:>8} {:>8} {:>7} {:>9} {:>7} {:>12} {:>12}",
        "statement",
        "path",
        "p50 us",
        "p99 us",
        "x p50",
        "1/s",
        "x 1/s",
        "node us/st",
        "1/s per core",
    );
    for kind in [Kind::SimpleRead, Kind::PreparedRead, Kind::PreparedWrite] {
        let single = routes.map(|_| Measurement::new());
        let single = measure(&callers, kind, routes, single, 1);
        let concurrent = routes.map(|_| Measurement::new());
        let concurrent = measure(&callers, kind, routes, concurrent, CALLERS);
        for (index, route) in routes.iter().enumerate() {
            print(
                kind,
                route,
                (&single[index], &single[0]),
                (&concurrent[index], &concurrent[0]),
            );
        }
    }
}

fn measure(
    callers: &tokio::runtime::Runtime,
    kind: Kind,
    routes: [Route; 3],
    mut measurements: [Measurement; 3],
    count: u64,
) -> [Measurement; 3] {
    for _ in 0..ROUNDS {
        for (route, measurement) in routes.iter().zip(&mut measurements) {
            callers.block_on(measurement.run_round(kind, route.address, count));
        }
    }
    measurements
}

impl Measurement {
    fn new() -> Self {
        Self {
            latencies: Histogram::new(DIGITS).expect("invalid number of digits"),
            statements: 0,
            elapsed: Duration::ZERO,
            processor: Duration::ZERO,
        }
    }

    async fn run_round(&mut self, kind: Kind, address: SocketAddr, count: u64) {
        let mut clients = Vec::new();
        for _ in 0..count {
            let client = connect(address).await;
            let statement = prepare(&client, kind).await;
            clients.push((client, statement));
        }
        let (start, processor) = (Instant::now(), nodes_time());
        let mut tasks = JoinSet::new();
        for (client, statement) in clients {
            tasks.spawn(async move { run_statements(&client, &statement, kind).await });
        }
        for latencies in tasks.join_all().await {
            self.latencies
                .add(latencies)
                .expect("failed to merge the histograms");
        }
        self.elapsed += start.elapsed();
        self.processor += nodes_time().saturating_sub(processor);
        self.statements += count * STATEMENTS;
    }

    fn percentile(&self, percentile: f64) -> f64 {
        to_f64(self.latencies.value_at_percentile(percentile)) / 1000.0
    }

    fn rate(&self) -> f64 {
        to_f64(self.statements) / self.elapsed.as_secs_f64()
    }
}

fn nodes_time() -> Duration {
    processor_time(&node_name(0)) + processor_time(&node_name(1))
}

/// Connects to a node or directly to a server.
async fn connect(address: SocketAddr) -> Client {
    let mut config = tokio_postgres::Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user("bench")
        .dbname(GROUP);
    let (client, connection) = config.connect(NoTls).await.expect("failed to connect");
    tokio::spawn(connection);
    client
}

async fn create(server: SocketAddr) {
    let client = connect(server).await;
    let sql = "CREATE TABLE stock (item BIGINT, holder TEXT); \
               INSERT INTO stock VALUES (1, 'counter');
               CREATE INDEX stock_item ON stock (item)";
    client
        .batch_execute(sql)
        .await
        .expect("failed to create the table");
}

async fn prepare(client: &Client, kind: Kind) -> Statement {
    let sql = match kind {
        Kind::SimpleRead | Kind::PreparedRead => "SELECT holder FROM stock WHERE item = $1",
        Kind::PreparedWrite => "INSERT INTO stock (item, holder) VALUES ($1, 'dealer')",
    };
    client
        .prepare(sql)
        .await
        .expect("failed to prepare the statement")
}

/// Runs one caller's statements and returns their latencies in nanoseconds.
async fn run_statements(client: &Client, statement: &Statement, kind: Kind) -> Histogram<u64> {
    let mut latencies = Histogram::new(DIGITS).expect("invalid number of digits");
    for number in 0..STATEMENTS {
        let start = Instant::now();
        match kind {
            Kind::SimpleRead => {
                let sql = "SELECT holder FROM stock WHERE item = 1";
                client.simple_query(sql).await.expect("read failed");
            }
            Kind::PreparedRead => {
                client
                    .query(statement, &[&1i64])
                    .await
                    .expect("read failed");
            }
            Kind::PreparedWrite => {
                let item = i64::try_from(number + 2).unwrap_or(0);
                client
                    .execute(statement, &[&item])
                    .await
                    .expect("write failed");
            }
        }
        let nanoseconds = u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX);
        latencies
            .record(nanoseconds)
            .expect("failed to record the latency");
    }
    latencies
}

fn print(
    kind: Kind,
    route: &Route,
    single: (&Measurement, &Measurement),
    concurrent: (&Measurement, &Measurement),
) {
    let (measurement, direct) = single;
    let (concurrent, concurrent_direct) = concurrent;
    let cost = concurrent.processor.as_secs_f64() / to_f64(concurrent.statements);
    let is_direct = std::ptr::eq(measurement, direct);
    let (cost, per_core) = if is_direct {
        (0.0, 0.0)
    } else {
        (1e6 * cost, 1.0 / cost)
    };
    println!(
        "{:<14} {:<10} {:>8.0} {:>8.0} {:>7.2} {:>9.0} {:>7.2} {:>12.1} {:>12.0}",
        format!("{kind:?}"),
        route.name,
        measurement.percentile(50.0),
        measurement.percentile(99.0),
        measurement.percentile(50.0) / direct.percentile(50.0),
        concurrent.rate(),
        concurrent.rate() / concurrent_direct.rate(),
        cost,
        per_core,
    );
}

#[expect(
    clippy::cast_precision_loss,
    reason = "values are printed with at most four digits"
)]
fn to_f64(count: u64) -> f64 {
    count as f64
}
