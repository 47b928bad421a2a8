//! Idempotency keys: a write with a key runs once, however often it is repeated.

use crate::support::Deployment;
use crate::transcript::transcripts;
use std::time::Duration;

const CREATE: &str = "CREATE TABLE payments (id BIGINT, amount BIGINT)";
const PAY: &str = "INSERT INTO payments VALUES (1, 100) /* key='p-1' */";

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeat_is_answered_from_the_record() {
    let deployment = Deployment::start(2, Duration::ZERO).await;
    let first = deployment.connect(0).await;
    let mut text = transcripts(&first, &[CREATE, PAY, PAY, "SHOW agateport.outcome"]).await;
    let second = deployment.connect(1).await;
    let repeats = [
        PAY,
        "INSERT INTO payments VALUES (1, 200) /* key='p-1' */",
        "SELECT count(*) FROM payments",
    ];
    text.push_str(&transcripts(&second, &repeats).await);
    insta::assert_snapshot!(text);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_of_the_session() {
    let deployment = Deployment::start(1, Duration::ZERO).await;
    let client = deployment.connect(0).await;
    let texts = [
        CREATE,
        "SHOW agateport.outcome",
        "SET agateport.key = 'p-2'",
        "INSERT INTO payments VALUES (2, 100)",
        "SHOW agateport.outcome",
        "SET agateport.key = 'p-3'",
        "SHOW agateport.outcome",
        "INSERT INTO payments VALUES (3, 100)",
        "SELECT count(*) FROM payments",
        "SET agateport.key = 'p-4'",
        "BEGIN",
        "INSERT INTO payments VALUES (4, 100)",
        "COMMIT",
        "SET agateport.key = 'p-5'",
        "INSERT INTO nowhere VALUES (4, 100)",
        "SHOW agateport.outcome",
    ];
    insta::assert_snapshot!(transcripts(&client, &texts).await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_repeats_run_once() {
    let deployment = Deployment::start(2, Duration::ZERO).await;
    let first = deployment.connect(0).await;
    let second = deployment.connect(1).await;
    first.batch_execute(CREATE).await.unwrap();
    let repeats = (0..10).map(|index| {
        let client = if index % 2 == 0 { &first } else { &second };
        client.batch_execute(PAY)
    });
    for repeat in futures::future::join_all(repeats).await {
        repeat.unwrap();
    }
    let rows = first.query("SELECT count(*) FROM payments", &[]).await;
    assert_eq!(rows.unwrap()[0].get::<_, i64>(0), 1);
}

/// Keys are put into statements of agateport's own.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_with_quotes_is_a_key() {
    let deployment = Deployment::start(1, Duration::ZERO).await;
    let client = deployment.connect(0).await;
    let texts = [
        CREATE,
        "SET agateport.key = ''', '', ''); DROP TABLE payments; --'",
        "INSERT INTO payments VALUES (1, 100)",
        "SHOW agateport.outcome",
        "SET agateport.key = 'a\\'",
        "INSERT INTO payments VALUES (2, 100)",
        "SHOW agateport.outcome",
        "INSERT INTO payments VALUES (3, 100) /* key='''); DROP TABLE payments; --' */",
        "SELECT count(*) FROM payments",
        "SELECT name FROM agateport_key ORDER BY name",
    ];
    insta::assert_snapshot!(transcripts(&client, &texts).await);
}
