//! Compares what callers were told with what the groups hold.

use crate::error::Error;
use crate::outcome::Outcome;
use crate::plan::Kind;
use crate::record::{ItemId, Told};
use crate::session::{self, Fleet};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep, timeout};
use tokio_postgres::types::Type;

/// Tries to read a group's rows.
const TRIES: usize = 40;

/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(250);

/// Time after which a try is given up.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Number of times that a table holds each item.
pub type Counts = BTreeMap<ItemId, u64>;

/// What one group holds of a run.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Held {
    /// Rows of the table with a read rule.
    pub stock: Counts,
    /// Rows of the table without one.
    pub sale: Counts,
}

/// Checks all that was told, and records each broken promise.
///
/// # Errors
///
/// [`Error`] if the rows of a group can't be read.
pub async fn check(fleet: &Fleet) -> Result<(), Error> {
    let mut all = Vec::new();
    for group in &fleet.groups {
        all.push(read(fleet, group).await?);
    }
    fleet.record.for_each(|item, told| {
        if let Some(fault) = fault(item, told, &all[told.group]) {
            let group = &fleet.groups[told.group];
            let kind = told.kind.name();
            fleet.break_promise(format!("{fault}: item {item} of a {kind} in {group}"));
        }
    });
    Ok(())
}

/// Returns what is wrong with an item, if anything is.
#[must_use]
pub fn fault(item: ItemId, told: Told, held: &Held) -> Option<&'static str> {
    let stock = held.stock.get(&item).copied().unwrap_or(0);
    let sale = held.sale.get(&item).copied().unwrap_or(0);
    if told.kind == Kind::Transaction && stock != sale {
        return Some("half a transaction");
    }
    match (told.outcome, stock) {
        (_, 2..) => Some("doubled"),
        (Outcome::Done, 0) => Some("lost"),
        (Outcome::NotRun | Outcome::Unreachable, 1) => Some("false \"not run\""),
        _ => None,
    }
}

async fn read(fleet: &Fleet, group: &str) -> Result<Held, Error> {
    let mut tries = 0;
    loop {
        let address = fleet.nodes[tries % fleet.nodes.len()];
        tries += 1;
        let reading = timeout(TIMEOUT, read_from(address, group, fleet.record.first()));
        match reading.await {
            Ok(Ok(held)) => return Ok(held),
            Ok(Err(source)) if tries >= TRIES => return Err(Error::Node { address, source }),
            Ok(Err(_)) | Err(_) => sleep(PAUSE).await,
        }
    }
}

async fn read_from(
    node: SocketAddr,
    group: &str,
    first: ItemId,
) -> Result<Held, tokio_postgres::Error> {
    let client = session::connect(node, group, None).await?;
    // Locking reads are never served by a replica.
    let stock = "SELECT item FROM stock WHERE item >= $1 FOR UPDATE";
    let sale = "SELECT item FROM sale WHERE item >= $1 FOR UPDATE";
    Ok(Held {
        stock: count(&client, stock, first).await?,
        sale: count(&client, sale, first).await?,
    })
}

async fn count(
    client: &tokio_postgres::Client,
    sql: &str,
    first: ItemId,
) -> Result<Counts, tokio_postgres::Error> {
    let rows = client.query_typed(sql, &[(&first, Type::INT8)]).await?;
    let mut counts = Counts::new();
    for row in rows {
        *counts.entry(row.get(0)).or_insert(0) += 1;
    }
    Ok(counts)
}
