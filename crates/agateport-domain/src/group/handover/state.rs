//! What the coordinator knows of a group when it decides the next step of a handover.

use crate::group::leadership::Leadership;
use crate::id::{ServerId, Term, Uptime};
use crate::session::Watermark;
use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::time::Duration;

/// A server that may become its group's primary, with its state as known to one
/// node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Name of the server.
    pub server: ServerId,
    /// Watermark of its last log entry, if it answered.
    pub last: Option<Watermark>,
    /// Whether it reports that it is the primary.
    pub is_primary: bool,
    /// Term in which it answered that it is the primary.
    pub led_term: Option<Term>,
    /// Whether it is about to leave the group.
    pub is_leaving: bool,
    /// Whether every node that may confirm another primary queries it.
    pub is_eligible: bool,
}

/// What the store says about a group's primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Record<'a> {
    /// There is no record.
    Absent,
    /// The latest record, and when this node first read it.
    Current(&'a Leadership, Uptime),
    /// The store was restored from a copy since the record was written, so later ones
    /// may be lost.
    Outdated,
}

/// What the coordinator knows of the former primary in a handover.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Former {
    /// It is not known which server may still accept writes.
    #[default]
    Unknown,
    /// The server is known, but has not confirmed its demotion.
    Known,
    /// The server has confirmed that it accepts no more writes.
    Demoted,
}

/// State of a group as known to the coordinator.
#[derive(Clone, Debug)]
pub struct State<'a> {
    /// The stored record.
    pub record: Record<'a>,
    /// Registered servers of the group.
    pub candidates: &'a [Candidate],
    /// Base of the recorded primary, if it is known and the candidates' watermarks were
    /// queried for this decision.
    pub base: Option<Watermark>,
    /// Term of the recorded primary, if it is known.
    pub term: Option<Term>,
    /// Since when no server reports that it is the primary, if none does.
    pub leaderless_since: Option<Uptime>,
    /// Since when the recorded server is not registered while another server of the group is,
    /// if that is so.
    pub missing_since: Option<Uptime>,
    /// Whether a quorum of nodes cannot reach the primary.
    pub is_unreachable: bool,
    /// Servers that led after the record was written, although it names another one. While it
    /// is not settled, they show that the recorded server has replaced no primary.
    pub leading: &'a BTreeSet<ServerId>,
    /// What is known of the former primary.
    pub former: Former,
    /// Whether every node has accepted the record and stopped using the former
    /// primary.
    pub is_released: bool,
    /// When the last order to promote was sent under this record.
    pub ordered_at: Option<Uptime>,
    /// Whether the record lists other servers than it should.
    pub is_roster_due: bool,
}

impl State<'_> {
    /// Returns whether the log of a candidate holds only entries that the recorded primary's
    /// log holds, as far as the base shows it.
    pub(super) fn is_on_branch(&self, candidate: &Candidate) -> bool {
        let (Some(base), Some(last)) = (self.base, candidate.last) else {
            return true;
        };
        if !self.has_led() && self.leading.contains(&candidate.server) {
            return true;
        }
        match last.term.cmp(&base.term) {
            Ordering::Less => false,
            Ordering::Equal => last <= base,
            Ordering::Greater => self.term.is_none_or(|term| last.term >= term),
        }
    }

    /// Returns the server whose demotion shows that no server accepts writes any more; none
    /// if it is not known which one may.
    pub(super) fn former_primary(&self) -> Option<&ServerId> {
        let candidates = self.candidates.iter();
        let mut reported = candidates
            .filter(|candidate| candidate.is_primary)
            .map(|candidate| &candidate.server);
        match self.record {
            Record::Absent => reported.next().filter(|_| reported.next().is_none()),
            // While a promotion is in progress, the primary before it may still lead.
            Record::Current(leadership, _) => {
                let primary = &leadership.primary;
                let has_led = leadership.is_settled || reported.any(|server| server == primary);
                has_led.then_some(primary)
            }
            Record::Outdated => None,
        }
    }

    /// Returns the server that leads in the term of the recorded primary, if the record is
    /// settled. A term is led by one server only, so the recorded one has ended and was started
    /// again under this name with its log.
    pub(super) fn resumed(&self) -> Option<&ServerId> {
        let term = self.term.filter(|_| self.has_led())?;
        let mut candidates = self.candidates.iter();
        let resumed = candidates.find(|candidate| {
            candidate.led_term == Some(term)
                && !candidate.is_leaving
                && self.is_on_branch(candidate)
        });
        resumed.map(|candidate| &candidate.server)
    }

    /// Returns the server that the record names as the former primary.
    pub(super) fn recorded_former(&self) -> Option<&ServerId> {
        match self.record {
            Record::Current(leadership, _) => leadership.former.as_ref(),
            _ => None,
        }
    }

    pub(super) fn is_registered(&self, server: &ServerId) -> bool {
        let mut candidates = self.candidates.iter();
        candidates.any(|candidate| candidate.server == *server)
    }

    /// Returns whether the recorded server is known to have been the primary.
    pub(super) fn has_led(&self) -> bool {
        matches!(self.record, Record::Current(leadership, _) if leadership.is_settled)
    }

    pub(super) fn is_leaderless_for(&self, duration: Duration, now: Uptime) -> bool {
        self.leaderless_since
            .is_some_and(|since| now >= since + duration)
    }
}
