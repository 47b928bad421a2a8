//! The lists of members that a node has read, and how long each of them counts.

use super::VIEW_DELAY;
use crate::id::{NodeId, Uptime, Zone};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// The members of the cluster, by zone.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Members {
    zones: BTreeMap<Zone, BTreeSet<NodeId>>,
    count: usize,
}

impl<'a> FromIterator<(&'a NodeId, &'a Zone)> for Members {
    /// Collects nodes, whose names differ, with their zones.
    fn from_iter<I: IntoIterator<Item = (&'a NodeId, &'a Zone)>>(nodes: I) -> Self {
        let mut members = Self::default();
        for (node, zone) in nodes {
            let zone = members.zones.entry(zone.clone()).or_default();
            members.count += usize::from(zone.insert(node.clone()));
        }
        members
    }
}

impl Members {
    /// Returns the nodes of each zone.
    #[must_use]
    pub fn zones(&self) -> &BTreeMap<Zone, BTreeSet<NodeId>> {
        &self.zones
    }

    /// Returns the number of nodes.
    #[must_use]
    pub fn count(&self) -> usize {
        self.count
    }

    /// Returns the zone of a node, if it is a member.
    #[must_use]
    pub fn zone_of(&self, node: &NodeId) -> Option<&Zone> {
        let mut zones = self.zones.iter();
        let (zone, _) = zones.find(|(_, nodes)| nodes.contains(node))?;
        Some(zone)
    }

    /// Returns the members other than `node`.
    fn without(&self, node: &NodeId) -> Self {
        let zones = self.zones.iter();
        let pairs = zones.flat_map(|(zone, nodes)| nodes.iter().map(move |node| (node, zone)));
        pairs.filter(|(other, _)| *other != node).collect()
    }

    fn union(&self, other: &Self) -> Self {
        let nodes = |members: &Self| -> Vec<(NodeId, Zone)> {
            let zones = members.zones.iter();
            let pairs = zones.flat_map(|(zone, nodes)| {
                nodes.iter().map(move |node| (node.clone(), zone.clone()))
            });
            pairs.collect()
        };
        let mut merged: BTreeMap<NodeId, Zone> = nodes(other).into_iter().collect();
        merged.extend(nodes(self));
        merged.iter().collect()
    }
}

/// What a read of the store says about the nodes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Listing {
    /// Number of times that the store was restored.
    pub era: u64,
    /// The nodes that count.
    pub members: Members,
    /// Nodes that do not answer but may still be running.
    pub gone: Members,
    /// Whether this node has counted for at least [`VIEW_DELAY`], also while none of its
    /// processes ran.
    pub is_established: bool,
}

/// A list of members and when it was in force at this node.
#[derive(Clone, Debug)]
pub(super) struct View {
    /// Number of the list, unique on this node.
    pub id: u64,
    /// The list.
    pub members: Arc<Members>,
    /// When another list replaced it; none for the current one.
    pub replaced_at: Option<Uptime>,
    /// When its shares are known to have been in effect.
    effective_at: Uptime,
}

/// The lists of members that determine a node's shares.
///
/// A node may use the lowest share that any list gives it that was in force in the last
/// [`VIEW_DELAY`], and none if the current list was not confirmed during that time.
#[derive(Clone, Debug)]
pub struct Views {
    node: NodeId,
    /// The lists that count, the current one last.
    lists: Vec<View>,
    /// Revision of the store's rows that the current list was read from.
    revision: Option<u64>,
    /// Latest time at which the current list is known to have been that of the store.
    confirmed_at: Uptime,
    /// When the shares came back after the list had not been confirmed for too long.
    resumed_at: Uptime,
    /// Era of the current list.
    era: u64,
    /// When this node will have counted for [`VIEW_DELAY`]; none if it does not count.
    established_at: Option<Uptime>,
    next_id: u64,
}

impl Views {
    /// Creates the state of a node that has read no list.
    #[must_use]
    pub fn new(node: NodeId) -> Self {
        Self {
            node,
            lists: Vec::new(),
            revision: None,
            confirmed_at: Uptime::ZERO,
            resumed_at: Uptime::ZERO,
            era: 0,
            established_at: None,
            next_id: 0,
        }
    }

