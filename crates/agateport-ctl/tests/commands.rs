//! Commands of `agatectl` against a stand-in of the platform.

#![expect(
    clippy::unwrap_used,
    reason = "a command that fails to start fails the test"
)]

use agateport_standin::platform::{Config, Running};
use std::fmt::Write;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use tempfile::TempDir;
use tokio::process::Command;

const BUNDLE: &str = r#"
version = 1
default_priority = "counter"

[[priority]]
name = "counter"
target = "500ms"
worth = 1

[[group]]
name = "ledger"

[[group.server]]
name = "ledger-1"
zone = "a"
address = "127.0.0.1:21301"
slots = 3
connections = 20
"#;

/// Directory with operators' keys and bundles, a platform, and a transcript of the
/// commands.
struct Fixture {
    directory: TempDir,
    platform: Running,
    transcript: String,
}

impl Fixture {
    async fn start() -> Self {
        let any_port: SocketAddr = (Ipv4Addr::LOCALHOST, 0).into();
        let config = Config {
            address: any_port,
            admin: any_port,
        };
        let mut fixture = Self {
            directory: TempDir::new().unwrap(),
            platform: Running::start(config).await.unwrap(),
            transcript: String::new(),
        };
        for name in ["ann", "ben"] {
            fixture.run(&format!("keygen operator . {name}")).await;
        }
        for version in 1..=5 {
            let text = BUNDLE.replace("version = 1", &format!("version = {version}"));
            fixture.write(&format!("{version}.toml"), &text);
        }
        fixture.transcript.clear();
        fixture
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.directory.path().join(name), text).unwrap();
    }

    /// Runs a command, and adds its exit code, its output and the first line of its
    /// error to the transcript.
    async fn run(&mut self, line: &str) {
        let platform = self.platform.address.to_string();
        let words = line.split(' ').map(|word| match word {
            "PLATFORM" => platform.as_str(),
            word => word,
        });
        let output = Command::new(Path::new(env!("CARGO_BIN_EXE_agatectl")))
            .args(words)
            .current_dir(self.directory.path())
            .env("NO_COLOR", "1")
            .output()
            .await
            .unwrap();
        let code = output.status.code().unwrap();
        writeln!(self.transcript, "> {line}\n[{code}]").unwrap();
        let printed = String::from_utf8(output.stdout).unwrap();
        self.transcript.push_str(&printed);
        let report = String::from_utf8(output.stderr).unwrap();
        if let Some(first) = report.lines().find(|line| !line.trim().is_empty()) {
            writeln!(self.transcript, "{}", first.trim()).unwrap();
        }
    }

    async fn set_fault(&mut self, fault: serde_json::Value) {
        writeln!(self.transcript, "# platform faults: {fault}").unwrap();
        let url = format!("http://{}/faults", self.platform.admin);
        let request = reqwest::Client::new().put(url).json(&fault);
        request.send().await.unwrap();
    }
}

#[tokio::test]
async fn rolls() {
    let mut fixture = Fixture::start().await;
    for version in 1..=4 {
        let line = format!("sign {version}.toml --key ann.secret --output {version}.signed");
        fixture.run(&line).await;
    }
    fixture.run("roll 2.signed --platform PLATFORM").await;
    fixture.run("roll 2.signed --platform PLATFORM").await;
    fixture.run("roll 1.signed --platform PLATFORM").await;
    let other = BUNDLE.replace("version = 1", "version = 2") + "# another text\n";
    fixture.write("other.toml", &other);
    fixture
        .run("sign other.toml --key ben.secret --output other.signed")
        .await;
    fixture.run("roll other.signed --platform PLATFORM").await;
    // The response to the write of the object is lost, then that of the row.
    fixture
        .set_fault(serde_json::json!({ "lost_answers": 1 }))
        .await;
    fixture.run("roll 3.signed --platform PLATFORM").await;
    fixture
        .set_fault(serde_json::json!({ "lost_answers": 1 }))
        .await;
    fixture.run("roll 3.signed --platform PLATFORM").await;
    fixture
        .set_fault(serde_json::json!({ "outage": true }))
        .await;
    fixture.run("roll 4.signed --platform PLATFORM").await;
    fixture.set_fault(serde_json::json!({})).await;
    fixture.run("roll 4.signed --platform PLATFORM").await;
    fixture.run("diff 5.toml --platform PLATFORM").await;
    insta::assert_snapshot!(fixture.transcript);
}

#[tokio::test]
async fn signatures() {
    let mut fixture = Fixture::start().await;
    let roll = "roll 1.signed --platform PLATFORM --operator ann.public --operator ben.public";
    fixture
        .run("sign 1.toml --key ann.secret --output 1.signed")
        .await;
    fixture.run(&format!("{roll} --threshold 2")).await;
    fixture
        .run("sign 1.signed --key ben.secret --output 1.signed")
        .await;
    fixture.run(&format!("{roll} --threshold 2")).await;
    fixture.run(&format!("{roll} --threshold 3")).await;
    fixture
        .run("sign 1.toml --key nobody.secret --output 1.signed")
        .await;
    insta::assert_snapshot!(fixture.transcript);
}

#[tokio::test]
async fn two_operators_at_once() {
    let mut fixture = Fixture::start().await;
    let other = BUNDLE.to_owned() + "# another text\n";
    fixture.write("other.toml", &other);
    fixture
        .run("sign 1.toml --key ann.secret --output 1.signed")
        .await;
    fixture
        .run("sign other.toml --key ben.secret --output other.signed")
        .await;
    let path = Path::new(env!("CARGO_BIN_EXE_agatectl"));
    let platform = fixture.platform.address.to_string();
    let roll = |file: &str| {
        let mut command = Command::new(path);
        command.args(["roll", file, "--platform", &platform]);
        command.current_dir(fixture.directory.path());
        async move { command.output().await.unwrap().status.code().unwrap() }
    };
    let (ann, ben) = tokio::join!(roll("1.signed"), roll("other.signed"));
    let mut codes = [ann, ben];
    codes.sort_unstable();
    assert_eq!(
        codes,
        [0, 4],
        "one bundle is in force, the other is refused as superseded"
    );
}

#[tokio::test]
async fn command_lines() {
    let mut fixture = Fixture::start().await;
    fixture.run("check 1.toml").await;
    fixture.write("wrong.toml", &BUNDLE.replace("slots = 3", "slots = 0"));
    fixture.run("check wrong.toml").await;
    fixture.run("check").await;
    fixture.run("check 1.toml 2.toml").await;
    fixture.run("roll 1.signed").await;
    fixture.run("status nowhere").await;
    fixture.run("status 127.0.0.1:1").await;
    fixture.run("diff 1.toml --platform PLATFORM").await;
    fixture.run("history --platform PLATFORM").await;
    insta::assert_snapshot!(fixture.transcript);
}
