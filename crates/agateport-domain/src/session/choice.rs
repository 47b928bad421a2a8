//! Chooses the servers that may serve a session's read.

use super::Watermark;
use crate::id::ServerId;
use std::cmp::Reverse;
use std::time::Duration;

/// Load that makes a server of another zone the better choice, in requests.
const ZONE_COST: usize = 4;

/// What is known of a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Name of the server.
    pub server: ServerId,
    /// What it said last; none if this node hasn't asked it. Its owner has, and
    /// decides.
    pub report: Option<Report>,
    /// Whether it is in the zone of the one who asks.
    pub is_same_zone: bool,
    /// Requests that were sent to it and aren't answered.
    pub load: usize,
}

/// What a replica said of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Report {
    /// Last entry of its log.
    pub last: Watermark,
    /// Age of its data; none if it doesn't know.
    pub age: Option<Duration>,
}

/// A replica to ask.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Name of the server.
    pub server: ServerId,
    /// How long it may take to catch up.
    pub maximum_wait: Duration,
}

/// Returns the replicas to ask, the best first.
///
/// A replica that doesn't know its age, or whose age is over the limit, serves
/// none. Those that hold `floor`, or may hold it, come by zone and load. If
/// there is none, the most advanced one gets `maximum_wait` to catch up; to wait
/// for more than one would cost more than the primary's answer.
#[must_use]
pub fn choose(
    candidates: &[Candidate],
    floor: Option<Watermark>,
    maximum_staleness: Duration,
    maximum_wait: Duration,
) -> Vec<Choice> {
    let is_fresh = |report: Report| report.age.is_some_and(|age| age <= maximum_staleness);
    let holds = |report: Report| floor.is_none_or(|floor| report.last >= floor);
    let fresh = candidates
        .iter()
        .filter(|one| one.report.is_none_or(is_fresh));
    let (mut ready, behind): (Vec<_>, Vec<_>) = fresh.partition(|one| one.report.is_none_or(holds));
    if ready.is_empty() {
        let last = |one: &Candidate| one.report.map(|report| report.last);
        let most_advanced = behind
            .into_iter()
            .max_by_key(|one| (last(one), one.is_same_zone, Reverse(one.load)));
        let choice = most_advanced.map(|one| Choice {
            server: one.server.clone(),
            maximum_wait,
        });
        return choice.into_iter().collect();
    }
    let distance = |one: &Candidate| one.load + if one.is_same_zone { 0 } else { ZONE_COST };
    ready.sort_by_key(|one| (one.report.is_none(), distance(one)));
    let choices = ready.into_iter().map(|one| Choice {
        server: one.server.clone(),
        // What is known here may be out of date.
        maximum_wait,
    });
    choices.collect()
}
