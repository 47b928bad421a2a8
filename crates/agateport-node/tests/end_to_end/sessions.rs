//! Session guarantees and settings across several nodes.

#![expect(
    clippy::unwrap_used,
    reason = "a failed request to the deployment fails the test"
)]

use crate::support::Deployment;
use crate::transcript::transcripts;
use agateport_domain::request::name;
use agateport_wire::postgres::{Backend, Frontend, Upstream};
use bytes::BytesMut;
use pgwire::messages::extendedquery::{Bind, Execute, Sync};
use std::time::Duration;
use test_case::test_case;
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

const CREATE: &str = "CREATE TABLE stock (id BIGINT PRIMARY KEY, holder TEXT)";

async fn value(client: &Client, sql: &str) -> Option<String> {
    let messages = client.simple_query(sql).await.unwrap();
    messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(ToOwned::to_owned),
        _ => None,
    })
}

async fn connect_with(
    deployment: &Deployment,
    node: usize,
    options: &str,
) -> Result<Client, String> {
    let address = deployment.nodes[node].callers;
    let mut config = tokio_postgres::Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user("test")
        .dbname("ledger")
        .options(options);
    match config.connect(NoTls).await {
        Ok((client, connection)) => {
            tokio::spawn(connection);
            Ok(client)
        }
        Err(error) => Err(error.as_db_error().map_or(error.to_string(), |report| {
            format!("{} {}", report.code().code(), report.message())
        })),
    }
}

#[test_case(true; "with the watermark of the writer")]
#[test_case(false; "with a read index")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn own_writes_are_read_at_another_node(has_watermark: bool) {
    let deployment = Deployment::start(3, Duration::from_millis(60)).await;
    let writer = deployment.connect(0).await;
    writer.batch_execute(CREATE).await.unwrap();
    for id in 0..5 {
        let insert = format!("INSERT INTO stock VALUES ({id}, 'Mombasa')");
        writer.batch_execute(&insert).await.unwrap();
        let watermark = value(&writer, "SHOW agateport.watermark").await.unwrap();
        let with_watermark = format!("-c agateport.watermark={watermark}");
        let options = if has_watermark { &with_watermark } else { "" };
        for node in 0..3 {
            let reader = connect_with(&deployment, node, options).await.unwrap();
            let select = format!("SELECT holder FROM stock WHERE id = {id}");
            assert_eq!(value(&reader, &select).await.as_deref(), Some("Mombasa"));
        }
    }
}

