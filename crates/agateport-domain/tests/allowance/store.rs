//! The rows of the simulated store that concern nodes.

use agateport_domain::allowance::{Listing, Members};
use agateport_domain::prelude::*;

/// The membership row of a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listed {
    pub zone: Zone,
    pub process: u64,
    pub is_gone: bool,
}

/// The row that says since when a node counts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Standing {
    pub zone: Zone,
    pub process: u64,
    pub established_in: Option<u64>,
}

/// The rows of one node, and their versions.
#[derive(Clone, Debug, Default)]
struct Entry {
    member: Option<Listed>,
    standing: Option<Standing>,
    versions: (u64, u64),
    left_at: Option<Uptime>,
}

/// A write that is carried out if the rows still have the versions that were read.
#[derive(Clone, Debug)]
pub struct Write {
    node: NodeId,
    expected: (u64, u64),
    member: Listed,
    standing: Option<Standing>,
}

/// The store.
#[derive(Clone, Debug, Default)]
pub struct Store {
    pub revision: u64,
    era: u64,
    entries: BTreeMap<NodeId, Entry>,
    /// When a node last ceased to count, or the store was last restored.
    pub removed_at: Uptime,
}

impl Store {
    pub fn set(&mut self, node: &NodeId, member: Option<Listed>, standing: Option<Standing>) {
        self.revision += 1;
        let entry = self.entries.entry(node.clone()).or_default();
        if entry.member != member {
            entry.versions.0 = self.revision;
        }
        if entry.standing != standing {
            entry.versions.1 = self.revision;
        }
        (entry.member, entry.standing) = (member, standing);
    }

    fn rows(&self, node: &NodeId) -> (Option<Listed>, Option<Standing>) {
        let entry = self.entries.get(node).cloned().unwrap_or_default();
        (entry.member, entry.standing)
    }

    /// Returns the row of a node that is listed and not marked as gone.
    pub fn member(&self, node: &NodeId) -> Option<Listed> {
        self.rows(node).0.filter(|member| !member.is_gone)
    }

    /// Returns what a process of `node` reads.
    pub fn listing(&self, node: &NodeId, zone: &Zone, is_former: bool) -> Listing {
        let counted = self.entries.iter().filter_map(|(name, entry)| {
            let member = entry.member.as_ref().filter(|member| !member.is_gone);
            let standing = entry.standing.as_ref().filter(|_| !is_former);
            let zone = member.map(|member| &member.zone);
            Some((name, zone.or(standing.map(|standing| &standing.zone))?))
        });
        let gone = self.entries.iter().filter_map(|(name, entry)| {
            let member = entry.member.as_ref().filter(|member| member.is_gone);
            Some((name, &member?.zone))
        });
        Listing {
            era: self.era,
            members: counted.collect::<Members>(),
            gone: gone.collect::<Members>(),
            is_established: is_former || self.is_established(node, zone),
        }
    }

    /// Follows the rule of `Records::is_established` in `agateport-relay`.
    fn is_established(&self, node: &NodeId, zone: &Zone) -> bool {
        let (_, standing) = self.rows(node);
        let is_own = |standing: &Standing| {
            standing.established_in == Some(self.era) && standing.zone == *zone
        };
        let Some(standing) = standing.filter(is_own) else {
            return false;
        };
        if let Some(member) = self.member(node) {
            return member.process == standing.process;
        }
        let mut others = self.entries.iter().filter(|(name, _)| *name != node);
        others.all(|(_, entry)| {
            let process = entry.standing.as_ref().map(|standing| standing.process);
            let member = entry.member.as_ref();
            member.is_none_or(|member| Some(member.process) == process)
        })
    }

    /// Returns what a process of the present version writes.
    pub fn own_write(
        &self,
        node: &NodeId,
        zone: &Zone,
        process: u64,
        is_established: bool,
    ) -> Option<Write> {
        let standing = Standing {
            zone: zone.clone(),
            process,
            established_in: is_established.then_some(self.era),
        };
        self.write_of(node, zone, process, Some(standing))
    }

    /// Returns what a process of the former version writes.
    pub fn former_write(&self, node: &NodeId, zone: &Zone, process: u64) -> Option<Write> {
        self.write_of(node, zone, process, self.rows(node).1)
    }

    fn write_of(
        &self,
        node: &NodeId,
        zone: &Zone,
        process: u64,
        standing: Option<Standing>,
    ) -> Option<Write> {
        let member = Listed {
            zone: zone.clone(),
            process,
            is_gone: false,
        };
        let expected = self.entries.get(node).map(|entry| entry.versions);
        let is_due = self.rows(node) != (Some(member.clone()), standing.clone());
        is_due.then(|| Write {
            node: node.clone(),
            expected: expected.unwrap_or_default(),
            member,
            standing,
        })
    }

    pub fn write(&mut self, write: Write) {
        let known = self.entries.get(&write.node).map(|entry| entry.versions);
        if known.unwrap_or_default() == write.expected {
            self.set(&write.node, Some(write.member), write.standing);
        }
    }

    /// Deletes the row of a process that stops. Its standing stays if it counts.
    pub fn leave(&mut self, node: &NodeId, process: u64, is_former: bool, now: Uptime) {
        if self
            .member(node)
            .is_none_or(|member| member.process != process)
        {
            return;
        }
        let era = self.era;
        let (_, standing) = self.rows(node);
        let kept = standing.filter(|standing| {
            is_former || (standing.process == process && standing.established_in == Some(era))
        });
        if kept.is_none() {
            self.removed_at = now;
        }
        self.set(node, None, kept);
    }

    /// Marks a node as gone; a node of the present version deletes its standing.
    pub fn mark_gone(&mut self, node: &NodeId, is_former: bool, now: Uptime) {
        let Some(member) = self.member(node) else {
            return;
        };
        let gone = Listed {
            is_gone: true,
            ..member
        };
        let standing = self.rows(node).1.filter(|_| is_former);
        self.removed_at = now;
        self.set(node, Some(gone), standing);
    }

    /// Deletes the standings of nodes that left some time ago.
    pub fn delete_left(&mut self, delay: Duration, now: Uptime) {
        let mut expired = Vec::new();
        for (node, entry) in &mut self.entries {
            let member = entry.member.as_ref().filter(|member| !member.is_gone);
            let has_left = member.is_none() && entry.standing.is_some();
            let left_at = entry.left_at.take().unwrap_or(now);
            entry.left_at = has_left.then_some(left_at);
            if has_left && now >= left_at + delay {
                expired.push(node.clone());
            }
        }
        for node in expired {
            self.removed_at = now;
            let (member, _) = self.rows(&node);
            self.set(&node, member, None);
        }
    }

    /// Returns the store with the rows of a copy.
    pub fn restored(&self, copy: &Self, now: Uptime) -> Self {
        Self {
            revision: self.revision + 1,
            era: self.era + 1,
            entries: copy.entries.clone(),
            removed_at: now,
        }
    }
}
