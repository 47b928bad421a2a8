//! The rows in which the project keeps what must last.

use crate::source::{Change, RowVersion, Rows};
use agateport_domain::group::Leadership;
use agateport_domain::prelude::*;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Key of the row that names the holder of the promotion duty.
pub const COORDINATOR: &str = "duty";

/// Key of the row that every change touches, so that one small read tells
/// whether there is news.
pub const CHANGES: &str = "changes";

const ACCEPTANCE: &str = "acceptance/";
const LEADERSHIP: &str = "reign/";
const NODE: &str = "node/";

/// Who may order promotions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Coordinator {
    /// Name of the node.
    pub holder: NodeId,
}

/// A node that is up.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Availability zone that it runs in.
    pub zone: Zone,
    /// Where it answers other nodes.
    pub address: SocketAddr,
    /// Whether another node found that it doesn't answer any more.
    #[serde(default)]
    pub is_gone: bool,
}

/// The records of primaries that a node has taken over: it uses no former
/// primary any more.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Acceptance {
    /// Version of the record's row, by group.
    pub versions: BTreeMap<GroupId, RowVersion>,
}

/// Returns the key of what a node has taken over.
#[must_use]
pub fn acceptance_key(node: &str) -> String {
    format!("{ACCEPTANCE}{node}")
}

/// Returns a change that also tells that there is news.
#[must_use]
pub fn with_change_marker(mut change: Change) -> Change {
    change.set.insert(CHANGES.to_owned(), Vec::new());
    change
}

/// Returns the key of a group's record.
#[must_use]
pub fn leadership_key(group: &str) -> String {
    format!("{LEADERSHIP}{group}")
}

/// Returns the key of a node's row.
#[must_use]
pub fn node_key(node: &str) -> String {
    format!("{NODE}{node}")
}

/// All rows at one moment.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Records {
    /// Version of the row that every change touches.
    pub version: RowVersion,
    /// Who may order promotions, and the row's version.
    pub coordinator: Option<(Coordinator, RowVersion)>,
    /// The record of each group, and the row's version.
    pub leaderships: BTreeMap<GroupId, (Leadership, RowVersion)>,
    /// Nodes that are up, or ended without a word.
    pub members: BTreeMap<NodeId, Member>,
    /// Nodes that don't answer any more; their proofs may not have ended yet.
    pub gone: BTreeMap<NodeId, Member>,
    /// Versions of the nodes' rows.
    pub member_versions: BTreeMap<NodeId, RowVersion>,
    /// What each node has taken over.
    pub acceptances: BTreeMap<NodeId, Acceptance>,
}

impl Records {
    /// Reads rows; those that can't be read are left out and logged.
    #[must_use]
    pub fn parse(rows: &Rows) -> Self {
        let mut records = Self::default();
        for (key, row) in rows {
            if !records.insert_row(key, &row.value, row.version) {
                tracing::warn!(event = "row_garbled", key, "a row can't be read");
            }
        }
        records
    }

    fn insert_row(&mut self, key: &str, value: &[u8], version: RowVersion) -> bool {
        if key == COORDINATOR {
            self.coordinator = parse(value).map(|coordinator| (coordinator, version));
            return self.coordinator.is_some();
        }
        if let Some(group) = key.strip_prefix(LEADERSHIP) {
            let leadership = parse(value).map(|leadership| (leadership, version));
            return insert(&mut self.leaderships, group.into(), leadership);
        }
        if key == CHANGES {
            self.version = version;
            return true;
        }
        if let Some(node) = key.strip_prefix(ACCEPTANCE) {
            return insert(&mut self.acceptances, node.into(), parse(value));
        }
        if let Some(node) = key.strip_prefix(NODE) {
            self.member_versions.insert(node.into(), version);
            let member: Option<Member> = parse(value);
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

    /// Returns the nodes after `node` in the order of names, and in turn from
    /// the first on.
    pub fn nodes_after<'a>(
        &'a self,
        node: &'a NodeId,
    ) -> impl Iterator<Item = (&'a NodeId, &'a Member)> {
        let following = self.members.range(node.clone()..).chain(&self.members);
        following.filter(move |(other, _)| *other != node)
    }

    /// Returns the node before `node` in the order of names, in turn the last.
    #[must_use]
    pub fn node_before(&self, node: &NodeId) -> Option<&NodeId> {
        let preceding = self.members.range(..node.clone()).next_back();
        let before = preceding.or_else(|| self.members.last_key_value());
        before.map(|(name, _)| name)
    }

    /// Tells whether every node has taken a group's record over.
    #[must_use]
    pub fn is_accepted(&self, group: &GroupId) -> bool {
        let Some((_, version)) = self.leaderships.get(group) else {
            return false;
        };
        self.members.keys().chain(self.gone.keys()).all(|node| {
            let acceptance = self.acceptances.get(node);
            let accepted = acceptance.and_then(|acceptance| acceptance.versions.get(group));
            accepted == Some(version)
        })
    }

    /// Returns the holder of the duty of promotions, if it is up.
    #[must_use]
    pub fn live_coordinator(&self) -> Option<&Member> {
        let (coordinator, _) = self.coordinator.as_ref()?;
        self.members.get(&coordinator.holder)
    }

    /// Returns the nodes in the order in which they take the duty of promotions
    /// over: the first of each zone, the second of each, and so on, so that the
    /// loss of a zone holds nothing up.
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

    /// Returns the place of a node in the order of succession.
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

fn parse<T: DeserializeOwned>(value: &[u8]) -> Option<T> {
    serde_json::from_slice(value).ok()
}

/// Returns a row's value.
#[must_use]
pub fn value<T: Serialize>(record: &T) -> Vec<u8> {
    // Plain structures of texts and numbers always have a text.
    serde_json::to_vec(record).unwrap_or_default()
}
