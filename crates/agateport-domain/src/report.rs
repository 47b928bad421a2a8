//! What a node reports to operators: how it uses workspaces and servers, and what it refused.
//!
//! A report holds neither keys nor their digests, and its size is bounded.

use crate::group::Wait;
use crate::id::{BundleVersion, GroupId, NodeId, ServerId, WorkspaceId, Zone};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of workspaces in a report.
pub const MAX_WORKSPACES: usize = 100;

/// Maximum number of handovers in a report.
pub const MAX_HANDOVERS: usize = 100;

/// Maximum number of servers in a report.
pub const MAX_SERVERS: usize = 200;

/// The first entries of a list, and how many were left out.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Listed<T> {
    /// The first entries.
    pub listed: Vec<T>,
    /// Number of entries left out.
    pub omitted: usize,
}

impl<T> Default for Listed<T> {
    fn default() -> Self {
        Self::first(Vec::new(), 0)
    }
}

impl<T> Listed<T> {
    /// Keeps the first `limit` entries.
    #[must_use]
    pub fn first(mut entries: Vec<T>, limit: usize) -> Self {
        let omitted = entries.len().saturating_sub(limit);
        entries.truncate(limit);
        Self {
            listed: entries,
            omitted,
        }
    }
}

/// State of a node.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Name of the node.
    pub node: NodeId,
    /// Zone of the node.
    pub zone: Zone,
    /// Version of the configuration in force; none before the first one.
    pub configuration: Option<BundleVersion>,
    /// Time since the configuration was last confirmed, in milliseconds.
    pub configuration_age_ms: Option<u64>,
    /// Workspaces, those with the highest use first.
    pub workspaces: Listed<Workspace>,
    /// Servers, in the order of their names.
    pub servers: Listed<Server>,
    /// Handovers that wait for a condition, in the order of their groups.
    #[serde(default)]
    pub handovers: Listed<Handover>,
    /// Number of refusals by kind and reason, separated by a dot.
    pub refusals: BTreeMap<String, u64>,
}

/// A workspace at one node.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Workspace {
    /// Name of the workspace.
    pub workspace: WorkspaceId,
    /// Allowance over all nodes; none if the workspace is not limited, and then nothing is
    /// counted.
    pub allowance: Option<Allowance>,
    /// Operations per second that this node has taken recently.
    pub used_per_second: f64,
    /// Operations that this node has taken since it first used the workspace.
    pub used: u64,
    /// Nodes that lend operations to this one, in the order in which they are asked.
    pub allocators: Vec<NodeId>,
}

/// Limits of a workspace over all nodes.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Allowance {
    /// Operations per second.
    pub rate: f64,
    /// Operations that may be run at once after a pause.
    pub burst: f64,
}

/// A group without a settled primary, as one node knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Handover {
    /// Name of the group.
    pub group: GroupId,
    /// What has to happen before the next step.
    pub condition: Wait,
    /// Time for which the handover has waited for this condition, in milliseconds.
    pub condition_ms: u64,
    /// Time for which it has waited for any condition, in milliseconds.
    pub waiting_ms: u64,
}

/// A server as one node knows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Server {
    /// Name of the server.
    pub server: ServerId,
    /// Group of the server.
    pub group: GroupId,
    /// Factor by which work takes longer than at the other servers of the group, in percent;
    /// none if the node does not measure it.
    pub pace_percent: Option<u32>,
    /// Slots that the node may use at most.
    pub slots: usize,
    /// Slots that the measured latency allows.
    pub limit: usize,
    /// Requests that hold a slot at this node.
    pub running: usize,
    /// Requests that wait for a slot at this node.
    pub waiting: usize,
}
