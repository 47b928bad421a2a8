//! The commands of `agatectl` that query nodes, against stand-ins that give fixed answers.

#![expect(
    clippy::unwrap_used,
    reason = "a command that fails to start fails the test"
)]

use std::net::SocketAddr;
use std::process::Output;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::process::Command;

const REPORT: &str = r#"{"node":"n1","zone":"a","configuration":7,"configuration_age_ms":31,
    "workspaces":{"listed":[
        {"workspace":"acme","allowance":{"rate":100.0,"burst":20.0},"used_per_second":41.25,
         "used":533,"allocators":["n2","n5"]},
        {"workspace":"bolt","allowance":null,"used_per_second":0.0,"used":0,"allocators":[]}],
        "omitted":3},
    "servers":{"listed":[{"server":"i-1","group":"ledger","pace_percent":180,"slots":4,
        "limit":3,"running":2,"waiting":1}],"omitted":0},
    "handovers":{"listed":[{"group":"ledger","condition":"listing","condition_ms":2300,
        "waiting_ms":31840}],"omitted":0},
    "refusals":{"allowance.exhausted":12}}"#;

const EXPLANATION: &str = r#"{"node":"n1","configuration":7,"configuration_age_ms":31,
    "route":{"group":"ledger","is_primary_only":false,"max_age_ms":2500,"target_ms":400,
        "priority":"1","is_public":false},
    "workspace":"acme","allowance":{"decision":"asked","allocator":"n2"},
    "floor":{"term":1,"position":7},
    "servers":[
        {"server":"i-1","zone":"a","is_primary":false,"watermark":{"term":1,"position":9},
         "load":2,"cost":300,"limit":4,"lease_ms":null,
         "reason":"chosen; it waits for a slot"},
        {"server":"i-2","zone":"b","is_primary":true,"watermark":null,"load":0,"cost":600,
         "limit":4,"lease_ms":812,"reason":"a server before it is used"},
        {"server":"i-3","zone":"c","is_primary":false,"watermark":null,"load":0,"cost":null,
         "limit":4,"lease_ms":null,"reason":"leaving"}],
    "target":"i-1","wait_ms":12,"refusal":null}"#;

const REFUSED: &str = r#"{"node":"n1","configuration":7,"configuration_age_ms":31,"route":null,
    "workspace":null,"allowance":null,"floor":null,"servers":[],"target":null,"wait_ms":null,
    "refusal":{"code":"no_database","text":"no route has this database","retry_ms":null}}"#;

/// Starts a node that answers each request with `body`.
async fn node(body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request).await;
            let length = body.len();
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\
                 Content-Length: {length}\r\n\r\n{body}"
            );
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

async fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_agatectl"));
    command.args(arguments).env("NO_COLOR", "1");
    command.output().await.unwrap()
}

