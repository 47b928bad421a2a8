//! Where a request would be sent, and why, as nodes answer it to operators.
//!
//! A [`Question`] may hold the digest of a key, which is not shown; an [`Explanation`] holds
//! neither.

use crate::id::{BundleVersion, DatabaseId, GroupId, NodeId, PriorityId, ServerId};
use crate::id::{WorkspaceId, Zone};
use crate::session::Watermark;
use crate::workspace::KeyDigest;
use serde::{Deserialize, Serialize};

/// A request that is not sent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Question {
    /// Database that the caller connects to.
    pub database: DatabaseId,
    /// Workspace of the caller; if it is given, no key is needed.
    pub workspace: Option<WorkspaceId>,
    /// Digest of the caller's key.
    pub key: Option<KeyDigest>,
    /// Whether the request writes.
    pub is_write: bool,
    /// Priority, if it is not that of the route.
    pub priority: Option<PriorityId>,
    /// Maximum staleness in milliseconds, if it is not that of the route. Routes whose reads
    /// run at the primary ignore it.
    pub max_age_ms: Option<u64>,
    /// Watermark of the session's last write.
    pub watermark: Option<Watermark>,
}

/// What would happen to a request.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Explanation {
    /// Name of the node that was asked.
    pub node: String,
    /// Version of the configuration that decides.
    pub configuration: BundleVersion,
    /// Time since the configuration was last confirmed, in milliseconds.
    pub configuration_age_ms: Option<u64>,
    /// Route of the database; none if it has none.
    pub route: Option<Route>,
    /// Workspace of the caller; none if it is not identified.
    pub workspace: Option<WorkspaceId>,
    /// Decision of the workspace's allowance; none if it was not reached.
    pub allowance: Option<Allowance>,
    /// Watermark that a replica must have reached; none if it is unknown.
    pub floor: Option<Watermark>,
    /// Servers of the group: those that may run the request in the order in which they are
    /// tried, then the others.
    pub servers: Vec<Server>,
    /// Server that the request would be sent to.
    pub target: Option<ServerId>,
    /// Lower bound of the wait for a slot, in milliseconds; none if another node decides.
    pub wait_ms: Option<u64>,
    /// Why the request would be refused.
    pub refusal: Option<Refusal>,
}

/// The route of a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// Group of servers.
    pub group: GroupId,
    /// Whether reads run at the primary.
    pub is_primary_only: bool,
    /// Maximum staleness of reads, in milliseconds.
    pub max_age_ms: u64,
    /// Target latency in milliseconds.
    pub target_ms: u64,
    /// Priority of the request.
    pub priority: PriorityId,
    /// Whether callers need no key.
    pub is_public: bool,
}

/// Decision of an allowance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "decision")]
pub enum Allowance {
    /// The workspace is not limited, or there is none.
    NotLimited,
    /// The node has an operation.
    Allowed,
    /// The node would ask an allocator, whose answer decides.
    Asked {
        /// Allocator that is asked first.
        allocator: NodeId,
    },
    /// There is none.
    Refused,
}

/// A server of the group.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Server {
    /// Name of the server.
    pub server: ServerId,
    /// Zone of the server.
    pub zone: Zone,
    /// Whether it is the primary.
    pub is_primary: bool,
    /// Last watermark that it reported.
    pub watermark: Option<Watermark>,
    /// Requests of this node that run there or wait, as far as known.
    pub load: usize,
    /// Cost in hundredths of a waiting request; none if it is not compared.
    pub cost: Option<usize>,
    /// Slots that the measured latency allows at this node.
    pub limit: usize,
    /// Remaining lease of the primary in milliseconds.
    pub lease_ms: Option<u64>,
    /// Reason for or against the server.
    pub reason: String,
}

/// Answer to a request that would be refused.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Refusal {
    /// Code of the answer.
    pub code: String,
    /// Text of the answer, with the retry time.
    pub text: String,
    /// Retry time in milliseconds, before a random extension; none if a retry is futile.
    pub retry_ms: Option<u64>,
}
