//! Compares what callers were told with what the groups hold.

use crate::error::Error;
use crate::history::{ItemId, Write};
use crate::outcome::Outcome;
use crate::plan::Kind;
use crate::session::{self, Context};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep, timeout};
use tokio_postgres::types::Type;

/// Tries to read a group's rows.
const MAXIMUM_ATTEMPTS: usize = 40;

/// Pause between two tries.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Time after which a try is given up.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Number of times that a table holds each item.
pub type Counts = BTreeMap<ItemId, u64>;

/// What one group holds of a run.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Contents {
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
pub async fn check(context: &Context) -> Result<(), Error> {
    let mut contents = Vec::new();
    for group in &context.groups {
        contents.push(read(context, group).await?);
    }
    context.history.for_each(|item, write| {
        if let Some(violation) = violation(item, write, &contents[write.group]) {
            let group = &context.groups[write.group];
            let kind = write.kind.name();
            context.record_violation(format!("{violation}: item {item} of a {kind} in {group}"));
        }
    });
    Ok(())
}

/// Returns what is wrong with an item, if anything is.
#[must_use]
pub fn violation(item: ItemId, write: Write, contents: &Contents) -> Option<&'static str> {
    let stock = contents.stock.get(&item).copied().unwrap_or(0);
    let sale = contents.sale.get(&item).copied().unwrap_or(0);
    if write.kind == Kind::Transaction && stock != sale {
        return Some("half a transaction");
    }
    match (write.outcome, stock) {
        (_, 2..) => Some("doubled"),
        (Outcome::Done, 0) => Some("lost"),
        (Outcome::NotRun | Outcome::Unreachable, 1) => Some("false \"not run\""),
        _ => None,
    }
}

async fn read(context: &Context, group: &str) -> Result<Contents, Error> {
    let mut attempts = 0;
    loop {
        let address = context.nodes[attempts % context.nodes.len()];
        attempts += 1;
        let reading = timeout(
            TIMEOUT,
            read_from(address, group, context.history.first_item()),
        );
        match reading.await {
            Ok(Ok(contents)) => return Ok(contents),
            Ok(Err(source)) if attempts >= MAXIMUM_ATTEMPTS => {
                return Err(Error::Node { address, source });
            }
            Ok(Err(_)) | Err(_) => sleep(RETRY_DELAY).await,
        }
    }
}

async fn read_from(
    node: SocketAddr,
    group: &str,
    first: ItemId,
) -> Result<Contents, tokio_postgres::Error> {
    let client = session::connect(node, group, None).await?;
    // Locking reads are never served by a replica.
    let stock = "SELECT item FROM stock WHERE item >= $1 FOR UPDATE";
    let sale = "SELECT item FROM sale WHERE item >= $1 FOR UPDATE";
    Ok(Contents {
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
