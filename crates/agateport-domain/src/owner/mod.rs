//! Assignment of upstream servers to the nodes that own their queues and
//! connections.
//!
//! Ownership is only an optimization: having two owners at once, or none for a
//! moment, violates no guarantee, since safety rests on terms, watermarks and
//! keys.

mod allowance;
mod assignment;
mod cache;
mod even;
mod rendezvous;

pub use allowance::{Allowance, RAISE_DELAY, allowance, even_allowance};
pub use assignment::{Assignment, Capacity, rotate};
pub use cache::Cache;
pub use even::Even;
pub use rendezvous::Rendezvous;
pub(crate) use rendezvous::score;

use crate::admission::Share;
use crate::bundle::Server;
use crate::id::{NodeId, ServerId, Zone};
use crate::membership::View;

/// A policy that assigns servers to nodes.
pub trait Policy {
    /// Returns the nodes that may serve `server` for the node `requester`, the
    /// preferred one first.
    fn owners(
        &self,
        requester: &NodeId,
        server: &ServerId,
        zone: &Zone,
        view: &View,
    ) -> Vec<NodeId>;

    /// Returns the share of the capacity of `server` that `node` may use.
    fn share(&self, node: &NodeId, server: &Server, view: &View) -> Share;
}
