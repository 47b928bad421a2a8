//! Health of a group: whether it needs a new primary, and which servers have to
//! be redirected to the current one.

use super::promotion::Effect;
use super::{Acknowledge, Group, Outcome, Role};
use crate::id::{ServerId, Term};
use crate::session::Watermark;
use std::time::{Duration, Instant};

/// Time without an answer after which a primary that refuses connections is
/// considered down.
pub const REFUSAL_TIMEOUT: Duration = Duration::from_millis(150);

/// Time without an answer after which a primary that neither answers nor refuses
/// is considered down. A slow primary answers within this time.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(600);

/// Time that another promoter has to finish before this one takes over.
pub const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(1);

/// Age above which a server's report no longer shows that it is reachable.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);

/// Why a group needs a new primary.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Cause {
    /// The primary does not answer, or refuses connections.
    Silent,
    /// A majority of the servers reported, and none of them is the primary.
    NoPrimary,
    /// A server has a higher term than the primary.
    Superseded,
}

impl Cause {
    /// Returns the name used in metrics and messages.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::NoPrimary => "no_primary",
            Self::Superseded => "superseded",
        }
    }
}

impl Group {
    /// Returns why the group needs a new primary at `now`, if it does.
    ///
    /// Returns none while no majority of the servers is reachable: a promotion
    /// could not finish, and the servers that it fences would accept neither writes
    /// nor log entries.
    pub fn diagnose(&mut self, now: Instant) -> Option<Cause> {
        let current = self.cause(now);
        self.unhealthy = match (current, self.unhealthy) {
            (None, _) => None,
            (Some(cause), Some((known, since))) if known == cause => Some((known, since)),
            (Some(cause), _) => Some((cause, now)),
        };
        let (cause, since) = self.unhealthy?;
        let delay = match cause {
            Cause::Silent => Duration::ZERO,
            Cause::NoPrimary | Cause::Superseded => TAKEOVER_TIMEOUT,
        };
        let is_due = now.saturating_duration_since(since) >= delay;
        (is_due && self.has_majority(now)).then_some(cause)
    }

    /// Returns for how long the group has been unhealthy; none if it is healthy.
    #[must_use]
    pub fn unhealthy_for(&self, now: Instant) -> Option<Duration> {
        let (_, since) = self.unhealthy?;
        Some(now.saturating_duration_since(since))
    }

    /// Returns whether `server` left a query unanswered and its last answer is too
    /// old, or it has never answered. The age alone is not enough: this node itself
    /// may have been paused.
    #[must_use]
    pub fn is_silent(&self, server: &ServerId, now: Instant) -> bool {
        let Some(Some(report)) = self.reports.get(server) else {
            return true;
        };
        let silence = now.saturating_duration_since(report.as_of);
        match report.outcome {
            Outcome::Answer => false,
            Outcome::Refusal => silence >= REFUSAL_TIMEOUT,
            Outcome::Timeout => silence >= SILENCE_TIMEOUT,
        }
    }

    /// Returns whether the write at `written` can no longer be acknowledged
    /// because a majority of the servers has moved to a higher term.
    #[must_use]
    pub fn is_superseded(&self, written: Watermark) -> bool {
        let reports = self.reports.values().flatten();
        let higher = reports.filter(|report| report.status.term > written.term);
        self.acknowledge == Acknowledge::Majority && higher.count() > self.reports.len() / 2
    }

    /// Returns the effects that make misaligned servers follow the primary.
    ///
    /// A server of an older term, or one that was fenced by a promotion that never
    /// finished, follows no primary until it is ordered to.
    #[must_use]
    pub fn realign(&self, now: Instant) -> Vec<Effect> {
        let Some((primary, term)) = self.primary_with_term() else {
            return Vec::new();
        };
        if self.is_silent(primary, now) {
            return Vec::new();
        }
        let misaligned = self.reports.iter().filter(|(server, report)| {
            let Some(report) = report else {
                return false;
            };
            let status = report.status;
            let is_misaligned = status.term < term || status.role != Role::Replica;
            *server != primary
                && status.term <= term
                && is_misaligned
                && !self.is_silent(server, now)
        });
        misaligned
            .map(|(server, _)| Effect::Follow {
                server: server.clone(),
                primary: primary.clone(),
                term,
            })
            .collect()
    }

    /// Returns the highest term that any server reported.
    #[must_use]
    pub fn highest_term(&self) -> Term {
        let terms = self.reports.values().flatten();
        terms.map(|report| report.status.term).max().unwrap_or(0)
    }

    /// Returns the highest term in which a server reports that it is the primary;
    /// zero if none does.
    #[must_use]
    pub fn primary_term(&self) -> Term {
        self.primary_with_term().map_or(0, |(_, term)| term)
    }

    fn cause(&self, now: Instant) -> Option<Cause> {
        let Some((primary, term)) = self.primary_with_term() else {
            return self.has_majority(now).then_some(Cause::NoPrimary);
        };
        if self.is_silent(primary, now) {
            return Some(Cause::Silent);
        }
        (self.highest_term() > term).then_some(Cause::Superseded)
    }

    fn primary_with_term(&self) -> Option<(&ServerId, Term)> {
        let primary = self.reported_primary()?;
        let report = self.reports.get(primary)?.as_ref()?;
        Some((primary, report.status.term))
    }

    fn has_majority(&self, now: Instant) -> bool {
        let fresh = self.reports.values().flatten().filter(|report| {
            let age = now.saturating_duration_since(report.as_of);
            age < MAX_REPORT_AGE && report.outcome == Outcome::Answer
        });
        fresh.count() > self.reports.len() / 2
    }
}
