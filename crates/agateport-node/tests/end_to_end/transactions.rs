//! Transactions: pinned to one connection, isolated from each other, and rolled back
//! when their caller disconnects.

use crate::support::Deployment;
use crate::transcript::{transcript, transcripts};
use std::time::Duration;
use tokio::time::timeout;

const CREATE: &str = "CREATE TABLE stock (id BIGINT PRIMARY KEY, holder TEXT)";

/// Time limit for a statement that waits.
const TIMEOUT: Duration = Duration::from_secs(10);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failed_transaction_stays_failed_until_its_rollback() {
    let deployment = Deployment::start(2, Duration::ZERO).await;
    let client = deployment.connect(1).await;
    let texts = [
        CREATE,
        "INSERT INTO stock VALUES (1, 'Mombasa')",
        "BEGIN",
        "INSERT INTO stock VALUES (2, 'Kampala')",
        "INSERT INTO stock VALUES (1, 'Kampala')",
        "SELECT count(*) FROM stock",
        "COMMIT",
        "SELECT count(*) FROM stock",
        "BEGIN",
        "SAVEPOINT one",
        "INSERT INTO stock VALUES (2, 'Kampala')",
        "ROLLBACK TO SAVEPOINT one",
        "COMMIT",
        "SELECT count(*) FROM stock",
    ];
    insta::assert_snapshot!(transcripts(&client, &texts).await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn transaction_of_a_disconnected_caller_is_rolled_back() {
    let deployment = Deployment::start(2, Duration::ZERO).await;
    let first = deployment.connect(0).await;
    first.batch_execute(CREATE).await.unwrap();
    let insert = "BEGIN; INSERT INTO stock VALUES (1, 'Mombasa')";
    first.batch_execute(insert).await.unwrap();
    drop(first);
    // The upstream allows one writer at a time, so this waits for the rollback.
    let second = deployment.connect(1).await;
    let insert = transcript(&second, "INSERT INTO stock VALUES (1, 'Kampala')");
    insta::assert_snapshot!(timeout(TIMEOUT, insert).await.unwrap());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn transaction_whose_upstream_is_lost() {
    let mut deployment = Deployment::start(2, Duration::ZERO).await;
    let client = deployment.connect(0).await;
    let before = [CREATE, "BEGIN", "INSERT INTO stock VALUES (1, 'Mombasa')"];
    let mut text = transcripts(&client, &before).await;
    deployment.stop_server(0).await;
    let after = [
        "INSERT INTO stock VALUES (2, 'Mombasa')",
        "SELECT count(*) FROM stock",
        "ROLLBACK",
    ];
    text.push_str(&transcripts(&client, &after).await);
    insta::assert_snapshot!(text);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pipelined_queries_keep_their_order() {
    let deployment = Deployment::start(2, Duration::ZERO).await;
    let client = deployment.connect(0).await;
    client.batch_execute(CREATE).await.unwrap();
    let insert = client
        .prepare("INSERT INTO stock (id, holder) VALUES ($1, 'Mombasa')")
        .await
        .unwrap();
    let select = client
        .prepare("SELECT id FROM stock WHERE id >= $1 ORDER BY id")
        .await
        .unwrap();
    for id in 0..10i64 {
        let (inserted, rows) = futures::future::join(
            client.execute(&insert, &[&id]),
            client.query(&select, &[&id]),
        )
        .await;
        assert_eq!(inserted.unwrap(), 1);
        let rows: Vec<i64> = rows.unwrap().iter().map(|row| row.get(0)).collect();
        assert_eq!(rows, vec![id]);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_result_is_whole() {
    let deployment = Deployment::start(2, Duration::ZERO).await;
    let client = deployment.connect(0).await;
    client.batch_execute(CREATE).await.unwrap();
    let holder = "Mombasa ".repeat(20);
    for hundred in 0..20 {
        let rows = (0..100).map(|row| format!("({}, '{holder}')", hundred * 100 + row));
        let values = rows.collect::<Vec<_>>().join(", ");
        let insert = format!("INSERT INTO stock VALUES {values}");
        client.batch_execute(&insert).await.unwrap();
    }
    let rows = client.query("SELECT id, holder FROM stock ORDER BY id", &[]);
    let rows = rows.await.unwrap();
    let ids: Vec<i64> = rows.iter().map(|row| row.get(0)).collect();
    assert_eq!(ids, (0..2_000).collect::<Vec<_>>());
}
