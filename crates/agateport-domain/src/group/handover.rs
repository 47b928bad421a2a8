//! Selects a group's primary and decides the steps of a handover.
//!
//! A handover is recorded before it is carried out: every node then stops using
//! the former primary within the duration of a lease, and if the coordinator
//! stops half way, its successor continues from the record.

use super::LEASE_DURATION;
use super::wait::Wait;
use crate::id::{ServerId, Uptime};
use crate::session::Watermark;
use std::time::Duration;

mod state;

pub use state::{Candidate, Former, Record, State};

/// Time after which an order to promote that had no effect is sent again.
///
/// It is longer than the second that the platform takes for a promotion.
const ORDER_RETRY: Duration = Duration::from_millis(1_500);

/// Time for which a group without a record must have no primary before one is
/// chosen. Registry entries that expired while the store was down are back by
/// then.
const LEADERLESS_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time that a recorded candidate has to become the primary once the leases of the
/// former one have expired. After it, an unreachable candidate is replaced.
const CANDIDATE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time for which a group must have no primary before a server is chosen whose log may hold
/// entries that an earlier handover dropped.
const BRANCH_TIMEOUT: Duration = Duration::from_secs(8);

/// The server that a handover makes the primary.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Name of the server.
    pub server: ServerId,
    /// Watermark by which it was chosen.
    pub last: Option<Watermark>,
    /// Server whose demotion shows that no server accepts writes any more; none if it is
    /// not known which one may.
    pub former: Option<ServerId>,
}

/// The next step of the coordinator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Nothing to do until something has happened.
    Wait(Wait),
    /// Record the server that is already the primary.
    Adopt(ServerId),
    /// Record this server as the new primary.
    Record(Choice),
    /// Record that the recorded server goes on to lead under this name.
    Resume(ServerId),
    /// Demote the former primary once more.
    Demote,
    /// Demote this server, which leads although another one is recorded, so that it may be
    /// recorded and promoted.
    Retire(ServerId),
    /// Order the platform to promote the recorded server.
    Promote(ServerId),
    /// Record that the former primary's leases have expired or been released.
    Settle,
    /// Record the servers that may be promoted, which have changed.
    Enroll,
}

impl Step {
    /// Returns this step, or what `other` returns if this one is to wait.
    fn or_else(self, other: impl FnOnce() -> Self) -> Self {
        match self {
            Self::Wait(_) => other(),
            step => step,
        }
    }

    /// Returns whether the step rests on what the servers answer, not only on what they
    /// registered.
    #[must_use]
    pub fn needs_answers(&self) -> bool {
        matches!(self, Self::Record(_) | Self::Resume(_) | Self::Retire(_))
    }
}

/// Decides the next step for a group at `now`.
#[must_use]
pub fn decide(state: &State<'_>, now: Uptime) -> Step {
    match hand_over(state, now) {
        // Another version of the record would delay its release before the leases expire.
        Step::Wait(Wait::Leases) => Step::Wait(Wait::Leases),
        Step::Wait(_) if state.is_roster_due => Step::Enroll,
        step => step,
    }
}

