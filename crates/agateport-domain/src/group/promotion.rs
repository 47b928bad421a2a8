//! One attempt to give a group a new primary.
//!
//! The steps are claim, fence, promote, redirect the other servers, and record.
//! The fence makes the promotion safe: a majority of the servers no longer
//! accepts anything of an older term, so no write that the new primary lacks can
//! be acknowledged. The claim only keeps promoters from colliding, and the record
//! is written last.

use super::{Role, Status};
use crate::id::{ServerId, Term};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Time limit for the platform's answer to a claim.
///
/// After that the promotion continues and relies on the fence alone.
pub const CLAIM_TIMEOUT: Duration = Duration::from_millis(300);

/// Time limit for the servers' answers to a fence.
pub const FENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit for the chosen server to become the primary.
pub const PROMOTE_TIMEOUT: Duration = Duration::from_secs(1);

/// An action that a promotion requests.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Effect {
    /// Claim the group in the platform's table.
    Claim(Term),
    /// Fence a server at the new term.
    Fence(ServerId, Term),
    /// Make a server the primary.
    Promote(ServerId, Term),
    /// Make a server follow the primary.
    Follow {
        /// Server that receives the order.
        server: ServerId,
        /// Primary that the server must follow.
        primary: ServerId,
        /// Term of the primary.
        term: Term,
    },
    /// Record the new primary in the platform's table.
    Record(ServerId, Term),
}

/// Result of a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Claim {
    /// The promoter holds the claim for its term.
    Acquired,
    /// Another promoter holds a valid claim.
    Held,
    /// The platform gave no conclusive answer.
    Unavailable,
}

/// An event that a promotion handles.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The claim was answered.
    Claimed(Claim),
    /// A server accepted the new term and reported its status.
    Fenced(ServerId, Status),
    /// A server became the primary.
    Promoted(ServerId),
    /// A server refused an order or is unreachable.
    Failed(ServerId),
}

/// Why a promotion ended without a new primary.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Failure {
    /// Another promoter holds the claim.
    Claimed,
    /// No majority of the servers accepted the new term.
    NoMajority,
    /// The chosen server is not known to have become the primary.
    NotPromoted,
}

impl Failure {
    /// Returns the name used in metrics and messages.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Claimed => "claimed",
            Self::NoMajority => "no_majority",
            Self::NotPromoted => "not_promoted",
        }
    }
}

/// Current step of a promotion.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Waiting for the platform to answer the claim.
    Claiming,
    /// Waiting for a majority of the servers to accept the new term.
    Fencing,
    /// Waiting for the chosen server to become the primary.
    Promoting(ServerId),
    /// The group has a new primary.
    Done(ServerId),
    /// The promotion ended without a new primary.
    Ended(Failure),
}

/// One attempt to give a group a new primary.
#[derive(Clone, Debug)]
pub struct Promotion {
    term: Term,
    servers: BTreeSet<ServerId>,
    preferred: Option<ServerId>,
    fenced: BTreeMap<ServerId, Status>,
    failed: BTreeSet<ServerId>,
    step: Step,
    deadline: Instant,
}

impl Promotion {
    /// Starts an attempt in `term`, which this promoter must not have used before.
    ///
    /// `preferred` wins over servers whose logs end at the same watermark.
    pub fn start(
        term: Term,
        servers: impl IntoIterator<Item = ServerId>,
        preferred: Option<ServerId>,
        now: Instant,
    ) -> (Self, Vec<Effect>) {
        let promotion = Self {
            term,
            servers: servers.into_iter().collect(),
            preferred,
            fenced: BTreeMap::new(),
            failed: BTreeSet::new(),
            step: Step::Claiming,
            deadline: now + CLAIM_TIMEOUT,
        };
        (promotion, vec![Effect::Claim(term)])
    }

    /// Returns the current step.
    #[must_use]
    pub fn step(&self) -> &Step {
        &self.step
    }

