//! What part of a workspace's allowance a list of members gives to a node.

use super::views::Members;
use super::{FIXED, Tolerance};
use crate::id::{NodeId, WorkspaceId, Zone};
use crate::owner::score;
use crate::workspace::Limits;
use std::collections::BTreeSet;

/// The position of a node in one list of members, for one workspace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Role {
    /// Number of nodes.
    nodes: usize,
    /// Number of zones.
    zones: usize,
    is_member: bool,
    is_allocator: bool,
}

impl Role {
    /// Returns the role of `node` for `workspace`.
    #[must_use]
    pub fn new(node: &NodeId, workspace: &WorkspaceId, members: &Members) -> Self {
        let zone = members.zone_of(node);
        let neighbours = zone.and_then(|zone| members.zones().get(zone));
        let allocator = neighbours.and_then(|nodes| allocator(nodes, workspace));
        Self {
            nodes: members.count(),
            zones: members.zones().len(),
            is_member: zone.is_some(),
            is_allocator: allocator == Some(node),
        }
    }

    /// Returns the shares of the role in an allowance with this burst.
    #[must_use]
    pub fn shares(&self, burst: f64) -> Shares {
        if !self.is_member {
            return Shares::NONE;
        }
        let node_share = FIXED / count(self.nodes);
        // A bucket that holds less than one operation could never permit one.
        let is_divided = burst * node_share >= 1.0;
        let zone_share = if self.is_allocator {
            1.0 / count(self.zones)
        } else {
            0.0
        };
        Shares {
            fixed: if is_divided { node_share } else { 0.0 },
            leased: if is_divided {
                zone_share * (1.0 - FIXED)
            } else {
                zone_share
            },
            slack: zone_share,
        }
    }
}

/// Fractions of an allowance that a node may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shares {
    /// Fraction of the rate and burst that its own operations may use.
    pub fixed: f64,
    /// Fraction of the rate and burst that it may lend.
    pub leased: f64,
    /// Fraction of the slack that it may lend.
    pub slack: f64,
}

impl Shares {
    /// No share.
    pub const NONE: Self = Self {
        fixed: 0.0,
        leased: 0.0,
        slack: 0.0,
    };

    /// Returns the lower one of each of the fractions.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            fixed: self.fixed.min(other.fixed),
            leased: self.leased.min(other.leased),
            slack: self.slack.min(other.slack),
        }
    }

    /// Returns the rate and the capacity of the bucket for the node's own operations.
    #[must_use]
    pub fn fixed_bucket(&self, limits: Limits) -> (f64, f64) {
        (limits.rate() * self.fixed, limits.burst() * self.fixed)
    }

    /// Returns the rate and the capacity of the bucket for operations that the node lends.
    #[must_use]
    pub fn leased_bucket(&self, limits: Limits, tolerance: &Tolerance) -> (f64, f64) {
        if limits == Limits::NOTHING {
            return (0.0, 0.0);
        }
        let rate = limits.rate() * self.leased * tolerance.leased_fraction();
        let capacity = limits.burst() * self.leased + tolerance.slack * self.slack;
        (rate, capacity)
    }
}

/// Returns the allocators of a workspace in the order in which `node` of `zone` asks them:
/// that of its own zone, then the others in an order that differs among nodes.
pub(super) fn allocators(
    node: &NodeId,
    zone: &Zone,
    workspace: &WorkspaceId,
    members: &Members,
) -> Vec<NodeId> {
    let zones = members.zones().iter();
    let mut ranked: Vec<_> = zones
        .filter_map(|(other, nodes)| {
            let allocator = allocator(nodes, workspace)?;
            let pair = NodeId::from(format!("{node}\0{other}"));
            Some((other != zone, score(&pair, workspace), allocator.clone()))
        })
        .collect();
    ranked.sort();
    ranked.into_iter().map(|(.., node)| node).collect()
}

/// Selects the allocator of a workspace among the nodes of a zone.
fn allocator<'a>(nodes: &'a BTreeSet<NodeId>, workspace: &WorkspaceId) -> Option<&'a NodeId> {
    nodes.iter().max_by_key(|node| score(node, workspace))
}

#[expect(
    clippy::cast_precision_loss,
    reason = "numbers of nodes are far below 2^52"
)]
fn count(number: usize) -> f64 {
    number.max(1) as f64
}
