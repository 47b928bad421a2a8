//! The whole path of a statement: from a caller through two nodes to an upstream and
//! back.

use crate::support::Deployment;
use crate::transcript::transcript;
use std::time::Duration;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn statements_through_every_node() {
    let deployment = Deployment::start(3, Duration::ZERO).await;
    let client = deployment.connect(0).await;
    let mut text = String::new();
    for sql in [
        "CREATE TABLE stock (id BIGINT PRIMARY KEY, holder TEXT)",
        "INSERT INTO stock VALUES (1, 'Mombasa'), (2, NULL)",
        "SELECT id, holder FROM stock ORDER BY id",
        "INSERT INTO stock VALUES (1, 'Kampala')",
        "COPY stock FROM STDIN",
        "BEGIN; UPDATE stock SET holder = 'Kampala' WHERE id = 2; ROLLBACK",
        "SELECT holder FROM stock WHERE id = 2",
        "SELECT nothing FROM nowhere",
    ] {
        text.push_str(&transcript(&client, sql).await);
    }
    insta::assert_snapshot!(text);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn prepared_statement_with_binary_parameters() {
    let deployment = Deployment::start(3, Duration::ZERO).await;
    let client = deployment.connect(1).await;
    let create = "CREATE TABLE watch (id BIGINT PRIMARY KEY, price DOUBLE, note TEXT)";
    client.batch_execute(create).await.unwrap();
    let insert = client
        .prepare("INSERT INTO watch (id, price, note) VALUES ($1, $2, $3)")
        .await
        .unwrap();
    for (id, price) in [(0i64, 0.5), (1, 1.5), (2, 2.5)] {
        let note = format!("note {id}");
        client
            .execute(&insert, &[&id, &price, &note])
            .await
            .unwrap();
    }
    let select = "SELECT id, price, note FROM watch WHERE id >= $1 ORDER BY id";
    let rows = client.query(select, &[&1i64]).await.unwrap();
    let rows: Vec<(i64, f64, String)> = rows
        .iter()
        .map(|row| (row.get(0), row.get(1), row.get(2)))
        .collect();
    insta::assert_debug_snapshot!(rows);
}
