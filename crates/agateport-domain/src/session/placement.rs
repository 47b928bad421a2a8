//! Ranks the servers that may run a read by cost.

use super::Watermark;
use crate::id::ServerId;
use crate::pace::{Factor, Standing};

/// Cost of a server in another zone, in waiting requests.
///
/// Traffic between zones costs more than a short wait.
const ZONE_COST: usize = 2;

/// Cost of the primary, in waiting requests.
///
/// Its slots are kept for writes and for reads that no replica may run.
const PRIMARY_COST: usize = 3;

/// Cost of a replica that is not known to have reached the floor, in waiting
/// requests.
const UNCERTAINTY_COST: usize = 1;

/// A server that may run a read, with its last known state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Name of the server.
    pub server: ServerId,
    /// Whether the server is the primary of its group, which holds all writes.
    pub is_primary: bool,
    /// Whether the server is in the zone of this node.
    pub is_same_zone: bool,
    /// Last watermark that the server reported, at any time; none if it has
    /// reported none.
    pub watermark: Option<Watermark>,
    /// Whether the watermark was reported recently.
    pub is_recent: bool,
    /// Requests of this node that run at the server or wait for it.
    pub load: usize,
    /// How the server stands among the others.
    pub standing: Standing,
}

/// Why a server does not run a request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Exclusion {
    /// It recently reported a watermark behind the one that the request requires.
    Behind,
    /// An earlier attempt at it failed.
    Failed,
    /// It leaves.
    Leaving,
    /// The required watermark is unknown, so only the primary may run the read.
    NoFloor,
    /// Only the primary may run the request.
    NotPrimary,
    /// It is unreachable for this node.
    Unreachable,
}

impl Exclusion {
    /// Returns the name for operators.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Behind => "behind the required watermark",
            Self::Failed => "an earlier attempt failed",
            Self::Leaving => "leaving",
            Self::NoFloor => "the required watermark is unknown",
            Self::NotPrimary => "not the primary",
            Self::Unreachable => "unreachable",
        }
    }
}

/// Returns the cost of each server, in hundredths of a waiting request at a normal server,
/// or why it may not run the read. [`order`] sorts by these.
#[must_use]
pub fn rank(
    candidates: &[Candidate],
    floor: Option<Watermark>,
) -> Vec<(ServerId, Result<usize, Exclusion>)> {
    let ranked = candidates
        .iter()
        .map(|candidate| (candidate.server.clone(), cost(candidate, floor)));
    ranked.collect()
}

/// Returns the servers that may run a read, the best first.
///
/// Replicas that recently reported a watermark behind `floor` are excluded. Other
/// replicas that may be behind are included and check the floor themselves.
/// Without a floor, only the primary may run the read.
#[must_use]
pub fn order(candidates: &[Candidate], floor: Option<Watermark>) -> Vec<ServerId> {
    let mut costs: Vec<_> = candidates
        .iter()
        .filter_map(|candidate| Some((cost(candidate, floor).ok()?, &candidate.server)))
        .collect();
    costs.sort();
    costs
        .into_iter()
        .map(|(_, server)| server.clone())
        .collect()
}

/// Returns the cost of a server, in hundredths of a waiting request at a normal server;
/// or why it cannot run the read.
fn cost(candidate: &Candidate, floor: Option<Watermark>) -> Result<usize, Exclusion> {
    let zone_cost = if candidate.is_same_zone { 0 } else { ZONE_COST };
    let work = candidate.standing.work(candidate.load);
    let cost = |fixed: usize| work.saturating_add((zone_cost + fixed) * percent(Factor::NORMAL));
    if candidate.is_primary {
        return Ok(cost(PRIMARY_COST));
    }
    let floor = floor.ok_or(Exclusion::NoFloor)?;
    let is_caught_up = candidate
        .watermark
        .is_some_and(|watermark| watermark >= floor);
    if is_caught_up {
        return Ok(cost(0));
    }
    if candidate.is_recent {
        return Err(Exclusion::Behind);
    }
    Ok(cost(UNCERTAINTY_COST))
}

fn percent(factor: Factor) -> usize {
    usize::try_from(factor.percent()).unwrap_or(usize::MAX)
}