    /// Returns the term of the attempt.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns when [`Promotion::expire`] is due; none once the attempt has ended.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        match self.step {
            Step::Claiming | Step::Fencing | Step::Promoting(_) => Some(self.deadline),
            Step::Done(_) | Step::Ended(_) => None,
        }
    }

    /// Handles an event and returns the effects to carry out. Events that the
    /// current step does not expect are ignored.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Effect> {
        match (&self.step, event) {
            (Step::Claiming, Event::Claimed(Claim::Held)) => self.fail(Failure::Claimed),
            (Step::Claiming, Event::Claimed(_)) => self.fence(now),
            (Step::Fencing, Event::Fenced(server, status)) => {
                self.record_fenced(server, status, now)
            }
            (Step::Fencing, Event::Failed(server)) => self.record_failure(server),
            (Step::Promoting(chosen), Event::Promoted(server)) if *chosen == server => {
                self.redirect_followers(server)
            }
            (Step::Promoting(chosen), Event::Failed(server)) if *chosen == server => {
                self.fail(Failure::NotPromoted)
            }
            _ => Vec::new(),
        }
    }

    /// Ends the current step if its time limit has passed, and returns the effects
    /// to carry out.
    pub fn expire(&mut self, now: Instant) -> Vec<Effect> {
        if now < self.deadline {
            return Vec::new();
        }
        match self.step {
            // The platform may be down for a long time; the fence is sufficient.
            Step::Claiming => self.fence(now),
            Step::Fencing => self.fail(Failure::NoMajority),
            Step::Promoting(_) => self.fail(Failure::NotPromoted),
            Step::Done(_) | Step::Ended(_) => Vec::new(),
        }
    }

    fn fence(&mut self, now: Instant) -> Vec<Effect> {
        self.step = Step::Fencing;
        self.deadline = now + FENCE_TIMEOUT;
        let effects = self.servers.iter().cloned();
        effects
            .map(|server| Effect::Fence(server, self.term))
            .collect()
    }

    fn record_fenced(&mut self, server: ServerId, status: Status, now: Instant) -> Vec<Effect> {
        let is_fenced = status.term == self.term && status.role == Role::Fenced;
        if !is_fenced || !self.servers.contains(&server) {
            return Vec::new();
        }
        self.fenced.insert(server, status);
        if self.fenced.len() <= self.servers.len() / 2 {
            return Vec::new();
        }
        let Some(chosen) = self.most_advanced() else {
            return Vec::new();
        };
        self.step = Step::Promoting(chosen.clone());
        self.deadline = now + PROMOTE_TIMEOUT;
        vec![Effect::Promote(chosen, self.term)]
    }

    /// Returns the fenced server with the most advanced log: by the term of its
    /// last entry, then by position. The term of the fence is the same for all.
    fn most_advanced(&self) -> Option<ServerId> {
        let ranked = self.fenced.iter().map(|(server, status)| {
            let is_preferred = Some(server) == self.preferred.as_ref();
            (status.last, is_preferred, server)
        });
        ranked.max().map(|(_, _, server)| server.clone())
    }

    fn record_failure(&mut self, server: ServerId) -> Vec<Effect> {
        self.failed.insert(server);
        let remaining = self.servers.len() - self.failed.len();
        if remaining <= self.servers.len() / 2 {
            return self.fail(Failure::NoMajority);
        }
        Vec::new()
    }

    fn redirect_followers(&mut self, primary: ServerId) -> Vec<Effect> {
        let others = self.servers.iter().filter(|server| **server != primary);
        let mut effects: Vec<_> = others
            .map(|server| Effect::Follow {
                server: server.clone(),
                primary: primary.clone(),
                term: self.term,
            })
            .collect();
        effects.push(Effect::Record(primary.clone(), self.term));
        self.step = Step::Done(primary);
        effects
    }

    fn fail(&mut self, failure: Failure) -> Vec<Effect> {
        self.step = Step::Ended(failure);
        Vec::new()
    }
}