/// Decides the next step of a group's handover.
fn hand_over(state: &State<'_>, now: Uptime) -> Step {
    let (leadership, first_seen) = match state.record {
        Record::Absent => return adopt(state, now),
        Record::Outdated => return verify(state, now),
        Record::Current(leadership, first_seen) => (leadership, first_seen),
    };
    let recorded = state
        .candidates
        .iter()
        .find(|candidate| candidate.server == leadership.primary);
    let Some(recorded) = recorded else {
        return replace_missing(state, &leadership.primary, now);
    };
    let is_former_released = state.is_released || now >= first_seen + LEASE_DURATION;
    if recorded.is_primary {
        if state.is_unreachable {
            return replace(state, &leadership.primary, now);
        }
        if recorded.is_leaving {
            return replace_leaving(state, &leadership.primary, now);
        }
        return match (leadership.is_settled, is_former_released) {
            (true, _) => Step::Wait(Wait::Nothing),
            (false, true) => Step::Settle,
            (false, false) => Step::Wait(Wait::Leases),
        };
    }
    if leadership.is_settled {
        // Orders are sent only under unsettled records, so the record shows a new
        // coordinator whether an order of its predecessor may still be in progress.
        return replace_demoted(state, recorded, now);
    }
    let is_stuck = now >= first_seen + LEASE_DURATION + CANDIDATE_TIMEOUT;
    if recorded.is_leaving || (state.is_unreachable && is_stuck) {
        return replace(state, &leadership.primary, now);
    }
    // A node without the store may confirm the former primary without querying a server
    // that it does not know, unless that primary answers that it is a replica.
    let may_promote = state.former == Former::Demoted
        || state.is_released
        || (is_former_released && recorded.is_eligible);
    if !may_promote {
        let wait = if is_former_released {
            Wait::Release
        } else {
            Wait::Leases
        };
        return wait_for_demotion(state, recorded, is_stuck.then_some(now), wait);
    }
    let is_due = state
        .ordered_at
        .is_none_or(|ordered| now >= ordered + ORDER_RETRY);
    if is_due {
        return Step::Promote(leadership.primary.clone());
    }
    Step::Wait(Wait::Promotion)
}

/// Decides for a recorded server that must not be promoted yet. One that not every node
/// knows needs the former primary's demotion, or is replaced by an eligible one if it is
/// `stuck_at` this time.
fn wait_for_demotion(
    state: &State<'_>,
    recorded: &Candidate,
    stuck_at: Option<Uptime>,
    wait: Wait,
) -> Step {
    let other = stuck_at.map(|now| replace(state, &recorded.server, now));
    if let Some(other) = other.filter(|other| !matches!(other, Step::Wait(_))) {
        return other;
    }
    let is_former_registered = state
        .recorded_former()
        .is_some_and(|former| state.is_registered(former));
    if state.former == Former::Known && is_former_registered && !recorded.is_eligible {
        Step::Demote
    } else {
        Step::Wait(wait)
    }
}

/// Decides for a group whose later records may be lost. The answers of a majority of its
/// servers show which one is the primary: the one that leads the highest term. If none
/// of them leads, an unreachable primary is replaced.
fn verify(state: &State<'_>, now: Uptime) -> Step {
    let candidates = state.candidates.iter();
    let answers = candidates.filter(|candidate| candidate.last.is_some());
    if answers.clone().count() * 2 <= state.candidates.len() {
        return Step::Wait(Wait::Answers);
    }
    let leading = answers.filter(|candidate| candidate.led_term.is_some());
    match leading.max_by_key(|candidate| candidate.led_term) {
        Some(primary) if primary.is_leaving => replace(state, &primary.server, now),
        Some(primary) => Step::Adopt(primary.server.clone()),
        None if state.is_unreachable => most_advanced(state, None, now),
        None => choose_if_leaderless(state, now),
    }
}

/// Decides for a group without a record. Its reported primary stays unless it is
/// leaving or unreachable. Without a primary, the server with the most advanced
/// log is chosen after [`LEADERLESS_TIMEOUT`].
fn adopt(state: &State<'_>, now: Uptime) -> Step {
    let primary = state
        .candidates
        .iter()
        .find(|candidate| candidate.is_primary);
    let Some(primary) = primary else {
        return choose_if_leaderless(state, now);
    };
    if primary.is_leaving || state.is_unreachable {
        return replace(state, &primary.server, now);
    }
    Step::Adopt(primary.server.clone())
}

fn choose_if_leaderless(state: &State<'_>, now: Uptime) -> Step {
    if state.is_leaderless_for(LEADERLESS_TIMEOUT, now) {
        most_advanced(state, None, now)
    } else {
        Step::Wait(Wait::Registration)
    }
}

/// Chooses a new primary in place of `former`.
///
/// A candidate that reports that it is the primary while another server is
/// recorded may have been replaced earlier. It is not chosen: it accepts writes in its
/// own term and would be used without being promoted. If there is no other one, it is
/// demoted first.
fn replace(state: &State<'_>, former: &ServerId, now: Uptime) -> Step {
    most_advanced(state, Some(former), now).or_else(|| retire(state, former))
}