    /// Applies a read that was sent at `read_at`. `revision` changes with each change of the
    /// listing.
    pub fn apply(
        &mut self,
        listing: impl FnOnce() -> Listing,
        revision: u64,
        read_at: Uptime,
        now: Uptime,
    ) {
        let is_known = self.revision == Some(revision);
        // Lists that were in force in the meantime may have been missed, and the nodes that
        // they added may still use their shares.
        let is_interrupted = self.revision.is_none() || read_at > self.confirmed_at + VIEW_DELAY;
        if is_interrupted {
            self.resumed_at = now;
        }
        self.confirmed_at = self.confirmed_at.max(read_at);
        self.forget(now);
        if is_known {
            return;
        }
        self.revision = Some(revision);
        let listing = listing();
        self.establish(&listing, is_interrupted, now);
        if is_interrupted {
            if !listing.is_established {
                // Other nodes may still use a list without this node.
                self.push(listing.members.without(&self.node), now);
            }
            self.push(listing.members.union(&listing.gone), now);
        }
        self.push(listing.members, now);
    }

    /// Updates the time at which this node will have counted for [`VIEW_DELAY`].
    fn establish(&mut self, listing: &Listing, is_interrupted: bool, now: Uptime) {
        let is_continued = listing.era == self.era && !is_interrupted;
        let known = self.established_at.filter(|_| is_continued);
        let delay = if listing.is_established {
            Duration::ZERO
        } else {
            VIEW_DELAY
        };
        let established_at = known.map_or(now + delay, |known| known.min(now + delay));
        let is_listed = listing.members.zone_of(&self.node).is_some();
        self.established_at = is_listed.then_some(established_at);
        self.era = listing.era;
    }

    /// Returns whether this node has counted for at least [`VIEW_DELAY`] in the present era
    /// of the store, so that its next process may use its shares at once.
    #[must_use]
    pub fn is_established(&self, now: Uptime) -> bool {
        self.established_at.is_some_and(|at| at <= now)
    }

    fn push(&mut self, members: Members, now: Uptime) {
        let is_first = self.lists.is_empty();
        if let Some(current) = self.lists.last_mut() {
            if *current.members == members {
                return;
            }
            current.replaced_at = Some(now);
        }
        self.lists.push(View {
            id: self.next_id,
            members: Arc::new(members),
            replaced_at: None,
            effective_at: if is_first { now } else { now + VIEW_DELAY },
        });
        self.next_id += 1;
    }

    /// Drops the lists that no longer count.
    fn forget(&mut self, now: Uptime) {
        self.lists.retain(|view| view.counts(now));
    }

    /// Returns the name of this node.
    #[must_use]
    pub fn node(&self) -> &NodeId {
        &self.node
    }

    /// Returns the current list; none before the first one.
    #[must_use]
    pub fn current(&self) -> Option<&Arc<Members>> {
        self.lists.last().map(|view| &view.members)
    }

    /// Returns the lists that count at `now`, the current one last.
    pub(super) fn counting(&self, now: Uptime) -> impl Iterator<Item = &View> {
        self.lists.iter().filter(move |view| view.counts(now))
    }

    /// Returns the number of the current list; none before the first one.
    pub(super) fn current_id(&self) -> Option<u64> {
        self.lists.last().map(|view| view.id)
    }

    /// Returns the time until which the shares may be used.
    #[must_use]
    pub fn valid_until(&self) -> Uptime {
        if self.lists.is_empty() {
            return Uptime::ZERO;
        }
        self.confirmed_at + VIEW_DELAY
    }

    /// Returns whether the shares may be used.
    #[must_use]
    pub fn are_valid(&self, now: Uptime) -> bool {
        now < self.valid_until()
    }

    /// Returns when the shares last came back after an interruption.
    pub(super) fn resumed_at(&self) -> Uptime {
        self.resumed_at
    }

    /// Returns a time since which the shares that hold at `now` have been in effect.
    pub(super) fn effective_at(&self, now: Uptime) -> Uptime {
        let first = self.counting(now).next();
        let effective_at = first.map_or(now, |view| view.effective_at);
        effective_at.max(self.resumed_at).min(now)
    }
}

impl View {
    fn counts(&self, now: Uptime) -> bool {
        self.replaced_at
            .is_none_or(|replaced_at| now < replaced_at + VIEW_DELAY)
    }
}
