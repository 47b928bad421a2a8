//! A simulated group: three servers with logs, a platform, and two promoters that
//! can pause or crash at any step.

mod commands;
mod server;

use agateport_domain::group::promotion::{Claim, Effect, Event, Promotion, Step};
use agateport_domain::group::{Acknowledge, Ballot, Group};
use agateport_domain::prelude::*;
use server::{Entry, Server};

/// Names of the servers.
const SERVERS: [&str; 3] = ["s1", "s2", "s3"];

/// Number of competing promoters.
const PROMOTERS: usize = 2;

/// One promoter, its current attempt and the effects still to be carried out.
#[derive(Debug, Default)]
struct Promoter {
    attempt: Option<Promotion>,
    pending: Vec<Effect>,
    attempted: Term,
    highest_seen: Term,
}

/// State of one test case.
#[derive(Debug)]
pub struct Simulation {
    now: Instant,
    servers: BTreeMap<ServerId, Server>,
    promoters: Vec<Promoter>,
    claim: Option<Term>,
    is_platform_down: bool,
    drops_answers: bool,
    group: Group,
    written: Vec<(Watermark, u64)>,
    acknowledged: BTreeSet<u64>,
    next_value: u64,
    violation: Option<String>,
}

impl Simulation {
    /// Creates a simulation in which `s1` is the primary.
    pub fn new(acknowledge: Acknowledge) -> Self {
        let names = SERVERS.map(ServerId::from);
        let mut servers: BTreeMap<ServerId, Server> = names
            .iter()
            .cloned()
            .map(|name| (name, Server::replica("s1")))
            .collect();
        servers.insert("s1".into(), Server::primary());
        let group = Group::new(acknowledge, names).expect("the group has servers");
        Self {
            now: Instant::now(),
            servers,
            promoters: (0..PROMOTERS).map(|_| Promoter::default()).collect(),
            claim: None,
            is_platform_down: false,
            drops_answers: false,
            group,
            written: Vec::new(),
            acknowledged: BTreeSet::new(),
            next_value: 1,
            violation: None,
        }
    }

    /// Returns the invariant violation that was found, if any.
    pub fn violation(&self) -> Option<String> {
        self.violation.clone()
    }

    /// Executes the step that a random number selects.
    pub fn random_step(&mut self, choice: u32) {
        let kind = choice % 32;
        let target = (choice / 32) as usize;
        let server = ServerId::from(SERVERS[target % SERVERS.len()]);
        let promoter = target % PROMOTERS;
        let index = target / 8;
        match kind {
            0..=4 => self.write(&server),
            5..=10 => self.replicate(&server),
            11..=14 => self.report(&server),
            15 => self.start(promoter),
            16..=22 => self.execute(promoter, index),
            23 => self.drop_effect(promoter, index),
            24 => self.expire(promoter),
            25 => self.crash(promoter),
            26 => self.set_reachable(&server, false),
            27 | 28 => self.set_reachable(&server, true),
            29 => self.is_platform_down = !self.is_platform_down,
            30 => self.drops_answers = !self.drops_answers,
            _ => self.realign(),
        }
        self.acknowledge();
        self.check();
    }

    /// Reconnects all servers, finishes one last promotion and replicates all logs.
    pub fn settle(&mut self) {
        for name in SERVERS {
            self.set_reachable(&name.into(), true);
            self.report(&name.into());
        }
        self.drops_answers = false;
        self.crash(0);
        // The first attempt may be refused because of an earlier claim.
        for _ in 0..2 {
            self.start(0);
            while !self.promoters[0].pending.is_empty() {
                self.execute(0, 0);
            }
        }
        for _ in 0..200 {
            for name in SERVERS {
                self.replicate(&name.into());
            }
        }
        for name in SERVERS {
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
            self.violation = Some(format!("the logs differ at the end: {logs:?}"));
        }
    }

    /// Sends a caller's write to a server, which accepts it if it is a primary.
    pub fn write(&mut self, name: &ServerId) {
        let value = self.next_value;
        let written = self
            .servers
            .get_mut(name)
            .and_then(|server| server.write(value));
        if let Some(watermark) = written {
            self.next_value += 1;
            self.written.push((watermark, value));
        }
    }

    /// Makes a replica copy one entry from the server that it follows, or truncate
    /// its own log.
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

    /// Queries a server's status on behalf of the owner that acknowledges writes.
    pub fn report(&mut self, name: &ServerId) {
        let server = &self.servers[name];
        if server.is_reachable {
            self.group.record_status(name, server.status(), self.now);
        }
    }

    fn acknowledge(&mut self) {
        for (watermark, value) in &self.written {
            if self.group.is_acknowledged(*watermark) {
                self.acknowledged.insert(*value);
            }
        }
    }