fn printed(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

#[tokio::test]
async fn a_report_is_printed() {
    let address = node(REPORT).await.to_string();
    let output = run(&["report", &address]).await;
    assert_eq!(output.status.code(), Some(0));
    insta::assert_snapshot!(printed(&output), @r"
    n1 in a: configuration 7, confirmed 31 ms ago
      workspace acme: 41.2/s used here of 100/s (burst 20), 533 in total, allocators n2 n5
      workspace bolt: not limited
      3 more workspaces
      server i-1 of ledger: pace 180%, limit 3 of 4 slots, 2 running, 1 waiting
      handover of ledger: waits for listing for 2.3 s, 31.8 s in total
      refused allowance.exhausted 12
    ");
}

#[tokio::test]
async fn a_report_is_printed_as_json() {
    let address = node(REPORT).await.to_string();
    let output = run(&["report", "--json", &address]).await;
    let text = printed(&output).replace(&address, "ADDRESS");
    insta::assert_snapshot!(text, @r#"[{"address":"ADDRESS","report":{"node":"n1","zone":"a","configuration":7,"configuration_age_ms":31,"workspaces":{"listed":[{"workspace":"acme","allowance":{"rate":100.0,"burst":20.0},"used_per_second":41.25,"used":533,"allocators":["n2","n5"]},{"workspace":"bolt","allowance":null,"used_per_second":0.0,"used":0,"allocators":[]}],"omitted":3},"servers":{"listed":[{"server":"i-1","group":"ledger","pace_percent":180,"slots":4,"limit":3,"running":2,"waiting":1}],"omitted":0},"handovers":{"listed":[{"group":"ledger","condition":"listing","condition_ms":2300,"waiting_ms":31840}],"omitted":0},"refusals":{"allowance.exhausted":12}}}]"#);
}

/// Guards against a silent node that hides the others, or that the exit code does not show.
#[tokio::test]
async fn a_node_that_does_not_answer_is_reported() {
    // The connections are accepted by the system, but never answered.
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let silent = silent
        .local_addr()
        .map(|address| (address, silent))
        .unwrap();
    let address = node(REPORT).await.to_string();
    let output = run(&["report", &silent.0.to_string(), &address]).await;
    assert_eq!(output.status.code(), Some(7));
    let text = printed(&output);
    assert!(text.starts_with(&format!("{} gives no answer\nn1 in a", silent.0)));
}

#[tokio::test]
async fn an_explanation_is_printed() {
    let address = node(EXPLANATION).await.to_string();
    let output = run(&["explain", "orders", &address]).await;
    assert_eq!(output.status.code(), Some(0));
    insta::assert_snapshot!(printed(&output), @r"
    node n1, configuration 7, confirmed 31 ms ago
    route to ledger: reads up to 2500 ms old, target 400 ms, priority 1
    workspace acme: allocator n2 decides
    required watermark 1/7
      i-1 in a: chosen; it waits for a slot (load 2, limit 4, cost 300, at 1/9)
      i-2 in b: a server before it is used (load 0, limit 4, cost 600, primary with a lease of 812 ms)
      i-3 in c: leaving (load 0, limit 4)
    sent to i-1, after 12 ms or more
    ");
}

#[tokio::test]
async fn a_refusal_is_explained() {
    let address = node(REFUSED).await.to_string();
    let output = run(&["explain", "orders", &address]).await;
    assert_eq!(output.status.code(), Some(0));
    insta::assert_snapshot!(printed(&output), @r"
    node n1, configuration 7, confirmed 31 ms ago
    refused: no_database no route has this database
    ");
}

#[tokio::test]
async fn an_explanation_is_printed_as_json() {
    let address = node(EXPLANATION).await.to_string();
    let output = run(&["explain", "--json", "orders", &address]).await;
    let text = printed(&output).replace(&address, "ADDRESS");
    insta::assert_snapshot!(text, @r#"{"address":"ADDRESS","explanation":{"node":"n1","configuration":7,"configuration_age_ms":31,"route":{"group":"ledger","is_primary_only":false,"max_age_ms":2500,"target_ms":400,"priority":"1","is_public":false},"workspace":"acme","allowance":{"decision":"asked","allocator":"n2"},"floor":{"term":1,"position":7},"servers":[{"server":"i-1","zone":"a","is_primary":false,"watermark":{"term":1,"position":9},"load":2,"cost":300,"limit":4,"lease_ms":null,"reason":"chosen; it waits for a slot"},{"server":"i-2","zone":"b","is_primary":true,"watermark":null,"load":0,"cost":600,"limit":4,"lease_ms":812,"reason":"a server before it is used"},{"server":"i-3","zone":"c","is_primary":false,"watermark":null,"load":0,"cost":null,"limit":4,"lease_ms":null,"reason":"leaving"}],"target":"i-1","wait_ms":12,"refusal":null}}"#);
}

/// Guards against a key that leaves the tool, and against a silent node that holds it up.
#[tokio::test]
async fn a_key_is_not_sent_and_a_silent_node_is_reported() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let directory = tempfile::TempDir::new().unwrap();
    let path = directory.path().join("key");
    std::fs::write(&path, "a-secret-key\n").unwrap();
    let receiving = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = Vec::new();
        // The tool closes the connection when its time limit has passed.
        let _ = stream.read_to_end(&mut request).await;
        String::from_utf8_lossy(&request).into_owned()
    });
    let key = path.to_str().unwrap();
    let output = run(&["explain", "orders", &address, "--key", key]).await;
    assert_eq!(output.status.code(), Some(7));
    assert_eq!(printed(&output), format!("{address} gives no answer\n"));
    let request = receiving.await.unwrap();
    assert!(request.contains("\"database\":\"orders\""), "{request}");
    assert!(!request.contains("a-secret-key"));
}
