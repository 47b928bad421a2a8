//! Orders the servers that may run a read.

use super::Watermark;
use crate::id::ServerId;

/// Load that makes a server of another zone the better choice, in requests.
///
/// Bytes between zones cost more than a short wait.
const ZONE_COST: usize = 2;

/// Load that makes the primary the better choice, in requests.
///
/// Its slots belong to writes and to reads that no replica may run.
const PRIMARY_COST: usize = 3;

/// Load that makes a server of which too little is known the better choice.
const UNCERTAINTY_COST: usize = 1;

/// What is known of a server that may run a read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Name of the server.
    pub server: ServerId,
    /// Whether it leads its group, and so holds everything.
    pub is_primary: bool,
    /// Whether it is in the zone of the one who asks.
    pub is_same_zone: bool,
    /// Place of its log that was heard at any time.
    pub watermark: Option<Watermark>,
    /// Whether the place was heard just now.
    pub is_recent: bool,
    /// Requests of this node that use the server or wait for it.
    pub load: usize,
}

/// Returns the servers that may run a read, the best first.
///
/// A replica that was just heard to be behind `floor` is left out; one of which
/// that isn't known is asked, and checks the floor itself. Without a floor only
/// the primary will do.
#[must_use]
pub fn order(candidates: &[Candidate], floor: Option<Watermark>) -> Vec<ServerId> {
    let mut costs: Vec<_> = candidates
        .iter()
        .filter_map(|candidate| Some((cost(candidate, floor)?, &candidate.server)))
        .collect();
    costs.sort();
    costs
        .into_iter()
        .map(|(_, server)| server.clone())
        .collect()
}

/// Returns what it costs to ask a server, in requests that wait; none if it
/// can't run the read.
fn cost(candidate: &Candidate, floor: Option<Watermark>) -> Option<usize> {
    let zone_cost = if candidate.is_same_zone { 0 } else { ZONE_COST };
    if candidate.is_primary {
        return Some(candidate.load + zone_cost + PRIMARY_COST);
    }
    let floor = floor?;
    let is_caught_up = candidate
        .watermark
        .is_some_and(|watermark| watermark >= floor);
    if is_caught_up {
        return Some(candidate.load + zone_cost);
    }
    if candidate.is_recent {
        return None;
    }
    Some(candidate.load + zone_cost + UNCERTAINTY_COST)
}
