//! Compares the outcomes that callers received with the rows of the groups.

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

/// Number of attempts to read a group's rows after which an error ends the check. An
/// attempt that times out is repeated in any case.
const MAX_ATTEMPTS: usize = 40;

/// Delay between two attempts to read a group's rows.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Time limit of an attempt to read a group's rows.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Number of rows in a table per item.
pub type Counts = BTreeMap<ItemId, u64>;

/// Rows that a run left in the tables of one group.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Contents {
    /// Rows of `stock`, the table with a read rule.
    pub stock: Counts,
    /// Rows of `sale`, the table without a read rule.
    pub sale: Counts,
}

/// Checks every recorded write against the tables, and records each violation.
///
/// # Errors
///
/// Returns [`Error::Node`] if the rows of a group cannot be read.
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

/// Returns the violation, if any, that follows from the outcome of a write and the
/// numbers of rows of its item.
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
            Ok(Err(source)) if attempts >= MAX_ATTEMPTS => {
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
    // A replica never serves a locking read, so the rows are those of the primary.
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
