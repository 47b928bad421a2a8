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
    "refusals":{"allowance.exhausted":12}}"#;

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
      refused allowance.exhausted 12
    ");
}

#[tokio::test]
async fn a_report_is_printed_as_json() {
    let address = node(REPORT).await.to_string();
    let output = run(&["report", "--json", &address]).await;
    let text = printed(&output).replace(&address, "ADDRESS");
    insta::assert_snapshot!(text, @r#"[{"address":"ADDRESS","report":{"node":"n1","zone":"a","configuration":7,"configuration_age_ms":31,"workspaces":{"listed":[{"workspace":"acme","allowance":{"rate":100.0,"burst":20.0},"used_per_second":41.25,"used":533,"allocators":["n2","n5"]},{"workspace":"bolt","allowance":null,"used_per_second":0.0,"used":0,"allocators":[]}],"omitted":3},"servers":{"listed":[{"server":"i-1","group":"ledger","pace_percent":180,"slots":4,"limit":3,"running":2,"waiting":1}],"omitted":0},"refusals":{"allowance.exhausted":12}}}]"#);
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
