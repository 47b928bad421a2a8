//! Asynchronous replication from the primary, as the replica performs it.

use super::log::{Entry, Terms};
use super::server::{Server, Source, WriteGuard};
use agateport_wire::Error;
use agateport_wire::postgres::{Upstream, control};
use rusqlite::Connection;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};
use tokio::time::sleep;

/// Interval of checks for a replication source, and pause after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Maximum number of entries in one answer.
pub const MAX_ENTRIES: usize = 256;

/// Maximum time that a primary waits for new entries before it sends an empty answer.
pub const MAX_WAIT: Duration = Duration::from_millis(50);

/// An answer of the primary to a replica's request for entries.
#[derive(Debug, Deserialize, Serialize)]
pub enum Answer {
    /// Entries after the last entry of the replica.
    Entries(Vec<Entry>),
    /// The log of the primary does not contain the last entry of the replica. Carries
    /// the last watermark of each term in the primary's log.
    Diverged(Terms),
}

/// Replicates from the server's current source until the task is aborted.
///
/// # Errors
///
/// An error if the database cannot be opened.
pub async fn follow(server: Arc<Server>) -> Result<(), crate::error::Error> {
    let mut connection = server.connect()?;
    loop {
        if let Some(source) = server.source() {
            tokio::select! {
                result = follow_primary(&server, &mut connection, source) => {
                    if let Err(error) = result {
                        tracing::debug!(?source, %error, "replication stopped");
                    }
                }
                // A request to a hung primary must not delay the switch to a new source.
                () = wait_for_source_change(&server, source) => {}
            }
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Waits until the server no longer replicates from `source`.
async fn wait_for_source_change(server: &Server, source: Source) {
    while server.source() == Some(source) {
        sleep(RETRY_PAUSE).await;
    }
}

async fn follow_primary(
    server: &Server,
    connection: &mut Connection,
    source: Source,
) -> Result<(), Error> {
    let mut upstream = Upstream::connect(source.primary, control::USER, control::DATABASE).await?;
    while server.source() == Some(source) && !server.fault().isolated {
        server.wait_while_hung().await;
        let sent_at = Instant::now();
        let last = server.status().last;
        let rows = upstream
            .query(&format!("SELECT agateport_log('{last}')"))
            .await?;
        let row = rows.first().ok_or(Error::Ended)?;
        let answer =
            serde_json::from_str(row).map_err(|error| Error::Postgres(error.to_string()))?;
        match answer {
            Answer::Entries(entries) => apply(server, connection, entries, sent_at, source).await?,
            Answer::Diverged(terms) => {
                let guard = server.lock_writes().await;
                let rewound = server.rewind(connection, &terms, source, &guard);
                rewound.map_err(|error| Error::Postgres(error.to_string()))?;
            }
        }
    }
    Ok(())
}

async fn apply(
    server: &Server,
    connection: &mut Connection,
    entries: Vec<Entry>,
    sent_at: Instant,
    source: Source,
) -> Result<(), Error> {
    let lag = server.fault().lag;
    let is_caught_up = entries.len() < MAX_ENTRIES;
    for entry in entries {
        let due = entry.committed + lag;
        if let Ok(wait) = due.duration_since(SystemTime::now()) {
            sleep(wait).await;
        }
        let guard: WriteGuard = server.lock_writes().await;
        let applied = server.apply(connection, entry, source, &guard);
        if !applied.map_err(|error| Error::Postgres(error.to_string()))? {
            return Ok(());
        }
    }
    if is_caught_up {
        // Subtracts the simulated lag, so that the reported age is at least the lag.
        server.record_caught_up(sent_at.checked_sub(lag).unwrap_or(sent_at), source);
    }
    Ok(())
}
