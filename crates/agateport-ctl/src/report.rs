//! Shows the workspaces, servers and refusals that nodes report.

use crate::error::Error;
use crate::status::TIMEOUT;
use agateport_domain::report::{Handover, Report, Server, Workspace};
use serde::Serialize;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;

/// Report of one node.
#[derive(Debug, Serialize)]
struct Line {
    address: SocketAddr,
    /// Report of the node, or `None` if it did not respond.
    report: Option<Report>,
}

/// Queries nodes at their admin or metrics addresses and prints their reports.
///
/// # Errors
///
/// Returns [`Error::Behind`] if a node does not respond.
pub async fn report(addresses: &[SocketAddr], json: bool) -> Result<(), Error> {
    let mut requests = JoinSet::new();
    for (index, address) in addresses.iter().copied().enumerate() {
        requests.spawn(async move { (index, address, fetch(address).await.ok()) });
    }
    let mut responses = requests.join_all().await;
    responses.sort_by_key(|(index, ..)| *index);
    let lines = responses.into_iter();
    let lines: Vec<_> = lines
        .map(|(_, address, report)| Line { address, report })
        .collect();
    if json {
        println!("{}", serde_json::to_string(&lines).unwrap_or_default());
    } else {
        for line in &lines {
            print!("{}", text(line));
        }
    }
    match lines.iter().filter(|line| line.report.is_none()).count() {
        0 => Ok(()),
        silent => Err(Error::Behind(silent)),
    }
}

async fn fetch(address: SocketAddr) -> Result<Report, reqwest::Error> {
    let client = reqwest::Client::builder()
        .timeout(TIMEOUT)
        .no_proxy()
        .build()?;
    let request = client.get(format!("http://{address}/report"));
    request.send().await?.error_for_status()?.json().await
}

/// Returns the text of a report. Writing to a string never fails.
fn text(line: &Line) -> String {
    let Some(report) = &line.report else {
        return format!("{} gives no answer\n", line.address);
    };
    let version = report.configuration.map_or_else(
        || "no configuration".to_owned(),
        |version| format!("configuration {version}"),
    );
    let mut text = format!("{} in {}: {version}", report.node, report.zone);
    if let Some(age) = report.configuration_age_ms {
        let _ = write!(text, ", confirmed {age} ms ago");
    }
    text.push('\n');
    for entry in &report.workspaces.listed {
        let _ = writeln!(text, "  {}", workspace(entry));
    }
    omitted(&mut text, report.workspaces.omitted, "workspaces");
    for entry in &report.servers.listed {
        let _ = writeln!(text, "  {}", server(entry));
    }
    omitted(&mut text, report.servers.omitted, "servers");
    for entry in &report.handovers.listed {
        let _ = writeln!(text, "  {}", handover(entry));
    }
    omitted(&mut text, report.handovers.omitted, "handovers");
    for (reason, count) in &report.refusals {
        let _ = writeln!(text, "  refused {reason} {count}");
    }
    text
}

fn omitted(text: &mut String, count: usize, kind: &str) {
    if count > 0 {
        let _ = writeln!(text, "  {count} more {kind}");
    }
}

fn workspace(entry: &Workspace) -> String {
    let name = &entry.workspace;
    let Some(allowance) = &entry.allowance else {
        return format!("workspace {name}: not limited");
    };
    let allocators = if entry.allocators.is_empty() {
        "none".to_owned()
    } else {
        entry.allocators.join(" ")
    };
    format!(
        "workspace {name}: {:.1}/s used here of {}/s (burst {}), {} in total, allocators {allocators}",
        entry.used_per_second, allowance.rate, allowance.burst, entry.used,
    )
}

fn server(entry: &Server) -> String {
    let pace = entry
        .pace_percent
        .map_or_else(|| "not measured".to_owned(), |pace| format!("{pace}%"));
    format!(
        "server {} of {}: pace {pace}, limit {} of {} slots, {} running, {} waiting",
        entry.server, entry.group, entry.limit, entry.slots, entry.running, entry.waiting,
    )
}

fn handover(entry: &Handover) -> String {
    format!(
        "handover of {}: waits for {} for {:.1} s, {:.1} s in total",
        entry.group,
        entry.condition,
        seconds(entry.condition_ms),
        seconds(entry.waiting_ms),
    )
}

fn seconds(milliseconds: u64) -> f64 {
    Duration::from_millis(milliseconds).as_secs_f64()
}
