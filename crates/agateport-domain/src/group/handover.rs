//! Who is to be a group's primary, and the steps of a change.
//!
//! The record of a change is written before the change: every node then stops
//! using the former primary within a grant's term, and a holder of the duty that
//! ends half way is followed by another one that goes on from the record.

use super::LEASE_DURATION;
use crate::id::{Fence, ServerId, Uptime};
use crate::session::Watermark;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time after which an order to promote that showed no effect is given again.
///
/// Above the second that the platform takes for a promotion.
const ORDER_RETRY: Duration = Duration::from_millis(1_500);

/// Time for which a group without a record must have no primary before one is
/// chosen: entries that lapsed with the store are back by then.
const LEADERLESS_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time that a recorded candidate gets before another one takes its place.
const CANDIDATE_TIMEOUT: Duration = Duration::from_secs(4);

/// The record of a group's primary.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Leadership {
    /// Server that is, or is to be, the primary.
    pub primary: ServerId,
    /// Duty under which it was recorded.
    pub fence: Fence,
    /// Whether every grant of the former primary has lapsed.
    pub is_settled: bool,
}

/// What a node knows of a server that may lead its group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Name of the server.
    pub server: ServerId,
    /// Last entry of its log, if it answered.
    pub last: Option<Watermark>,
    /// Whether it says that it is the primary.
    pub is_primary: bool,
    /// Whether it is about to leave.
    pub is_leaving: bool,
}

/// What the holder of the duty knows of a group.
#[derive(Clone, Debug)]
pub struct State<'a> {
    /// The record, and when this node first saw it.
    pub leadership: Option<(&'a Leadership, Uptime)>,
    /// Servers of the group that are registered.
    pub candidates: &'a [Candidate],
    /// Since when no server says that it is the primary, if none does.
    pub leaderless_since: Option<Uptime>,
    /// Whether most nodes can't reach the primary.
    pub is_unreachable: bool,
    /// Whether the former primary has confirmed that it takes no more writes.
    pub is_demoted: bool,
    /// Whether every node has taken the record over.
    pub is_released: bool,
    /// When the last order to promote was given under this record.
    pub ordered_at: Option<Uptime>,
}

/// The next step of the holder of the duty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Nothing to do.
    Wait,
    /// Record the server that leads already.
    Adopt(ServerId),
    /// Make the record name this server, in place of another one.
    Record(ServerId),
    /// Order the platform to promote the recorded server.
    Promote(ServerId),
    /// Record that the former primary's grants have lapsed.
    Settle,
}

/// Decides the next step for a group at `now`.
#[must_use]
pub fn decide(state: &State<'_>, now: Uptime) -> Step {
    let Some((leadership, first_seen)) = state.leadership else {
        return adopt(state, now);
    };
    let recorded = state
        .candidates
        .iter()
        .find(|candidate| candidate.server == leadership.primary);
    let Some(recorded) = recorded else {
        return replace(state, &leadership.primary);
    };
    let is_expired = state.is_released || now >= first_seen + LEASE_DURATION;
    if recorded.is_primary {
        if recorded.is_leaving || state.is_unreachable {
            return replace(state, &leadership.primary);
        }
        if is_expired && !leadership.is_settled {
            return Step::Settle;
        }
        return Step::Wait;
    }
    if leadership.is_settled {
        // Orders are given under unsettled records alone, so that a new holder
        // of the duty sees whether an order of the former one may be under way.
        return replace(state, &leadership.primary);
    }
    let is_stuck = now >= first_seen + LEASE_DURATION + CANDIDATE_TIMEOUT;
    if recorded.is_leaving || (state.is_unreachable && is_stuck) {
        return replace(state, &leadership.primary);
    }
    let may_promote = is_expired || state.is_demoted;
    let is_due = state
        .ordered_at
        .is_none_or(|ordered| now >= ordered + ORDER_RETRY);
    if may_promote && is_due {
        return Step::Promote(leadership.primary.clone());
    }
    Step::Wait
}

/// Decides for a group without a record: its reported primary stays unless it
/// leaves or is lost; without one, the furthest log leads after a while.
fn adopt(state: &State<'_>, now: Uptime) -> Step {
    let primary = state
        .candidates
        .iter()
        .find(|candidate| candidate.is_primary);
    let Some(primary) = primary else {
        let is_due = state
            .leaderless_since
            .is_some_and(|since| now >= since + LEADERLESS_TIMEOUT);
        return if is_due {
            most_advanced(state, None)
        } else {
            Step::Wait
        };
    };
    if primary.is_leaving || state.is_unreachable {
        return replace(state, &primary.server);
    }
    Step::Adopt(primary.server.clone())
}

/// Chooses the candidate with the furthest log among those that stay.
///
/// One that says that it leads though another is recorded was replaced before: it
/// takes writes of its own term, and would be used without being promoted.
fn replace(state: &State<'_>, former: &ServerId) -> Step {
    most_advanced(state, Some(former))
}

fn most_advanced(state: &State<'_>, former: Option<&ServerId>) -> Step {
    let eligible = state
        .candidates
        .iter()
        .filter(|candidate| {
            Some(&candidate.server) != former && !candidate.is_leaving && !candidate.is_primary
        })
        .filter(|candidate| candidate.last.is_some());
    let chosen = eligible.max_by_key(|candidate| candidate.last);
    chosen.map_or(Step::Wait, |candidate| {
        Step::Record(candidate.server.clone())
    })
}
