//! Settles what became of a key.

use crate::error::Error;
use agateport_wire::postgres::Upstream;
use std::net::SocketAddr;

/// User that the program connects as.
const USER: &str = "agatectl";

/// Asks a node what became of a key, and prints `done` or `not run`.
///
/// A key that isn't recorded never runs from then on.
///
/// # Errors
///
/// [`Error`] if the node gives no answer, or can't tell.
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
