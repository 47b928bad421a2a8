//! Which nodes keep the connections of which upstream server.
//!
//! Owners are for efficiency only: two at once, or none for a moment, break no
//! promise, since safety is in terms, watermarks and keys.

mod allowance;
mod assignment;
mod cache;
mod even;
mod rendezvous;

pub use allowance::{Allowance, RAISE_DELAY, allowance, even_share};
pub use assignment::{Assignment, Capacity};
pub use cache::Cache;
pub use even::Even;
pub use rendezvous::Rendezvous;
pub(crate) use rendezvous::score;

use crate::admission::Share;
use crate::bundle::Server;
use crate::id::{NodeId, ServerId, Zone};
use crate::membership::View;

/// A way to share the servers among the nodes.
pub trait Policy {
    /// Returns the nodes that may serve `server`, the preferred one first, as
    /// the node `requester` is to use them.
    fn owners(
        &self,
        requester: &NodeId,
        server: &ServerId,
        zone: &Zone,
        view: &View,
    ) -> Vec<NodeId>;

    /// Returns the part of `server` that `node` may use.
    fn share(&self, node: &NodeId, server: &Server, view: &View) -> Share;
}
