//! Shows the status that nodes report.

use crate::error::Error;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Time limit of a status request to a node.
pub const TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between two polls of the nodes.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Number of hexadecimal digits of a digest that are shown.
const DIGEST_DIGITS: usize = 12;

/// Status that a node reports.
#[derive(Debug, Deserialize, Serialize)]
pub struct Report {
    name: String,
    zone: String,
    bundle: Option<u64>,
    digest: Option<String>,
    #[serde(default)]
    signers: BTreeSet<String>,
    rejected: Option<Rejected>,
    #[serde(default)]
    retiring: BTreeSet<String>,
    #[serde(default)]
    is_leaving: bool,
    sessions: usize,
    counts: BTreeMap<String, u64>,
}

/// Bundle that a node rejected.
#[derive(Debug, Deserialize, Serialize)]
struct Rejected {
    reason: String,
}

/// Status of one node, as one line of the output.
#[derive(Debug, Serialize)]
struct Line {
    address: SocketAddr,
    /// Whether the node did not respond, has no bundle, or has an older bundle than
    /// another node.
    is_behind: bool,
    /// Status of the node, or `None` if it did not respond.
    #[serde(flatten)]
    report: Option<Report>,
}

/// Options of the output.
#[derive(Clone, Copy, Debug, Default)]
pub struct View {
    /// Whether the status is printed as JSON.
    pub json: bool,
    /// Whether polling continues until the process is terminated.
    pub watch: bool,
}

/// Queries nodes at their admin addresses and prints their status.
///
/// # Errors
///
/// Returns [`Error::Behind`] if a node does not respond, has no bundle, or has an
/// older bundle than another node.
pub async fn status(admins: &[SocketAddr], view: View) -> Result<(), Error> {
    loop {
        let lines = poll(admins).await;
        if view.json {
            println!("{}", serde_json::to_string(&lines).unwrap_or_default());
        } else {
            print!("{}", table(&lines));
        }
        if !view.watch {
            let behind = lines.iter().filter(|line| line.is_behind).count();
            return match behind {
                0 => Ok(()),
                behind => Err(Error::Behind(behind)),
            };
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn poll(admins: &[SocketAddr]) -> Vec<Line> {
    let mut requests = JoinSet::new();
    for (index, address) in admins.iter().copied().enumerate() {
        requests.spawn(async move { (index, address, fetch(address).await.ok()) });
    }
    let mut responses = requests.join_all().await;
    responses.sort_by_key(|(index, ..)| *index);
    let versions = responses
        .iter()
        .filter_map(|(.., report)| report.as_ref()?.bundle);
    let highest = versions.max();
    let lines = responses.into_iter().map(|(_, address, report)| Line {
        address,
        is_behind: report
            .as_ref()
            .is_none_or(|report| report.bundle.is_none() || report.bundle < highest),
        report,
    });
    lines.collect()
}

async fn fetch(address: SocketAddr) -> Result<Report, reqwest::Error> {
    let client = reqwest::Client::builder()
        .timeout(TIMEOUT)
        .no_proxy()
        .build()?;
    let response = client
        .get(format!("http://{address}/status"))
        .send()
        .await?;
    response.json().await
}

fn table(lines: &[Line]) -> String {
    let mut text = format!(
        "{:<16} {:<6} {:>8} {:<DIGEST_DIGITS$} {:<20} {:>9} STATE\n",
        "NODE", "ZONE", "BUNDLE", "DIGEST", "SIGNED BY", "SESSIONS"
    );
    for line in lines {
        text.push_str(&row(line));
    }
    text
}

fn row(line: &Line) -> String {
    let Some(report) = &line.report else {
        return format!("{:<16} gives no answer\n", line.address.to_string());
    };
    let digest = report.digest.as_deref().unwrap_or("-");
    let signers: Vec<&str> = report.signers.iter().map(String::as_str).collect();
    let version = report
        .bundle
        .map_or("none".to_owned(), |version| version.to_string());
    let mut text = format!(
        "{:<16} {:<6} {version:>8} {:<DIGEST_DIGITS$} {:<20} {:>9} {}\n",
        report.name,
        report.zone,
        digest.get(..DIGEST_DIGITS).unwrap_or(digest),
        signers.join(","),
        report.sessions,
        state(line.is_behind, report),
    );
    // Writing to a string never fails.
    if let Some(rejected) = &report.rejected {
        let _ = writeln!(text, "  rejected: {}", rejected.reason);
    }
    for server in &report.retiring {
        let _ = writeln!(text, "  retiring: {server}");
    }
    for (name, count) in &report.counts {
        let _ = writeln!(text, "  {name} {count}");
    }
    text
}

fn state(is_behind: bool, report: &Report) -> &'static str {
    match (report.is_leaving, is_behind) {
        (true, _) => "leaving",
        (false, true) => "behind",
        (false, false) => "up to date",
    }
}