#[test_case("-c agateport.watermark=nonsense", "malformed"; "malformed")]
#[test_case("-c agateport.watermark=9/1", "ahead_of_the_log"; "ahead of the log")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_watermark_at_startup(options: &str, name: &str) {
    let deployment = Deployment::start(1, Duration::ZERO).await;
    let writer = deployment.connect(0).await;
    writer.batch_execute(CREATE).await.unwrap();
    let error = connect_with(&deployment, 0, options).await.unwrap_err();
    insta::assert_snapshot!(name, error);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn watermark_by_statement() {
    let deployment = Deployment::start(2, Duration::ZERO).await;
    let client = deployment.connect(0).await;
    let texts = [
        "SHOW agateport.watermark",
        CREATE,
        "SET agateport.watermark = 'nonsense'",
        "SET agateport.watermark = '9/1'",
        "SET agateport.watermark = '1/1'",
        "SET agateport.unknown = '1'",
        "SHOW agateport.watermark",
        "SELECT count(*) FROM stock",
    ];
    insta::assert_snapshot!(transcripts(&client, &texts).await);
    let row = client
        .query_one("SHOW agateport.watermark", &[])
        .await
        .unwrap();
    assert_eq!(row.get::<_, String>(0), "1/1");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_reads_share_a_poll() {
    let deployment = Deployment::start(2, Duration::ZERO).await;
    let writer = deployment.connect(0).await;
    writer.batch_execute(CREATE).await.unwrap();
    let mut readers = Vec::new();
    for _ in 0..32 {
        readers.push(deployment.connect(0).await);
    }
    let reads = readers
        .iter()
        .map(|reader| value(reader, "SELECT count(*) FROM stock"));
    let counts = futures::future::join_all(reads).await;
    assert!(counts.iter().all(|count| count.as_deref() == Some("0")));
    let url = format!("http://{}/status", deployment.nodes[0].admin);
    let status: serde_json::Value = reqwest::get(url).await.unwrap().json().await.unwrap();
    let polls = status["counts"]["read_index.poll"].as_u64().unwrap();
    assert!(polls < 8, "{polls} polls for 32 sessions");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn settings_stay_with_their_session() {
    let deployment = Deployment::start(1, Duration::ZERO).await;
    let first = deployment.connect(0).await;
    let second = deployment.connect(0).await;
    let mut text = transcripts(&first, &["SET work_mem = 'large'", "SHOW work_mem"]).await;
    text.push_str(&transcripts(&second, &["SHOW work_mem"]).await);
    let inside = [
        "BEGIN",
        "SET work_mem = 'small'",
        "ROLLBACK",
        "SHOW work_mem",
        "BEGIN",
        "SET work_mem = 'small'",
        "COMMIT",
        "SHOW work_mem",
        "DISCARD ALL",
        "SHOW work_mem",
    ];
    text.push_str(&transcripts(&first, &inside).await);
    insta::assert_snapshot!(text);
}

/// SQLSTATE for the name of a statement that is not prepared.
const NO_SUCH_STATEMENT: &str = "26000";

/// Runs a statement that the session has not prepared, by its name at the upstream; returns
/// the code of the error.
async fn run_by_name(deployment: &Deployment, name: &str) -> String {
    let address = deployment.nodes[0].callers;
    let mut connection = Upstream::connect(address, "test", "ledger").await.unwrap();
    let bind = Bind::new(None, Some(name.to_owned()), vec![], vec![], vec![]);
    let messages = [
        Frontend::Bind(bind),
        Frontend::Execute(Execute::new(None, 0)),
        Frontend::Sync(Sync::new()),
    ];
    let mut encoded = BytesMut::new();
    for message in messages {
        message.encode(&mut encoded).unwrap();
    }
    connection.send(encoded.freeze()).await.unwrap();
    let mut result = "run".to_owned();
    loop {
        match connection.receive().await.unwrap() {
            Backend::ErrorResponse(error) => {
                let code = error.fields.iter().find(|(kind, _)| *kind == b'C');
                result = code.map(|(_, code)| code.clone()).unwrap_or_default();
            }
            Backend::ReadyForQuery(_) => return result,
            _ => {}
        }
    }
}

/// The sessions share a connection, on which the statement of the first is prepared.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn statement_of_another_session_cannot_be_run_by_its_name() {
    let deployment = Deployment::start(1, Duration::ZERO).await;
    let client = deployment.connect(0).await;
    client.batch_execute(CREATE).await.unwrap();
    let insert = "INSERT INTO stock (id, holder) VALUES (1, 'Mombasa') ON CONFLICT DO NOTHING";
    let statement = client.prepare(insert).await.unwrap();
    client.execute(&statement, &[]).await.unwrap();
    client.batch_execute("DELETE FROM stock").await.unwrap();
    let name = name::prepared(insert, &[]);
    let result = run_by_name(&deployment, &name).await;
    assert_eq!(result, NO_SUCH_STATEMENT);
    let count = client.query_one("SELECT count(*) FROM stock", &[]).await;
    assert_eq!(count.unwrap().get::<_, i64>(0), 0);
}

/// Two texts that the standard library's hasher, which has no secret key, cannot tell apart.
const SELECT: &str = "SELECT data FROM item WHERE id = $1 -- 73aac187fd5ad716";
const DELETE: &str = "DELETE FROM item WHERE id = $1 -- 93e702c625d28173";

/// The sessions share a connection, on which both statements are prepared.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn statements_with_one_hash_do_not_run_as_each_other() {
    let deployment = Deployment::start(1, Duration::ZERO).await;
    let first = deployment.connect(0).await;
    let second = deployment.connect(0).await;
    let create = "CREATE TABLE item (id BIGINT PRIMARY KEY, data TEXT)";
    first.batch_execute(create).await.unwrap();
    let delete = first.prepare(DELETE).await.unwrap();
    first.execute(&delete, &[&1i64]).await.unwrap();
    let insert = "INSERT INTO item VALUES (1, 'Mombasa')";
    first.batch_execute(insert).await.unwrap();
    let select = second.prepare(SELECT).await.unwrap();
    let rows = second.query(&select, &[&1i64]).await.unwrap();
    let data: Vec<String> = rows.iter().map(|row| row.get(0)).collect();
    assert_eq!(data, ["Mombasa"]);
    let count = first.query_one("SELECT count(*) FROM item", &[]).await;
    assert_eq!(count.unwrap().get::<_, i64>(0), 1);
}

/// A setting is sent again on each connection that its session uses.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn value_of_a_setting_is_not_run() {
    let deployment = Deployment::start(1, Duration::ZERO).await;
    let client = deployment.connect(0).await;
    let texts = [
        CREATE,
        "INSERT INTO stock VALUES (1, 'Mombasa')",
        "SET work_mem = 'a\\''; DELETE FROM stock; --'",
        "SHOW work_mem",
        "SET work_mem = 'a''''b'; SET search_path = 'x;y' /* ; */;;",
        "SHOW work_mem",
        "SHOW search_path",
    ];
    let mut text = transcripts(&client, &texts).await;
    let other = deployment.connect(0).await;
    text.push_str(&transcripts(&other, &["SELECT count(*) FROM stock"]).await);
    insta::assert_snapshot!(text);
}
