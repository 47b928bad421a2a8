//! Allowances: the operations that a workspace may run, counted over all nodes.
//!
//! Half of a workspace's rate is divided among the nodes as fixed shares, which need no
//! message. The rest is leased: each zone has one allocator per workspace, which lends
//! operations to the nodes that need them. The shares of a node follow from the lists of
//! members that it has read, so no message grants a share.

mod account;
mod bucket;
mod demand;
mod error;
mod preview;
mod role;
mod views;

pub use account::{Account, Lent, Request};
pub use bucket::Bucket;
pub use demand::Demand;
pub use error::{Cause, Refusal};
pub use preview::Preview;
pub use role::{Role, Shares};
pub use views::{Listing, Members, Views};

use std::time::Duration;

/// Time for which a list of members must have been in force before a share that it raises
/// is used, and for which a share is used after its list was last confirmed.
///
/// The two times are equal, so that a node whose share fell has stopped using its former one
/// when another node begins to use it.
pub const VIEW_DELAY: Duration = Duration::from_secs(8);

/// Time after the request for a lease at which the lease expires.
///
/// Operations that were lent before a window and are run in it exceed the limit, so the
/// duration must be a small part of the window.
pub const LEASE: Duration = Duration::from_millis(300);

/// Share of the rate that is divided among the nodes.
const FIXED: f64 = 0.5;

/// How exactly a limit is kept: in any window, at most `(rate * window + burst) *
/// (1 + excess) + slack` operations are run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Length of the window.
    pub window: Duration,
    /// Fraction by which the operations may exceed the limit.
    pub excess: f64,
    /// Number of operations by which they may exceed it in addition.
    pub slack: f64,
}

impl Default for Tolerance {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            excess: 0.1,
            slack: 20.0,
        }
    }
}

impl Tolerance {
    /// Returns the fraction of a rate that can be leased.
    ///
    /// The leases used in a window were lent in a period that is longer by [`LEASE`]. The
    /// fraction is below one only if the excess does not cover that.
    #[must_use]
    pub fn leased_fraction(&self) -> f64 {
        let window = self.window.as_secs_f64();
        let fraction = window * (1.0 + self.excess) / (window + LEASE.as_secs_f64());
        fraction.min(1.0)
    }
}
