//! The differences between two bundles.

use super::{Bundle, Group, Server};
use crate::id::{GroupId, ServerId};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

/// One difference between the bundle in force and a new one.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// A group is added.
    AddGroup(GroupId),
    /// A server is added.
    AddServer(ServerId),
    /// The limits, address or zone of a server change, as described.
    ChangeServer(ServerId, String),
    /// Another part of the bundle changes, as described.
    ChangeSetting(String),
    /// A group is removed.
    RemoveGroup(GroupId),
    /// A server is removed.
    RemoveServer(ServerId),
}

impl Display for Change {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::AddGroup(name) => write!(formatter, "+ group {name}"),
            Self::AddServer(name) => write!(formatter, "+ server {name}"),
            Self::ChangeServer(name, description) => {
                write!(formatter, "~ server {name}: {description}")
            }
            Self::ChangeSetting(description) => write!(formatter, "~ {description}"),
            Self::RemoveGroup(name) => write!(formatter, "- group {name}"),
            Self::RemoveServer(name) => write!(formatter, "- server {name}"),
        }
    }
}

/// Returns the differences in the order in which a node applies them: additions,
/// then changes, then removals.
#[must_use]
pub fn diff(before: Option<&Bundle>, after: &Bundle) -> Vec<Change> {
    let old_groups = before.map(groups).unwrap_or_default();
    let new_groups = groups(after);
    let old_servers = before.map(servers).unwrap_or_default();
    let new_servers = servers(after);
    let mut changes = Vec::new();
    let is_new = |name: &&GroupId| !old_groups.contains_key(*name);
    changes.extend(
        new_groups
            .keys()
            .filter(is_new)
            .cloned()
            .map(Change::AddGroup),
    );
    let is_new = |name: &&ServerId| !old_servers.contains_key(*name);
    changes.extend(
        new_servers
            .keys()
            .filter(is_new)
            .cloned()
            .map(Change::AddServer),
    );
    for (name, server) in &new_servers {
        let old = old_servers.get(name);
        changes.extend(old.and_then(|old| diff_server(old, server)));
    }
    if let Some(before) = before {
        diff_settings(before, after, &mut changes);
    }
    let is_gone = |name: &&ServerId| !new_servers.contains_key(*name);
    changes.extend(
        old_servers
            .keys()
            .filter(is_gone)
            .cloned()
            .map(Change::RemoveServer),
    );
    let is_gone = |name: &&GroupId| !new_groups.contains_key(*name);
    changes.extend(
        old_groups
            .keys()
            .filter(is_gone)
            .cloned()
            .map(Change::RemoveGroup),
    );
    changes
}

fn groups(bundle: &Bundle) -> BTreeMap<GroupId, &Group> {
    let pairs = bundle
        .groups
        .iter()
        .map(|group| (group.name.clone(), group));
    pairs.collect()
}

fn servers(bundle: &Bundle) -> BTreeMap<ServerId, &Server> {
    let servers = bundle.groups.iter().flat_map(|group| &group.servers);
    servers
        .map(|server| (server.name.clone(), server))
        .collect()
}

fn diff_server(before: &Server, after: &Server) -> Option<Change> {
    let fields = [
        ("zone", before.zone.to_string(), after.zone.to_string()),
        (
            "address",
            before.address.to_string(),
            after.address.to_string(),
        ),
        ("slots", before.slots.to_string(), after.slots.to_string()),
        (
            "connections",
            before.connections.to_string(),
            after.connections.to_string(),
        ),
    ];
    let changed = fields.iter().filter(|(_, before, after)| before != after);
    let texts = changed.map(|(name, before, after)| format!("{name} {before} -> {after}"));
    let texts: Vec<_> = texts.collect();
    (!texts.is_empty()).then(|| Change::ChangeServer(after.name.clone(), texts.join(", ")))
}

fn diff_settings(before: &Bundle, after: &Bundle, changes: &mut Vec<Change>) {
    let rules = |bundle: &Bundle| {
        let rules = bundle
            .groups
            .iter()
            .map(|group| (group.name.clone(), group.acknowledge));
        rules.collect::<Vec<_>>()
    };
    let settings = [
        (
            "default priority",
            before.default_priority != after.default_priority,
        ),
        ("priorities", before.priorities != after.priorities),
        ("read rules", before.reads != after.reads),
        ("write rules", before.writes != after.writes),
        ("users", before.users != after.users),
        ("limits", before.limits != after.limits),
        (
            "groups' order or acknowledge rules",
            rules(before) != rules(after),
        ),
    ];
    let different = settings.iter().filter(|(_, is_different)| *is_different);
    changes.extend(different.map(|(name, _)| Change::ChangeSetting((*name).to_owned())));
}
