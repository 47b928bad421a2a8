//! The rows of the project's table: leadership, membership and the coordinator.

use crate::source::{Change, Era, Revision, RowVersion, Rows};
use agateport_domain::group::Leadership;
use agateport_domain::prelude::*;
use agateport_domain::tree::Capacity;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Key of the row that names the coordinator of promotions.
pub const COORDINATOR: &str = "duty";

/// Key of the row that every change writes, so that one small read shows whether
/// anything has changed.
pub const CHANGES: &str = "changes";

const ACCEPTANCE: &str = "acceptance/";
const LEADERSHIP: &str = "reign/";
const NODE: &str = "node/";
const STANDING: &str = "standing/";

/// Largest number of nodes with which each node publishes the leadership records
/// that it has applied. With more nodes, the acceptances are not complete before
/// the lease has expired anyway, and each costs a write and a read.
const MAX_ACCEPTING_NODES: usize = 16;

/// The coordinator: the only node that may order promotions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Coordinator {
    /// Name of the node.
    pub holder: NodeId,
}

/// Random number that tells the processes of a node apart.
pub type ProcessId = u64;

/// Membership of a node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Availability zone that it runs in.
    pub zone: Zone,
    /// Its address for other nodes.
    pub address: SocketAddr,
    /// Processing power of its VM.
    #[serde(default)]
    pub capacity: Capacity,
    /// Process that wrote the row.
    #[serde(default)]
    pub process: ProcessId,
    /// Whether it was marked as gone because it no longer answers.
    #[serde(default)]
    pub is_gone: bool,
}

/// Since when a node counts for the allowances of workspaces. It is kept only while
/// workspaces with limits are configured, and outlasts a graceful stop for some time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Standing {
    /// Availability zone of the node.
    pub zone: Zone,
    /// Process that wrote the row.
    pub process: ProcessId,
    /// Era of the store in which the node has counted for
    /// [`agateport_domain::allowance::VIEW_DELAY`]; none before that.
    pub established_in: Option<Era>,
}

/// The leadership records that a node has applied while they were not settled: it no
/// longer uses the former primaries.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Acceptance {
    /// Version of the record's row, by group.
    pub versions: BTreeMap<GroupId, RowVersion>,
    /// Era of the store that the versions belong to.
    #[serde(default)]
    pub era: Era,
}

/// Returns the key of a node's acceptance.
#[must_use]
pub fn acceptance_key(node: &str) -> String {
    format!("{ACCEPTANCE}{node}")
}

/// Returns `change` with a write of the [`CHANGES`] row added to it.
#[must_use]
pub fn with_change_marker(mut change: Change) -> Change {
    change.set.insert(CHANGES.to_owned(), Vec::new());
    change
}

/// Returns the key of a group's leadership record.
#[must_use]
pub fn leadership_key(group: &str) -> String {
    format!("{LEADERSHIP}{group}")
}

/// Returns the key of a node's row.
#[must_use]
pub fn node_key(node: &str) -> String {
    format!("{NODE}{node}")
}

/// Returns the key of a node's standing.
#[must_use]
pub fn standing_key(node: &str) -> String {
    format!("{STANDING}{node}")
}

/// The rows of the project's table at one moment, decoded.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Records {
    /// Revision of the [`CHANGES`] row.
    pub revision: Revision,
    /// The coordinator, and the row's version.
    pub coordinator: Option<(Coordinator, RowVersion)>,
    /// The leadership record of each group, and the row's version.
    pub leaderships: BTreeMap<GroupId, (Leadership, RowVersion)>,
    /// Nodes that are running, or that crashed and are not marked yet.
    pub members: BTreeMap<NodeId, Member>,
    /// Nodes that are marked as gone; their leases may not have expired yet.
    pub gone: BTreeMap<NodeId, Member>,
    /// Versions of the nodes' rows.
    pub member_versions: BTreeMap<NodeId, RowVersion>,
    /// The leadership records that each node has applied.
    pub acceptances: BTreeMap<NodeId, Acceptance>,
    /// The standing of each node, and the row's version. Updates between nodes hold it after
    /// the other parts, because nodes of former versions do not expect it among them.
    #[serde(skip)]
    pub standings: BTreeMap<NodeId, (Standing, RowVersion)>,
}

