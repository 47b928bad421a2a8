//! Shows what nodes say of themselves.

use crate::error::Error;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What a node says of itself.
#[derive(Debug, Deserialize, Serialize)]
struct Report {
    name: String,
    zone: String,
    bundle: Option<u64>,
    sessions: usize,
    counts: BTreeMap<String, u64>,
}

/// Asks nodes by their admin addresses and prints what they say.
///
/// # Errors
///
/// [`Error`] if a node gives no answer.
pub async fn status(admins: &[SocketAddr], json: bool) -> Result<(), Error> {
    let mut reports = Vec::new();
    for address in admins {
        reports.push(ask(*address).await?);
    }
    if json {
        println!("{}", serde_json::to_string(&reports).unwrap_or_default());
        return Ok(());
    }
    println!(
        "{:<16} {:<6} {:>8} {:>9}",
        "NODE", "ZONE", "BUNDLE", "SESSIONS"
    );
    for report in reports {
        let bundle = report
            .bundle
            .map_or("none".to_owned(), |version| version.to_string());
        println!(
            "{:<16} {:<6} {:>8} {:>9}",
            report.name, report.zone, bundle, report.sessions
        );
        for (name, count) in report.counts {
            println!("  {name} {count}");
        }
    }
    Ok(())
}

async fn ask(address: SocketAddr) -> Result<Report, Error> {
    let failed = |source| Error::Node { address, source };
    let url = format!("http://{address}/status");
    let response = reqwest::get(url).await.map_err(failed)?;
    response.json().await.map_err(failed)
}
