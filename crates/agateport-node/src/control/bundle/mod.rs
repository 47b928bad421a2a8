//! Maintains the bundle in force: reads it from the platform, exchanges it with
//! peers and applies it.

mod apply;
mod exchange;
mod read;

pub use apply::retiring;
pub use exchange::answer;

use crate::node::Node;
use agateport_domain::bundle::{Accepted, Active, Comparison, Revision, Signed};
use agateport_domain::membership::View;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use std::sync::{MutexGuard, PoisonError};

/// Starts the tasks, which run until the node ends.
pub fn start<P>(node: &Arc<Node<P>>)
where
    P: Policy + Send + Sync + 'static,
{
    let stopping = &node.stopping;
    let reading = read::run(Arc::clone(node));
    tokio::spawn(stopping.clone().run_until_cancelled_owned(reading));
    let gossiping = exchange::run(Arc::clone(node));
    tokio::spawn(stopping.clone().run_until_cancelled_owned(gossiping));
    let announcing = exchange::announce(Arc::clone(node));
    tokio::spawn(stopping.clone().run_until_cancelled_owned(announcing));
    let retiring = apply::retire(Arc::clone(node));
    tokio::spawn(stopping.clone().run_until_cancelled_owned(retiring));
    let applying = apply::run(Arc::clone(node));
    tokio::spawn(stopping.clone().run_until_cancelled_owned(applying));
}

/// Locks the state of the bundle in force.
pub fn active<P>(node: &Node<P>) -> MutexGuard<'_, Active> {
    node.active.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns a copy of the view, so that no two locks are held at once.
fn view<P>(node: &Node<P>) -> View {
    let view = node.view.lock().unwrap_or_else(PoisonError::into_inner);
    view.clone()
}

/// Returns the bundle in force with its signatures.
fn accepted<P>(node: &Node<P>) -> Option<Accepted> {
    active(node).accepted().cloned()
}

/// Returns the revision of the bundle in force.
fn revision<P>(node: &Node<P>) -> Option<Revision> {
    active(node).revision().cloned()
}

/// Accepts a bundle if its signatures are valid and its version is higher than
/// the one in force.
fn offer<P>(node: &Node<P>, signed: Signed)
where
    P: Policy + Send + Sync + 'static,
{
    let (result, accepted) = {
        let mut active = active(node);
        let result = active.offer(signed, &node.trust);
        (result, active.accepted().cloned())
    };
    match result {
        Ok(Comparison::Newer) => {
            node.metrics.count("bundle", "accepted");
            // Two concurrent offers may reach this point in either order.
            node.accepted.send_if_modified(|known| {
                let is_higher = accepted.as_ref().map(|accepted| &accepted.revision)
                    > known.as_ref().map(|accepted| &accepted.revision);
                if is_higher {
                    *known = accepted;
                }
                is_higher
            });
        }
        Ok(_) => node.metrics.count("bundle", "known"),
        Err(error) => {
            node.metrics.count("bundle", "rejected");
            tracing::warn!(%error, "rejected a bundle");
        }
    }
}