    /// Checks that the primary with the highest term has every acknowledged write
    /// exactly once, and that no two primaries share a term.
    fn check(&mut self) {
        if let Some(primary) = self.current_primary() {
            for value in &self.acknowledged {
                let copies = primary.log.iter().filter(|entry| entry.value == *value);
                let copies = copies.count();
                if copies != 1 {
                    self.violation = Some(format!(
                        "the primary's log holds write {value} {copies} times"
                    ));
                    return;
                }
            }
        }
        let mut terms = BTreeSet::new();
        for server in self.servers.values().filter(|server| server.is_primary()) {
            if !terms.insert(server.term) {
                self.violation = Some(format!("two primaries share the term {}", server.term));
            }
        }
    }

    fn current_primary(&self) -> Option<&Server> {
        let primaries = self.servers.values().filter(|server| server.is_primary());
        primaries.max_by_key(|server| server.term)
    }

    /// Starts an attempt of a promoter in a term above the highest one that it has
    /// seen.
    pub fn start(&mut self, number: usize) {
        let promoter = &mut self.promoters[number];
        if promoter.attempt.is_some() {
            return;
        }
        let highest = self
            .group
            .highest_term()
            .max(promoter.attempted)
            .max(promoter.highest_seen);
        let term = Ballot::above(highest, number as u64 + 1).term();
        promoter.attempted = term;
        let names = SERVERS.map(ServerId::from);
        let (attempt, pending) = Promotion::start(term, names, None, self.now);
        promoter.attempt = Some(attempt);
        promoter.pending = pending;
    }

    /// Crashes a promoter; its pending effects are lost.
    pub fn crash(&mut self, number: usize) {
        let attempted = self.promoters[number].attempted;
        self.promoters[number] = Promoter {
            attempted,
            ..Promoter::default()
        };
    }

    /// Ends a promoter's current step as if its time limit had passed.
    pub fn expire(&mut self, number: usize) {
        let Some(attempt) = self.promoters[number].attempt.as_mut() else {
            return;
        };
        let late = attempt.deadline().unwrap_or(self.now);
        let effects = attempt.expire(late);
        self.promoters[number].pending.extend(effects);
        self.close_attempt(number);
    }

    /// Drops one of a promoter's pending effects.
    pub fn drop_effect(&mut self, number: usize, index: usize) {
        let pending = &mut self.promoters[number].pending;
        if !pending.is_empty() {
            let index = index % pending.len();
            pending.remove(index);
        }
    }

    /// Carries out one of a promoter's pending effects; its answer may be lost.
    pub fn execute(&mut self, number: usize, index: usize) {
        if self.promoters[number].pending.is_empty() {
            return;
        }
        let index = index % self.promoters[number].pending.len();
        let effect = self.promoters[number].pending.remove(index);
        let Some(event) = self.apply(number, effect) else {
            return;
        };
        let is_claim = matches!(event, Event::Claimed(_));
        if self.drops_answers && !is_claim {
            return;
        }
        let now = self.now;
        let promoter = &mut self.promoters[number];
        if let Some(attempt) = promoter.attempt.as_mut() {
            let effects = attempt.handle(event, now);
            promoter.pending.extend(effects);
        }
        self.close_attempt(number);
    }

    /// Drops an attempt that has ended, but keeps its pending effects.
    fn close_attempt(&mut self, number: usize) {
        let promoter = &mut self.promoters[number];
        let step = promoter.attempt.as_ref().map(Promotion::step);
        if matches!(step, Some(Step::Done(_) | Step::Ended(_))) {
            promoter.attempt = None;
        }
    }

    fn apply(&mut self, number: usize, effect: Effect) -> Option<Event> {
        match effect {
            Effect::Claim(term) => {
                // The next attempt uses a term above the one that is claimed.
                let promoter = &mut self.promoters[number];
                promoter.highest_seen = promoter.highest_seen.max(self.claim.unwrap_or(0));
                Some(Event::Claimed(self.claim(term)))
            }
            Effect::Fence(name, term) => {
                let promoter = &mut self.promoters[number];
                let server = self.servers.get_mut(&name)?;
                promoter.highest_seen = promoter.highest_seen.max(server.term);
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
        // `execute` never drops the answer to a claim: a promoter that receives none
        // reads its own claim back.
        Claim::Acquired
    }

    fn set_reachable(&mut self, name: &ServerId, is_reachable: bool) {
        if let Some(server) = self.servers.get_mut(name) {
            server.is_reachable = is_reachable;
        }
    }

    /// Makes the misaligned servers in the owner's reports follow the primary.
    fn realign(&mut self) {
        for effect in self.group.realign(self.now) {
            self.apply(0, effect);
        }
    }
}
