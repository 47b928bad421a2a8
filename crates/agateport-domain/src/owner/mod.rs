//! Which nodes keep the connections of which upstream server.
//!
//! Owners are for efficiency only: two at once, or none for a moment, break no
//! promise, since safety is in terms, watermarks and keys.

mod allowance;
mod even;
mod order;
mod rendezvous;
mod roster;

pub use allowance::{Allowance, RAISE_DELAY, allowance, even_part};
pub use even::Even;
pub use order::Order;
pub use rendezvous::Rendezvous;
pub(crate) use rendezvous::score;
pub use roster::{Room, Roster};

use crate::admission::Share;
use crate::bundle::Server;
use crate::id::{NodeId, ServerId, Zone};
use crate::membership::View;

/// A way to share the servers among the nodes.
pub trait Policy {
    /// Returns the nodes that may serve `server`, the preferred one first, as
    /// the node `asker` is to use them.
    fn owners(&self, asker: &NodeId, server: &ServerId, zone: &Zone, view: &View) -> Vec<NodeId>;

    /// Returns the part of `server` that `node` may use.
    fn share(&self, node: &NodeId, server: &Server, view: &View) -> Share;
}
