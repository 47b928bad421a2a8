//! A replica's side of asynchronous replication.

use super::log::{Entry, Terms};
use super::server::{Server, Source, WriteGuard};
use agateport_wire::Error;
use agateport_wire::postgres::{Upstream, control};
use rusqlite::Connection;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};
use tokio::time::sleep;

/// Pause before another try when there is nobody to follow.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Entries in one answer.
pub const MAXIMUM_ENTRIES: usize = 256;

/// Time that a primary holds an empty answer back.
pub const MAXIMUM_WAIT: Duration = Duration::from_millis(50);

/// What a primary answers to a replica.
#[derive(Debug, Deserialize, Serialize)]
pub enum Answer {
    /// Entries after the replica's last.
    Entries(Vec<Entry>),
    /// The primary's log doesn't hold the replica's last entry.
    Diverged(Terms),
}

/// Follows whomever the server is told to, until the process is ended.
///
/// # Errors
///
/// An error if the database can't be opened.
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
                // A primary that hangs must not keep the replica.
                () = wait_for_source_change(&server, source) => {}
            }
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Waits until the server no longer follows `source`.
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
    let is_caught_up = entries.len() < MAXIMUM_ENTRIES;
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
        // Younger entries may exist that the lag still holds back.
        server.record_caught_up(sent_at.checked_sub(lag).unwrap_or(sent_at), source);
    }
    Ok(())
}