impl Records {
    /// Decodes the rows of an era; malformed and unknown ones are omitted and logged.
    #[must_use]
    pub fn parse(rows: &Rows, era: Era) -> Self {
        let mut records = Self::default();
        records.revision.era = era;
        for (key, row) in rows {
            if !records.insert_row(key, &row.value, row.version) {
                tracing::warn!(
                    event = "row_garbled",
                    key,
                    "a malformed or unknown row of the store is ignored"
                );
            }
        }
        records
    }

    /// Decodes and inserts a row; returns whether its key is known and its value valid.
    fn insert_row(&mut self, key: &str, value: &[u8], version: RowVersion) -> bool {
        if key == COORDINATOR {
            self.coordinator = decode(value).map(|coordinator| (coordinator, version));
            return self.coordinator.is_some();
        }
        if let Some(group) = key.strip_prefix(LEADERSHIP) {
            let leadership = decode(value).map(|leadership| (leadership, version));
            return insert(&mut self.leaderships, group.into(), leadership);
        }
        if key == CHANGES {
            self.revision.version = version;
            return true;
        }
        if let Some(node) = key.strip_prefix(ACCEPTANCE) {
            return insert(&mut self.acceptances, node.into(), decode(value));
        }
        if let Some(node) = key.strip_prefix(STANDING) {
            let standing = decode(value).map(|standing| (standing, version));
            return insert(&mut self.standings, node.into(), standing);
        }
        if let Some(node) = key.strip_prefix(NODE) {
            self.member_versions.insert(node.into(), version);
            let member: Option<Member> = decode(value);
            let is_gone = member.as_ref().is_some_and(|member| member.is_gone);
            let members = if is_gone {
                &mut self.gone
            } else {
                &mut self.members
            };
            return insert(members, node.into(), member);
        }
        false
    }

    /// Returns whether a process has written its node's row, and the node is not marked as
    /// gone.
    #[must_use]
    pub fn is_member(&self, node: &NodeId, process: ProcessId) -> bool {
        let member = self.members.get(node);
        member.is_some_and(|member| member.process == process)
    }

    /// Returns the precondition that a node's row is unchanged since it was read.
    #[must_use]
    pub fn expected_member(&self, node: &NodeId) -> BTreeMap<String, RowVersion> {
        let version = self.member_versions.get(node).copied();
        BTreeMap::from([(node_key(node), version.unwrap_or_default())])
    }

    /// Returns the nodes that have a standing and no membership: they left, and may return.
    pub fn left(&self) -> impl Iterator<Item = (&NodeId, &Standing)> {
        let standings = self.standings.iter();
        let left = standings.filter(|(node, _)| !self.members.contains_key(*node));
        left.map(|(node, (standing, _))| (node, standing))
    }

    /// Returns whether a node of `zone` has counted for the allowances of workspaces, at all
    /// other nodes, for long enough that a process which has just started may use its shares.
    ///
    /// A node that left counts only at nodes that keep standings. Those of former versions do
    /// not, and their membership is that of another process than their standing, if any.
    #[must_use]
    pub fn is_established(&self, node: &NodeId, zone: &Zone) -> bool {
        let standing = self.standings.get(node).map(|(standing, _)| standing);
        let is_current = |standing: &&Standing| {
            standing.established_in == Some(self.revision.era) && standing.zone == *zone
        };
        let Some(standing) = standing.filter(is_current) else {
            return false;
        };
        if let Some(member) = self.members.get(node) {
            return member.process == standing.process;
        }
        let others = self.members.iter().chain(&self.gone);
        let mut others = others.filter(|(other, _)| *other != node);
        others.all(|(other, member)| {
            let standing = self.standings.get(other);
            standing.is_some_and(|(standing, _)| standing.process == member.process)
        })
    }

