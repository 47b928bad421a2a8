//! Measures the gap in acknowledged writes during failovers, and the write
//! latency that the acknowledgement rule adds.
//!
//! `cargo bench --bench failover` runs both measurements; the argument `gap` or
//! `acknowledge` selects one.

#![expect(
    clippy::unwrap_used,
    reason = "a benchmark whose setup fails has no result"
)]

#[expect(dead_code, reason = "only the tests use the rest of the module")]
#[path = "../tests/end_to_end/support.rs"]
mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::{Deployment, Plan};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio_postgres::Client;

/// Number of runs for each combination of deployment, fault and platform state.
const RUNS: usize = 10;

/// Number of concurrent runs.
const CONCURRENT_RUNS: usize = 2;

/// Duration of the load before the fault.
const WARM_UP: Duration = Duration::from_secs(1);

/// Duration of the load after the fault.
const RECOVERY: Duration = Duration::from_secs(5);

/// Pause of a caller between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(10);

/// Number of timed writes per caller.
const WRITES: usize = 50;

/// Size of a deployment.
#[derive(Clone, Copy)]
struct Size {
    name: &'static str,
    nodes: usize,
    zones: usize,
}

const NAIROBI: Size = Size {
    name: "nairobi",
    nodes: 7,
    zones: 3,
};

const TALLINN: Size = Size {
    name: "tallinn",
    nodes: 6,
    zones: 4,
};

impl Size {
    fn plan(self, lag: u64, acknowledge: &'static str) -> Plan {
        Plan {
            nodes: self.nodes,
            zones: self.zones,
            lag: Duration::from_millis(lag),
            acknowledge,
            connect_cost: Duration::from_millis(10),
        }
    }
}

/// Fault that is injected into the primary.
#[derive(Clone, Copy)]
enum Fault {
    Killed,
    Hung,
    Isolated,
}

impl Fault {
    fn name(self) -> &'static str {
        match self {
            Self::Killed => "killed",
            Self::Hung => "hung",
            Self::Isolated => "isolated",
        }
    }
}

async fn set_faults(address: SocketAddr, body: serde_json::Value) {
    let url = format!("http://{address}/faults");
    let client = reqwest::Client::new();
    client.put(url).json(&body).send().await.unwrap();
}

async fn create(deployment: &Deployment) {
    let client = deployment.connect(0).await;
    let create = "CREATE TABLE stock (id BIGINT, holder TEXT)";
    while client.batch_execute(create).await.is_err() {
        sleep(WRITE_INTERVAL).await;
    }
}

/// Writes until the receiver is dropped, and reports the time of each
/// acknowledged write.
async fn write(client: Client, first: i64, done: mpsc::UnboundedSender<Instant>) {
    let mut row = first;
    loop {
        let sql = format!("INSERT INTO stock VALUES ({row}, 'Kampala')");
        let is_done = client.batch_execute(&sql).await.is_ok();
        if is_done && done.send(Instant::now()).is_err() {
            return;
        }
        row += 1;
        sleep(WRITE_INTERVAL).await;
    }
}

/// Returns the longest period without an acknowledged write after the fault.
async fn longest_gap(size: Size, fault: Fault, is_platform_down: bool) -> Duration {
    let mut deployment = Deployment::launch(size.plan(10, "majority")).await;
    create(&deployment).await;
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let mut callers = JoinSet::new();
    for number in 0..size.nodes {
        let client = deployment.connect(number).await;
        let first = i64::try_from(number).unwrap() << 32;
        callers.spawn(write(client, first, sender.clone()));
    }
    sleep(WARM_UP).await;
    if is_platform_down {
        set_faults(
            deployment.platform.admin,
            serde_json::json!({"outage": true}),
        )
        .await;
    }
    let start = Instant::now();
    let admin = deployment.servers[0].admin;
    match fault {
        Fault::Killed => drop(deployment.servers.remove(0)),
        Fault::Hung => set_faults(admin, serde_json::json!({"hung": true})).await,
        Fault::Isolated => set_faults(admin, serde_json::json!({"isolated": true})).await,
    }
    sleep(RECOVERY).await;
    let end = Instant::now();
    callers.abort_all();
    let mut longest = Duration::ZERO;
    let mut last = start;
    while let Ok(at) = receiver.try_recv() {
        if at > last {
            longest = longest.max(at - last);
            last = at;
        }
    }
    longest.max(end - last)
}

async fn measure_gaps() {
    println!("gap in acknowledged writes, in ms: {RUNS} runs each, {CONCURRENT_RUNS} at once");
    println!("deployment  primary   platform     min  median     max");
    for size in [NAIROBI, TALLINN] {
        for fault in [Fault::Killed, Fault::Hung, Fault::Isolated] {
            for is_platform_down in [false, true] {
                let mut gaps = Vec::new();
                while gaps.len() < RUNS {
                    let runs =
                        (0..CONCURRENT_RUNS).map(|_| longest_gap(size, fault, is_platform_down));
                    gaps.extend(futures::future::join_all(runs).await);
                }
                gaps.sort();
                println!(
                    "{:<11} {:<9} {:<8} {:>7} {:>7} {:>7}",
                    size.name,
                    fault.name(),
                    if is_platform_down { "down" } else { "up" },
                    gaps[0].as_millis(),
                    gaps[gaps.len() / 2].as_millis(),
                    gaps[gaps.len() - 1].as_millis()
                );
            }
        }
    }
}

/// Returns the sorted latencies of writes with one caller per node.
async fn latencies(lag: u64, acknowledge: &'static str) -> Vec<Duration> {
    let deployment = Deployment::launch(NAIROBI.plan(lag, acknowledge)).await;
    create(&deployment).await;
    let mut callers = JoinSet::new();
    for number in 0..NAIROBI.nodes {
        let client = deployment.connect(number).await;
        callers.spawn(async move {
            let mut latencies = Vec::new();
            for row in 0..WRITES {
                let sql = format!("INSERT INTO stock VALUES ({row}, 'Kampala')");
                let start = Instant::now();
                if client.batch_execute(&sql).await.is_ok() {
                    latencies.push(start.elapsed());
                }
                sleep(WRITE_INTERVAL).await;
            }
            latencies
        });
    }
    let mut all: Vec<Duration> = callers.join_all().await.concat();
    all.sort();
    all
}

async fn measure_acknowledge() {
    println!("latency of a write, in ms: {WRITES} writes of each of 7 callers");
    println!("lag ms  acknowledge    done     p50     p99");
    for lag in [1, 10, 100, 500] {
        for rule in ["primary", "majority"] {
            let all = latencies(lag, rule).await;
            let percentile =
                |percent: usize| all[(all.len() - 1) * percent / 100].as_secs_f64() * 1e3;
            println!(
                "{lag:>6}  {rule:<11} {:>7} {:>7.1} {:>7.1}",
                all.len(),
                percentile(50),
                percentile(99)
            );
        }
    }
}

#[tokio::main]
async fn main() {
    let selected = std::env::args().skip(1).find(|word| !word.starts_with('-'));
    if selected.as_deref() != Some("acknowledge") {
        measure_gaps().await;
    }
    if selected.as_deref() != Some("gap") {
        measure_acknowledge().await;
    }
}
