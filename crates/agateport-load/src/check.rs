//! Compares what callers were told with what the group holds.

use crate::caller::{self, RowId};
use crate::cli::Config;
use crate::error::Error;
use crate::outcome::Outcome;
use crate::report::Report;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::sleep;

/// Tries to read the group's rows.
const TRIES: u32 = 40;

/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(250);

/// Checks all rows, and records each broken promise.
///
/// # Errors
///
/// [`Error`] if the rows can't be read.
pub async fn check(
    config: &Config,
    told: &BTreeMap<RowId, Outcome>,
    report: &mut Report,
) -> Result<(), Error> {
    let held = read(config).await?;
    for (row, outcome) in told {
        match (outcome, held.contains(row)) {
            (Outcome::Done, false) => report.break_promise(format!("row {row} is lost")),
            (Outcome::NotRun, true) => {
                report.break_promise(format!("row {row} was said not to run"));
            }
            _ => {}
        }
    }
    Ok(())
}

async fn read(config: &Config) -> Result<BTreeSet<RowId>, Error> {
    let mut tries = 0;
    loop {
        let address = config.nodes[tries as usize % config.nodes.len()];
        tries += 1;
        let result = read_from(config, address).await;
        match result {
            Ok(rows) => return Ok(rows),
            Err(source) if tries >= TRIES => return Err(Error::Node { address, source }),
            Err(_) => sleep(PAUSE).await,
        }
    }
}

async fn read_from(
    config: &Config,
    node: std::net::SocketAddr,
) -> Result<BTreeSet<RowId>, tokio_postgres::Error> {
    let client = caller::connect(node, &config.group).await?;
    // A locking read is never served by a replica.
    let rows = client.query("SELECT id FROM stock FOR UPDATE", &[]).await?;
    Ok(rows.iter().map(|row| row.get(0)).collect())
}
