//! A small world: three servers with logs, a platform, and two promoters that
//! can be paused or ended at any step.

mod language;
mod server;

use agateport_domain::group::promotion::{Claim, Effect, Event, Promotion, Step};
use agateport_domain::group::{Acknowledge, Ballot, Group};
use agateport_domain::prelude::*;
use server::{Entry, Server};

/// Names of the servers.
const NAMES: [&str; 3] = ["s1", "s2", "s3"];

/// Number of promoters.
const PROMOTERS: usize = 2;

/// One promoter: its attempt, and what it has asked for but not carried out.
#[derive(Debug, Default)]
struct Promoter {
    attempt: Option<Promotion>,
    asked: Vec<Effect>,
    attempted: Term,
    known: Term,
}

/// Everything that a case is made of.
#[derive(Debug)]
pub struct World {
    now: Instant,
    servers: BTreeMap<ServerId, Server>,
    promoters: Vec<Promoter>,
    claim: Option<Term>,
    is_platform_down: bool,
    loses_answers: bool,
    group: Group,
    written: Vec<(Watermark, u64)>,
    acknowledged: BTreeSet<u64>,
    next: u64,
    broken: Option<String>,
}

impl World {
    /// Creates a world in which `s1` is the primary.
    pub fn new(acknowledge: Acknowledge) -> Self {
        let names = NAMES.map(ServerId::from);
        let mut servers: BTreeMap<ServerId, Server> = names
            .iter()
            .cloned()
            .map(|name| (name, Server::replica("s1")))
            .collect();
        servers.insert("s1".into(), Server::primary());
        let group = Group::new(acknowledge, names).expect("there are servers");
        Self {
            now: Instant::now(),
            servers,
            promoters: (0..PROMOTERS).map(|_| Promoter::default()).collect(),
            claim: None,
            is_platform_down: false,
            loses_answers: false,
            group,
            written: Vec::new(),
            acknowledged: BTreeSet::new(),
            next: 1,
            broken: None,
        }
    }

    /// Returns the first promise that was broken.
    pub fn broken(&self) -> Option<String> {
        self.broken.clone()
    }

    /// Takes one random step.
    pub fn choose(&mut self, choice: u32) {
        let kind = choice % 32;
        let pick = (choice / 32) as usize;
        let server = ServerId::from(NAMES[pick % NAMES.len()]);
        let promoter = pick % PROMOTERS;
        let index = pick / 8;
        match kind {
            0..=4 => self.write(&server),
            5..=10 => self.replicate(&server),
            11..=14 => self.report(&server),
            15 => self.start(promoter),
            16..=22 => self.carry_out(promoter, index),
            23 => self.drop_effect(promoter, index),
            24 => self.expire(promoter),
            25 => self.end(promoter),
            26 => self.set_reachable(&server, false),
            27 | 28 => self.set_reachable(&server, true),
            29 => self.is_platform_down = !self.is_platform_down,
            30 => self.loses_answers = !self.loses_answers,
            _ => self.point(),
        }
        self.acknowledge();
        self.check();
    }

    /// Brings every server back and lets one last promotion finish.
    pub fn settle(&mut self) {
        for name in NAMES {
            self.set_reachable(&name.into(), true);
            self.report(&name.into());
        }
        self.loses_answers = false;
        self.end(0);
        // The first attempt may find a claim in its way.
        for _ in 0..2 {
            self.start(0);
            while !self.promoters[0].asked.is_empty() {
                self.carry_out(0, 0);
            }
        }
        for _ in 0..200 {
            for name in NAMES {
                self.replicate(&name.into());
            }
        }
        for name in NAMES {
            self.report(&name.into());
        }
        self.acknowledge();
        self.check();
        let logs: BTreeSet<Vec<Entry>> = self
            .servers
            .values()
            .map(|server| server.log.clone())
            .collect();
        if logs.len() != 1 {
            self.broken = Some(format!("the logs differ at the end: {logs:?}"));
        }
    }

    /// A caller's write at a server that takes itself for the primary.
    pub fn write(&mut self, name: &ServerId) {
        let value = self.next;
        let written = self
            .servers
            .get_mut(name)
            .and_then(|server| server.write(value));
        if let Some(place) = written {
            self.next += 1;
            self.written.push((place, value));
        }
    }

    /// A replica takes one entry of whom it follows, or cuts its log.
    pub fn replicate(&mut self, name: &ServerId) {
        let replica = self.servers[name].clone();
        let source = replica
            .follow
            .clone()
            .and_then(|source| self.servers.get(&source));
        if let Some(source) = source.filter(|source| source.is_reachable && replica.is_reachable) {
            let next = replica.replicated(source);
            self.servers.insert(name.clone(), next);
        }
    }

    /// The acknowledging owner asks a server for its status.
    pub fn report(&mut self, name: &ServerId) {
        let server = &self.servers[name];
        if server.is_reachable {
            self.group.record_status(name, server.status(), self.now);
        }
    }

    fn acknowledge(&mut self) {
        for (place, value) in &self.written {
            if self.group.is_acknowledged(*place) {
                self.acknowledged.insert(*value);
            }
        }
    }

