//! Resolves the outcome of a write by its key.

use crate::error::Error;
use agateport_wire::postgres::Upstream;
use std::net::SocketAddr;

/// User name of the connection to the node.
const USER: &str = "agatectl";

/// Queries a node for the outcome of a key, and prints `done` or `not run`.
///
/// A key without a record is settled as not run: a write with this key never runs
/// from then on.
///
/// # Errors
///
/// Returns [`Error`] if the node does not respond, or cannot determine the
/// outcome.
pub async fn resolve(key: &str, group: &str, node: SocketAddr) -> Result<(), Error> {
    let outcome = query_outcome(key, group, node)
        .await
        .map_err(|source| Error::Resolve {
            key: key.to_owned(),
            source,
        })?;
    println!("{outcome}");
    Ok(())
}

async fn query_outcome(
    key: &str,
    group: &str,
    node: SocketAddr,
) -> Result<String, agateport_wire::Error> {
    let mut connection = Upstream::connect(node, USER, group).await?;
    let key = key.replace('\'', "''");
    let set = format!("SET agateport.key = '{key}'");
    connection.query(&set).await?;
    let rows = connection.query("SHOW agateport.outcome").await?;
    rows.into_iter().next().ok_or(agateport_wire::Error::Ended)
}
