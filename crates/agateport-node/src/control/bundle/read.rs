//! Reads the bundle in force from the platform if this node is one of the
//! readers.

use super::{active, offer, view};
use crate::node::Node;
use agateport_domain::bundle::{Comparison, Error, Revision};
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_wire::platform::{self, ACTIVE_BUNDLE, object_key};
use agateport_wire::signed;
use std::sync::PoisonError;
use tokio::time::sleep;

/// Interval between two reads of the platform.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Periodically reads the bundle while this node is one of the readers.
pub async fn run<P>(node: Arc<Node<P>>)
where
    P: Policy + Send + Sync + 'static,
{
    loop {
        if is_reader(&node)
            && let Err(error) = read(&node).await
        {
            node.metrics.count("bundle", "platform_unavailable");
            tracing::debug!(%error, "failed to read the bundle from the platform");
        }
        sleep(READ_INTERVAL).await;
    }
}

fn is_reader<P>(node: &Node<P>) -> bool
where
    P: Policy + Send + Sync + 'static,
{
    let view = view(node);
    let dissemination = node
        .dissemination
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    dissemination.is_reader(&view, Instant::now())
}

async fn read<P>(node: &Node<P>) -> Result<(), platform::Error>
where
    P: Policy + Send + Sync + 'static,
{
    node.metrics.count("bundle", "platform_reads");
    let Some(row) = node.platform.row(ACTIVE_BUNDLE).await? else {
        return Ok(());
    };
    let revision = match row.value.parse::<Revision>() {
        Ok(revision) => revision,
        Err(error) => {
            active(node).reject(None, &error);
            return Ok(());
        }
    };
    match compare(node, &revision) {
        Comparison::Newer => {}
        Comparison::Same | Comparison::Conflict => return Ok(()),
        Comparison::Older => {
            node.metrics.count("bundle", "platform_outdated");
            return Ok(());
        }
    }
    let Some(bytes) = node.platform.object(&object_key(&revision)).await? else {
        node.metrics.count("bundle", "object_missing");
        return Ok(());
    };
    match signed::decode(&bytes) {
        Ok(signed) => offer(node, signed),
        Err(error) => tracing::warn!(%error, %revision, "malformed signed bundle object"),
    }
    Ok(())
}

/// Compares an offered revision with the one in force, and records a conflict for
/// the status report.
fn compare<P>(node: &Node<P>, offered: &Revision) -> Comparison {
    let mut active = active(node);
    let comparison = active.compare(offered);
    if let (Comparison::Conflict, Some(in_force)) = (comparison, active.revision().cloned()) {
        let error = Error::Conflict {
            in_force,
            offered: offered.clone(),
        };
        active.reject(Some(offered.clone()), &error);
    }
    comparison
}
