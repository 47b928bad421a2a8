//! Identifiers shared by all aggregates.

use std::sync::Arc;
use std::time::Duration;

/// Version of a bundle. A node never replaces the bundle in force by an older one.
pub type BundleVersion = u64;
/// Identity of a caller for fair queueing: the name of its user.
pub type CallerId = Arc<str>;
/// Name of the database that a caller connects to; it selects the route.
pub type DatabaseId = Arc<str>;
/// Fencing token of the coordinator; it increases with each new coordinator.
pub type Fence = u64;
/// Name of a database group, unique in a bundle.
pub type GroupId = Arc<str>;
/// Number of a connection to an upstream server, unique on the node that opened it.
pub type LinkId = u64;
/// Name of a node, unique in the fleet.
pub type NodeId = Arc<str>;
/// Position in a log: the number of entries up to and including this one.
pub type Position = u64;
/// Name of a priority, unique in a bundle.
pub type PriorityId = Arc<str>;
/// Number of a request, unique on the node that received it.
pub type RequestId = u64;
/// Name of an upstream server, unique in a bundle.
pub type ServerId = Arc<str>;
/// Number of a caller's session, unique on the node that accepted it.
pub type SessionId = u64;
/// Election term of a group's primary. Two promoters never use the same term.
pub type Term = u64;
/// Time since the VM booted, including time spent suspended.
///
/// `Instant` does not advance while a VM is suspended, so leases and other
/// expiries use this clock.
pub type Uptime = Duration;
/// Name of a workspace, unique in a configuration.
pub type WorkspaceId = Arc<str>;
/// Name of an availability zone.
pub type Zone = Arc<str>;