/// Chooses a new primary in place of `former`, which is leaving and can be demoted. It is
/// a new server only if no candidate is eligible.
fn replace_leaving(state: &State<'_>, former: &ServerId, now: Uptime) -> Step {
    most_advanced(state, Some(former), now)
        .or_else(|| most_advanced_of(state, Some(former), now, |_| true))
        .or_else(|| retire(state, former))
}

/// Chooses a new primary in place of `former`, which is not registered. It is a new server
/// only if no candidate is eligible and the entry of `former` is not back for a while. A new
/// server is promoted once every node knows it.
fn replace_missing(state: &State<'_>, former: &ServerId, now: Uptime) -> Step {
    if let Some(resumed) = state.resumed() {
        return Step::Resume(resumed.clone());
    }
    let step = replace(state, former, now);
    let is_due = state
        .missing_since
        .is_some_and(|since| now >= since + LEADERLESS_TIMEOUT);
    if is_due {
        step.or_else(|| most_advanced_of(state, Some(former), now, |_| true))
    } else {
        step
    }
}

/// Chooses a new primary in place of the recorded server, which is a replica although it was
/// the primary. If there is no other one for a long time, it is promoted again.
fn replace_demoted(state: &State<'_>, recorded: &Candidate, now: Uptime) -> Step {
    let step = replace(state, &recorded.server, now);
    if state.is_leaderless_for(BRANCH_TIMEOUT, now) {
        step.or_else(|| most_advanced(state, None, now))
    } else {
        step
    }
}

/// Demotes the candidate with the most advanced log of those that lead in place of `former`.
fn retire(state: &State<'_>, former: &ServerId) -> Step {
    let leading = state.candidates.iter().filter(|candidate| {
        candidate.server != *former && candidate.is_primary && !candidate.is_leaving
    });
    let answering = leading.filter(|candidate| candidate.led_term.is_some());
    let is_current = matches!(state.record, Record::Current(..));
    let chosen = answering
        .filter(|_| is_current)
        .max_by_key(|candidate| (state.is_on_branch(candidate), candidate.last));
    chosen.map_or_else(
        || Step::Wait(missing(state, Some(former))),
        |candidate| Step::Retire(candidate.server.clone()),
    )
}

/// Chooses the eligible candidate with the most advanced log.
///
/// A log that left the primary's branch looks advanced, but to promote its server would
/// bring back entries that a handover dropped, after reads that did not see them.
fn most_advanced(state: &State<'_>, former: Option<&ServerId>, now: Uptime) -> Step {
    most_advanced_of(state, former, now, |candidate| candidate.is_eligible)
}

fn most_advanced_of(
    state: &State<'_>,
    former: Option<&ServerId>,
    now: Uptime,
    is_allowed: impl Fn(&Candidate) -> bool,
) -> Step {
    let is_any_branch_allowed = state.is_leaderless_for(BRANCH_TIMEOUT, now);
    let allowed = state
        .candidates
        .iter()
        .filter(|candidate| {
            Some(&candidate.server) != former && !candidate.is_leaving && !candidate.is_primary
        })
        .filter(|candidate| candidate.last.is_some() && is_allowed(candidate))
        .filter(|candidate| is_any_branch_allowed || state.is_on_branch(candidate));
    let chosen = allowed.max_by_key(|candidate| (state.is_on_branch(candidate), candidate.last));
    let Some(chosen) = chosen else {
        return Step::Wait(missing(state, former));
    };
    Step::Record(Choice {
        server: chosen.server.clone(),
        last: chosen.last,
        former: state.former_primary().cloned(),
    })
}

/// Returns what there has to be before a server can be chosen in place of `former`.
fn missing(state: &State<'_>, former: Option<&ServerId>) -> Wait {
    let mut others = state
        .candidates
        .iter()
        .filter(|candidate| Some(&candidate.server) != former && !candidate.is_leaving)
        .peekable();
    if others.peek().is_none() {
        return Wait::Server;
    }
    let mut answering = others.filter(|other| other.last.is_some()).peekable();
    if answering.peek().is_none() {
        return Wait::Answers;
    }
    if answering.any(|other| other.is_eligible && !other.is_primary) {
        Wait::Branch
    } else {
        Wait::Listing
    }
}
