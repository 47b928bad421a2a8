//! Selects the replicas that may serve a session's read.

use super::Watermark;
use crate::id::ServerId;
use std::cmp::Reverse;
use std::time::Duration;

/// Cost of a server in another zone, in waiting requests.
const ZONE_COST: usize = 4;

/// A replica that may serve a read, with its last known state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Name of the server.
    pub server: ServerId,
    /// Last report of the replica; none if this node has not queried it. Then the
    /// owner, which queries the replica, checks the requirement of the read.
    pub report: Option<Report>,
    /// Whether the replica is in the zone of this node.
    pub is_same_zone: bool,
    /// Requests sent to the replica and not yet answered.
    pub load: usize,
}

/// State reported by a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Report {
    /// Watermark of the last entry in its log.
    pub last: Watermark,
    /// Age of its data; none if unknown.
    pub age: Option<Duration>,
}

/// A replica to send the read to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Name of the server.
    pub server: ServerId,
    /// Maximum time for the replica to catch up.
    pub maximum_wait: Duration,
}

/// Returns the replicas to send a read to, the best first.
///
/// Replicas whose reported age is unknown or over the limit are excluded. Those
/// that have reached `floor`, or may have, are ordered by zone and load, those
/// without a report last. If all are behind, only the most advanced one is
/// returned, which gets `maximum_wait` to catch up: waiting for several in turn
/// takes longer than reading from the primary.
#[must_use]
pub fn choose(
    candidates: &[Candidate],
    floor: Option<Watermark>,
    maximum_staleness: Duration,
    maximum_wait: Duration,
) -> Vec<Choice> {
    let is_fresh = |report: Report| report.age.is_some_and(|age| age <= maximum_staleness);
    let is_caught_up = |report: Report| floor.is_none_or(|floor| report.last >= floor);
    let fresh = candidates
        .iter()
        .filter(|candidate| candidate.report.is_none_or(is_fresh));
    let (mut ready, behind): (Vec<_>, Vec<_>) =
        fresh.partition(|candidate| candidate.report.is_none_or(is_caught_up));
    if ready.is_empty() {
        let last = |candidate: &Candidate| candidate.report.map(|report| report.last);
        let most_advanced = behind.into_iter().max_by_key(|candidate| {
            (
                last(candidate),
                candidate.is_same_zone,
                Reverse(candidate.load),
            )
        });
        let choice = most_advanced.map(|candidate| Choice {
            server: candidate.server.clone(),
            maximum_wait,
        });
        return choice.into_iter().collect();
    }
    let distance =
        |candidate: &Candidate| candidate.load + if candidate.is_same_zone { 0 } else { ZONE_COST };
    ready.sort_by_key(|candidate| (candidate.report.is_none(), distance(candidate)));
    let choices = ready.into_iter().map(|candidate| Choice {
        server: candidate.server.clone(),
        // The report may be outdated, so the replica may still be behind.
        maximum_wait,
    });
    choices.collect()
}