    /// Returns the other nodes in the order of names, starting after `node` and
    /// wrapping around; the nodes after `node` are then returned a second time.
    pub fn nodes_after<'a>(
        &'a self,
        node: &'a NodeId,
    ) -> impl Iterator<Item = (&'a NodeId, &'a Member)> {
        let following = self.members.range(node.clone()..).chain(&self.members);
        following.filter(move |(other, _)| *other != node)
    }

    /// Returns the node before `node` in the order of names, wrapping around to the
    /// last.
    #[must_use]
    pub fn node_before(&self, node: &NodeId) -> Option<&NodeId> {
        let preceding = self.members.range(..node.clone()).next_back();
        let before = preceding.or_else(|| self.members.last_key_value());
        before.map(|(name, _)| name)
    }

    /// Returns the fencing token of the coordinator; none if there is no coordinator.
    #[must_use]
    pub fn fence(&self) -> Option<Fence> {
        let (_, version) = self.coordinator.as_ref()?;
        let revision = Revision {
            era: self.revision.era,
            version: *version,
        };
        Some(revision.fence())
    }

    /// Returns whether the store was restored from a copy since a leadership record was
    /// written. A later record, under which another server was promoted, may be lost.
    #[must_use]
    pub fn is_outdated(&self, leadership: &Leadership) -> bool {
        Revision::era_of(leadership.fence) != self.revision.era
    }

    /// Returns whether nodes publish which leadership records they have applied.
    #[must_use]
    pub fn has_acceptances(&self) -> bool {
        self.members.len() <= MAX_ACCEPTING_NODES
    }

    /// Returns whether every node has applied a group's leadership record, including
    /// those marked as gone, whose leases may not have expired yet.
    #[must_use]
    pub fn is_accepted(&self, group: &GroupId) -> bool {
        let Some((_, version)) = self.leaderships.get(group) else {
            return false;
        };
        self.members.keys().chain(self.gone.keys()).all(|node| {
            let acceptance = self.acceptances.get(node);
            let acceptance = acceptance.filter(|acceptance| acceptance.era == self.revision.era);
            let accepted = acceptance.and_then(|acceptance| acceptance.versions.get(group));
            accepted == Some(version)
        })
    }

    /// Returns the membership of the coordinator; none if there is no coordinator, or
    /// it has left or is marked as gone.
    #[must_use]
    pub fn live_coordinator(&self) -> Option<&Member> {
        let (coordinator, _) = self.coordinator.as_ref()?;
        self.members.get(&coordinator.holder)
    }

    /// Returns the nodes in the order in which they become the coordinator: the first
    /// of each zone, the second of each, and so on, so that the failure of a zone
    /// does not delay the succession.
    #[must_use]
    pub fn succession_order(&self) -> Vec<&NodeId> {
        let mut ranks: BTreeMap<&Zone, usize> = BTreeMap::new();
        let mut order = Vec::new();
        for (node, member) in &self.members {
            let rank = ranks.entry(&member.zone).or_default();
            order.push((*rank, &member.zone, node));
            *rank += 1;
        }
        order.sort();
        order.into_iter().map(|(_, _, node)| node).collect()
    }

    /// Returns the rank of a node in the succession order; a node that is no member
    /// comes last.
    #[must_use]
    pub fn succession_rank(&self, node: &NodeId) -> usize {
        let successors = self.succession_order();
        let rank = successors.iter().position(|other| *other == node);
        rank.unwrap_or(successors.len())
    }
}

fn insert<K: Ord, V>(map: &mut BTreeMap<K, V>, key: K, value: Option<V>) -> bool {
    value.map(|value| map.insert(key, value)).is_some()
}

fn decode<T: DeserializeOwned>(value: &[u8]) -> Option<T> {
    serde_json::from_slice(value).ok()
}

/// Encodes the value of a row.
#[must_use]
pub fn encode<T: Serialize>(record: &T) -> Vec<u8> {
    // Structures of strings, numbers and maps with string keys always serialize.
    serde_json::to_vec(record).unwrap_or_default()
}
