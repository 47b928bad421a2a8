//! Membership in the manner of SWIM: which VMs are live, suspect, leaving or dead.
//!
//! In each period a node probes one other node, first directly and then through
//! other nodes. The results are spread as gossip on the probes. The platform's
//! list of VMs lags behind, so it only seeds the view. The load of a node does
//! not depend on the number of nodes.

mod error;
mod member;
mod view;

pub use error::Error;
pub use member::{Gossip, Incarnation, Member, State};
pub use view::{Generation, View};

use std::time::Duration;

/// Interval between two probes that a node sends.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which a probe counts as unanswered.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of nodes that are requested to probe a member that did not answer.
pub const INDIRECT_PROBES: usize = 3;

/// Time that a suspected member has to refute the suspicion.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(1);
