//! Ids of the things that the system decides about.

use std::sync::Arc;
use std::time::Duration;

/// Version of a bundle; a node only ever goes up.
pub type BundleVersion = u64;
/// Name of a caller, as far as fairness goes: its user.
pub type CallerId = Arc<str>;
/// Name of a database, by which callers choose a route.
pub type DatabaseId = Arc<str>;
/// Number that rises with each holder of the promotion duty.
pub type Fence = u64;
/// Name of a database group, unique in a bundle.
pub type GroupId = Arc<str>;
/// Name of an entry VM's node.
pub type NodeId = Arc<str>;
/// Number of log entries up to and including this one.
pub type Position = u64;
/// Name of a priority, unique in a bundle.
pub type PriorityId = Arc<str>;
/// Number of a request, unique at the node that took it.
pub type RequestId = u64;
/// Name of an upstream server, unique in a bundle.
pub type ServerId = Arc<str>;
/// Number of a caller's session, unique at the node that took it.
pub type SessionId = u64;
/// Number of a primary's leadership over its group; two promoters never share one.
pub type Term = u64;
/// Time since the VM booted, with the time that it was suspended.
///
/// `Instant` stands still on a suspended VM; what must expire goes by this.
pub type Uptime = Duration;
/// Name of an availability zone.
pub type Zone = Arc<str>;
