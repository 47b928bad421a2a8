//! Which VMs are live, suspect, leaving or dead, in the manner of SWIM.
//!
//! Each node probes one other node a period, directly and then through others.
//! What it learns rides along with the probes. The platform's list lags, so it
//! only seeds the view. The cost of a node doesn't depend on their number.

mod error;
mod member;
mod view;

pub use error::Error;
pub use member::{Gossip, Incarnation, Member, State};
pub use view::{Revision, View};

use std::time::Duration;

/// Interval between two probes by one node.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which a probe counts as unanswered.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Nodes that are asked to probe one that didn't answer.
pub const INDIRECT_PROBES: usize = 3;

/// Time that a suspect has to overrule the suspicion.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(1);
