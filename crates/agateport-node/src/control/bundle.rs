//! Keeps the bundle in force.

use crate::node::Node;
use crate::owner::server;
use agateport_domain::bundle::{Bundle, Signed};
use agateport_domain::group::Group;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_wire::platform;
use std::fmt::Display;
use tokio::time::sleep;

/// Interval between two looks at the platform.
const INTERVAL: Duration = Duration::from_millis(500);

/// Key of the row that tells the bundle in force.
const ROW: &str = "bundle";

/// Takes over bundles from the platform until the node ends.
pub async fn run<P>(node: Arc<Node<P>>)
where
    P: Policy + Send + Sync + 'static,
{
    let operators = node.config.operator_keys().unwrap_or_default();
    let mut digest = String::new();
    while !node.stopping.is_cancelled() {
        match read(&node, &digest).await {
            Ok(Some((next, signed))) => {
                match signed.open(&operators) {
                    Ok(bundle) => apply(&node, bundle),
                    Err(error) => report("the bundle is not taken", &error),
                }
                digest = next;
            }
            Ok(None) => {}
            Err(error) => report("the bundle can't be read", &error),
        }
        sleep(INTERVAL).await;
    }
}

fn report(what: &str, error: &impl Display) {
    tracing::warn!(%error, "{what}");
}

/// Returns the signed bundle in force if its digest isn't `known`.
async fn read<P>(node: &Node<P>, known: &str) -> Result<Option<(String, Signed)>, platform::Error>
where
    P: Policy + Send + Sync + 'static,
{
    let Some(row) = node.platform.row(ROW).await? else {
        return Ok(None);
    };
    if row.value == known {
        return Ok(None);
    }
    let object = node
        .platform
        .object(&format!("bundle/{}", row.value))
        .await?;
    let signed = object.and_then(|bytes| serde_json::from_slice(&bytes).ok());
    Ok(signed.map(|signed| (row.value, signed)))
}

/// Puts a bundle in force, unless one of the same or a higher version is.
fn apply<P>(node: &Node<P>, bundle: Bundle)
where
    P: Policy + Send + Sync + 'static,
{
    let current = node.bundle().map_or(0, |bundle| bundle.version);
    if bundle.version <= current {
        return;
    }
    for group in &bundle.groups {
        let names = group.servers.iter().map(|server| server.name.clone());
        if let Ok(known) = Group::new(group.acknowledge, names) {
            node.groups.insert(group.name.clone(), known);
        }
        for server in &group.servers {
            server::apply(node, server, &bundle);
        }
    }
    tracing::info!(version = bundle.version, "a bundle is in force");
    node.bundle.send_replace(Some(Arc::new(bundle)));
}
