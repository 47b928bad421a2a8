//! A replica's side of asynchronous replication.

use super::log::{Entry, Terms};
use super::server::{Followed, Server, Writer};
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
pub const BATCH: usize = 256;

/// Time that a primary holds an empty answer back.
pub const PATIENCE: Duration = Duration::from_millis(50);

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
        if let Some(source) = server.followed() {
            match follow_primary(&server, &mut connection, source).await {
                Ok(()) => {}
                Err(error) => tracing::debug!(?source, %error, "replication stopped"),
            }
        }
        sleep(RETRY_PAUSE).await;
    }
}

async fn follow_primary(
    server: &Server,
    connection: &mut Connection,
    source: Followed,
) -> Result<(), Error> {
    let mut upstream = Upstream::connect(source.primary, control::USER, control::DATABASE).await?;
    while server.followed() == Some(source) && !server.fault().isolated {
        server.wait_while_hung().await;
        let asked = Instant::now();
        let place = server.status().last;
        let rows = upstream
            .query(&format!("SELECT agateport_log('{place}')"))
            .await?;
        let row = rows.first().ok_or(Error::Ended)?;
        let answer =
            serde_json::from_str(row).map_err(|error| Error::Postgres(error.to_string()))?;
        match answer {
            Answer::Entries(entries) => apply(server, connection, entries, asked, source).await?,
            Answer::Diverged(theirs) => {
                let writer = server.writer().await;
                let cut = server.cut(connection, &theirs, source, &writer);
                cut.map_err(|error| Error::Postgres(error.to_string()))?;
            }
        }
    }
    Ok(())
}

async fn apply(
    server: &Server,
    connection: &mut Connection,
    entries: Vec<Entry>,
    asked: Instant,
    source: Followed,
) -> Result<(), Error> {
    let lag = server.fault().lag;
    let is_level = entries.len() < BATCH;
    for entry in entries {
        let due = entry.committed + lag;
        if let Ok(wait) = due.duration_since(SystemTime::now()) {
            sleep(wait).await;
        }
        let writer: Writer = server.writer().await;
        let applied = server.apply(connection, entry, source, &writer);
        if !applied.map_err(|error| Error::Postgres(error.to_string()))? {
            return Ok(());
        }
    }
    if is_level {
        // Younger entries may exist that the lag still holds back.
        server.set_level(asked.checked_sub(lag).unwrap_or(asked), source);
    }
    Ok(())
}