    /// Every acknowledged write is in the log of the primary of the highest
    /// term, once.
    fn check(&mut self) {
        if let Some(primary) = self.reigning() {
            for value in &self.acknowledged {
                let copies = primary.log.iter().filter(|entry| entry.value == *value);
                let copies = copies.count();
                if copies != 1 {
                    self.broken = Some(format!("write {value} stands {copies} times"));
                    return;
                }
            }
        }
        let mut terms = BTreeSet::new();
        for server in self.servers.values().filter(|server| server.is_primary()) {
            if !terms.insert(server.term) {
                self.broken = Some(format!("two primaries share the term {}", server.term));
            }
        }
    }

    fn reigning(&self) -> Option<&Server> {
        let primaries = self.servers.values().filter(|server| server.is_primary());
        primaries.max_by_key(|server| server.term)
    }

    /// A promoter starts an attempt above all terms that it knows.
    pub fn start(&mut self, number: usize) {
        let promoter = &mut self.promoters[number];
        if promoter.attempt.is_some() {
            return;
        }
        let highest = self
            .group
            .highest_term()
            .max(promoter.attempted)
            .max(promoter.known);
        let term = Ballot::above(highest, number as u64 + 1).term();
        promoter.attempted = term;
        let names = NAMES.map(ServerId::from);
        let (attempt, asked) = Promotion::start(term, names, None, self.now);
        promoter.attempt = Some(attempt);
        promoter.asked = asked;
    }

    /// A promoter's process ends; what it had asked for is lost.
    pub fn end(&mut self, number: usize) {
        let attempted = self.promoters[number].attempted;
        self.promoters[number] = Promoter {
            attempted,
            ..Promoter::default()
        };
    }

    /// The current step of a promoter takes too long.
    pub fn expire(&mut self, number: usize) {
        let Some(attempt) = self.promoters[number].attempt.as_mut() else {
            return;
        };
        let late = attempt.deadline().unwrap_or(self.now);
        let effects = attempt.expire(late);
        self.promoters[number].asked.extend(effects);
        self.close(number);
    }

    /// An effect never reaches anybody.
    pub fn drop_effect(&mut self, number: usize, index: usize) {
        let asked = &mut self.promoters[number].asked;
        if !asked.is_empty() {
            let index = index % asked.len();
            asked.remove(index);
        }
    }

    /// One of a promoter's effects takes place, and its answer may be lost.
    pub fn carry_out(&mut self, number: usize, index: usize) {
        if self.promoters[number].asked.is_empty() {
            return;
        }
        let index = index % self.promoters[number].asked.len();
        let effect = self.promoters[number].asked.remove(index);
        let Some(event) = self.take_place(number, effect) else {
            return;
        };
        let is_claim = matches!(event, Event::Claimed(_));
        if self.loses_answers && !is_claim {
            return;
        }
        let now = self.now;
        let promoter = &mut self.promoters[number];
        if let Some(attempt) = promoter.attempt.as_mut() {
            let effects = attempt.handle(event, now);
            promoter.asked.extend(effects);
        }
        self.close(number);
    }

    /// Forgets an attempt that has ended, but not what it still asks for.
    fn close(&mut self, number: usize) {
        let promoter = &mut self.promoters[number];
        let step = promoter.attempt.as_ref().map(Promotion::step);
        if matches!(step, Some(Step::Done(_) | Step::Ended(_))) {
            promoter.attempt = None;
        }
    }

    fn take_place(&mut self, number: usize, effect: Effect) -> Option<Event> {
        match effect {
            Effect::Claim(term) => {
                // A promoter goes above a claim that stood in its way.
                let promoter = &mut self.promoters[number];
                promoter.known = promoter.known.max(self.claim.unwrap_or(0));
                Some(Event::Claimed(self.claim(term)))
            }
            Effect::Fence(name, term) => {
                let promoter = &mut self.promoters[number];
                let server = self.servers.get_mut(&name)?;
                promoter.known = promoter.known.max(server.term);
                Some(match server.fence(term) {
                    Some(status) => Event::Fenced(name, status),
                    None => Event::Failed(name),
                })
            }
            Effect::Promote(name, term) => {
                let server = self.servers.get_mut(&name)?;
                Some(match server.promote(term) {
                    Some(()) => Event::Promoted(name),
                    None => Event::Failed(name),
                })
            }
            Effect::Follow {
                server,
                primary,
                term,
            } => {
                self.servers.get_mut(&server)?.follow(&primary, term);
                None
            }
            Effect::Record(_, term) => {
                if !self.is_platform_down {
                    self.claim = self.claim.max(Some(term));
                }
                None
            }
        }
    }

    fn claim(&mut self, term: Term) -> Claim {
        if self.is_platform_down {
            return Claim::Unavailable;
        }
        if self.claim > Some(term) {
            return Claim::Held;
        }
        self.claim = Some(term);
        // A lost answer is settled by reading the own claim back.
        Claim::Taken
    }

    fn set_reachable(&mut self, name: &ServerId, is_reachable: bool) {
        if let Some(server) = self.servers.get_mut(name) {
            server.is_reachable = is_reachable;
        }
    }

    /// Strays that the owner knows of are pointed at the primary.
    fn point(&mut self) {
        for effect in self.group.realign(self.now) {
            self.take_place(0, effect);
        }
    }
}
