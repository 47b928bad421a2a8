//! Failover of a primary that is stopped under load through three nodes.

use crate::support::Deployment;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::{sleep, timeout};
use tokio_postgres::Client;
use tokio_util::sync::CancellationToken;

/// SQLSTATE of a statement with unknown outcome.
const UNKNOWN: &str = "08007";

/// Number of writes after the failure that must be acknowledged before a caller
/// stops.
const WRITES_AFTER_FAILURE: usize = 50;

/// Time limit for a caller, in case the failover does not complete.
const TIMEOUT: Duration = Duration::from_mins(1);

/// Inserts rows until [`WRITES_AFTER_FAILURE`] writes after the failure have been
/// acknowledged. Returns the outcome of each row.
async fn write(
    client: Client,
    first: i64,
    failed: CancellationToken,
) -> BTreeMap<i64, &'static str> {
    let mut outcomes = BTreeMap::new();
    let mut acknowledged_after = 0;
    let mut row = first;
    while acknowledged_after < WRITES_AFTER_FAILURE {
        let has_failed = failed.is_cancelled();
        let sql = format!("INSERT INTO stock VALUES ({row}, 'Mombasa')");
        let outcome = classify(client.batch_execute(&sql).await);
        outcomes.insert(row, outcome);
        if has_failed && outcome == "done" {
            acknowledged_after += 1;
        }
        row += 1;
        sleep(Duration::from_millis(5)).await;
    }
    outcomes
}

fn classify(result: Result<(), tokio_postgres::Error>) -> &'static str {
    let Err(error) = result else {
        return "done";
    };
    match error.as_db_error() {
        None => "broken",
        Some(report) if report.code().code() == UNKNOWN => "unknown",
        Some(report) if report.message().contains("not run") => "not run",
        Some(_) => "failed",
    }
}

async fn read_rows(client: &Client) -> Vec<i64> {
    // A locking read is never routed to a replica.
    let rows = client.query("SELECT id FROM stock FOR UPDATE", &[]).await;
    let rows = rows.expect("failed to read from the new primary");
    rows.iter().map(|row| row.get(0)).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn killed_primary_loses_and_doubles_nothing() {
    let mut deployment = Deployment::start(3, Duration::from_millis(10)).await;
    let client = deployment.connect(0).await;
    let create = "CREATE TABLE stock (id BIGINT, holder TEXT)";
    client.batch_execute(create).await.unwrap();
    let failed = CancellationToken::new();
    let mut callers = Vec::new();
    for number in 0..3u8 {
        let caller = deployment.connect(number.into()).await;
        let writing = write(caller, i64::from(number) << 32, failed.clone());
        callers.push(tokio::spawn(timeout(TIMEOUT, writing)));
    }
    sleep(Duration::from_millis(500)).await;
    drop(deployment.servers.remove(0));
    failed.cancel();
    let mut outcomes = BTreeMap::new();
    for caller in callers {
        outcomes.extend(caller.await.unwrap().expect("failover timed out"));
    }
    let rows = read_rows(&client).await;
    let distinct: BTreeSet<i64> = rows.iter().copied().collect();
    let count = |expected: &str, is_stored: bool| {
        let rows = outcomes
            .iter()
            .filter(|(row, outcome)| **outcome == expected && distinct.contains(row) == is_stored);
        rows.count()
    };
    insta::assert_debug_snapshot!(BTreeMap::from([
        ("acknowledged and lost", count("done", false)),
        ("doubled", rows.len() - distinct.len()),
        ("reported as not run, but run", count("not run", true)),
        (
            "connections broken",
            count("broken", true) + count("broken", false)
        ),
        ("failed", count("failed", true) + count("failed", false)),
    ]));
}
