//! What is wrong with a group, and what mends it.

use super::promotion::Effect;
use super::{Group, Role};
use crate::id::{ServerId, Term};
use std::time::{Duration, Instant};

/// Silence of a primary whose connections are refused.
pub const REFUSED_SILENCE: Duration = Duration::from_millis(150);

/// Silence of a primary that neither answers nor refuses; a slow one answers
/// within this time.
pub const SILENCE: Duration = Duration::from_millis(800);

/// Time that another promoter has to finish before its work is taken over.
pub const TAKEOVER: Duration = Duration::from_secs(1);

/// Age over which a server's report doesn't count as reachable.
const FRESH: Duration = Duration::from_secs(1);

/// Why a group needs a new primary.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Cause {
    /// The primary can't be reached.
    Silent,
    /// A majority was heard of, and none of it is the primary.
    NoPrimary,
    /// A server has been told a higher term than the primary's.
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
    /// Nothing is wrong as long as no majority of the other servers can be
    /// reached: a fence could only do harm.
    pub fn diagnose(&mut self, now: Instant) -> Option<Cause> {
        let seen = self.cause(now);
        self.trouble = match (seen, self.trouble) {
            (None, _) => None,
            (Some(cause), Some((known, since))) if known == cause => Some((known, since)),
            (Some(cause), _) => Some((cause, now)),
        };
        let (cause, since) = self.trouble?;
        let patience = match cause {
            Cause::Silent => Duration::ZERO,
            Cause::NoPrimary | Cause::Superseded => TAKEOVER,
        };
        let is_due = now.saturating_duration_since(since) >= patience;
        (is_due && self.has_majority(now)).then_some(cause)
    }

    /// Returns for how long the group has been in trouble.
    #[must_use]
    pub fn trouble(&self, now: Instant) -> Option<Duration> {
        let (_, since) = self.trouble?;
        Some(now.saturating_duration_since(since))
    }

    /// Tells whether `server` hasn't been heard for too long.
    #[must_use]
    pub fn is_silent(&self, server: &ServerId, now: Instant) -> bool {
        let Some(Some(report)) = self.reports.get(server) else {
            return true;
        };
        let silence = now.saturating_duration_since(report.heard);
        let limit = if report.is_refused {
            REFUSED_SILENCE
        } else {
            SILENCE
        };
        silence >= limit
    }

    /// Returns what points stray servers at the primary.
    ///
    /// A server of an older term, or one that was fenced and then left alone,
    /// follows nobody until it is told to.
    #[must_use]
    pub fn strays(&self, now: Instant) -> Vec<Effect> {
        let Some((primary, term)) = self.reigning() else {
            return Vec::new();
        };
        if self.is_silent(primary, now) {
            return Vec::new();
        }
        let strays = self.reports.iter().filter(|(server, report)| {
            let Some(report) = report else {
                return false;
            };
            let status = report.status;
            let is_stray = status.term < term || status.role != Role::Replica;
            *server != primary && status.term <= term && is_stray && !self.is_silent(server, now)
        });
        strays
            .map(|(server, _)| Effect::Follow {
                server: server.clone(),
                primary: primary.clone(),
                term,
            })
            .collect()
    }

    /// Returns the highest term that any server was told.
    #[must_use]
    pub fn highest_term(&self) -> Term {
        let terms = self.reports.values().flatten();
        terms.map(|report| report.status.term).max().unwrap_or(0)
    }

    /// Returns the term of the last primary heard of; zero if there is none.
    #[must_use]
    pub fn reigning_term(&self) -> Term {
        self.reigning().map_or(0, |(_, term)| term)
    }

    fn cause(&self, now: Instant) -> Option<Cause> {
        let Some((primary, term)) = self.reigning() else {
            return self.has_majority(now).then_some(Cause::NoPrimary);
        };
        if self.is_silent(primary, now) {
            return Some(Cause::Silent);
        }
        (self.highest_term() > term).then_some(Cause::Superseded)
    }

    fn reigning(&self) -> Option<(&ServerId, Term)> {
        let primary = self.reported_primary()?;
        let report = self.reports.get(primary)?.as_ref()?;
        Some((primary, report.status.term))
    }

    fn has_majority(&self, now: Instant) -> bool {
        let fresh = self.reports.values().flatten().filter(|report| {
            let age = now.saturating_duration_since(report.heard);
            age < FRESH && !report.is_refused
        });
        fresh.count() > self.reports.len() / 2
    }
}
