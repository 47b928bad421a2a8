//! One attempt to give a group a new primary.
//!
//! The steps: claim, fence, promote, point the others, record. The fence makes
//! it safe: a majority of the servers takes nothing of an older term any more,
//! so nothing that the new primary lacks can be acknowledged. The claim only
//! keeps promoters from colliding, and the record follows.

use super::{Role, Status};
use crate::id::{ServerId, Term};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Time that the platform has to answer a claim.
///
/// After that the fence alone decides.
pub const CLAIM_TIMEOUT: Duration = Duration::from_millis(300);

/// Time that the servers have to answer a fence.
pub const FENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time that a server has to become the primary.
pub const PROMOTE_TIMEOUT: Duration = Duration::from_secs(1);

/// Something that a promotion asks for.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Effect {
    /// Claim the group in the platform's table.
    Claim(Term),
    /// Tell a server the new term.
    Fence(ServerId, Term),
    /// Make a server the primary.
    Promote(ServerId, Term),
    /// Make a server follow the primary.
    Follow {
        /// Server that is to follow.
        server: ServerId,
        /// Primary that it is to follow.
        primary: ServerId,
        /// Term of the primary.
        term: Term,
    },
    /// Record the new primary in the platform's table.
    Record(ServerId, Term),
}

/// What became of a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Claim {
    /// The group is claimed for this term.
    Taken,
    /// Another promoter holds a claim that still counts.
    Held,
    /// The platform gave no answer that settles it.
    Unavailable,
}

/// Something that a promotion is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// What became of the claim.
    Claimed(Claim),
    /// A server took the new term on, and said where its log ends.
    Fenced(ServerId, Status),
    /// A server became the primary.
    Promoted(ServerId),
    /// A server refused or can't be reached.
    Failed(ServerId),
}

/// Why a promotion ended without a new primary.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Failure {
    /// Another promoter holds the claim.
    Claimed,
    /// No majority of the servers took the new term on.
    NoMajority,
    /// The chosen server did not become the primary, as far as is known.
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

/// How far a promotion has come.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// It waits for the platform.
    Claiming,
    /// It waits for a majority of the servers.
    Fencing,
    /// It waits for the chosen server.
    Promoting(ServerId),
    /// The group has a new primary.
    Done(ServerId),
    /// It has ended without one.
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
    /// Starts an attempt in `term`, which this promoter has never used before.
    ///
    /// `preferred` wins over servers whose logs end at the same place.
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

    /// Returns how far it has come.
    #[must_use]
    pub fn step(&self) -> &Step {
        &self.step
    }

    /// Returns the term of the attempt.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns when [`Promotion::expire`] is due; none once it has ended.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        match self.step {
            Step::Claiming | Step::Fencing | Step::Promoting(_) => Some(self.deadline),
            Step::Done(_) | Step::Ended(_) => None,
        }
    }

    /// Takes in what happened; events that aren't due change nothing.
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

    /// Takes in that the time of the current step may be over.
    pub fn expire(&mut self, now: Instant) -> Vec<Effect> {
        if now < self.deadline {
            return Vec::new();
        }
        match self.step {
            // The platform may be down for long: the fence is enough.
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

    /// Returns the server whose log goes furthest: by the term of its last
    /// entry, then by position. The term of the fence itself says nothing.
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
