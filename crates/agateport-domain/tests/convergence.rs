//! Every state of a group's record and servers leads to a settled primary.

use agateport_domain::group::handover::{Candidate, Former, Record, State, Step, decide};
use agateport_domain::group::roster::{Standing, Tenure};
use agateport_domain::group::{Leadership, Roster};
use agateport_domain::prelude::*;
use std::fmt::Write;

/// Interval between two decisions of the coordinator.
const INTERVAL: Duration = Duration::from_millis(100);

/// Duration of a promotion.
const PROMOTION_TIME: Duration = Duration::from_secs(1);

/// Time within which a group must have a settled primary: the longest waits of a handover,
/// for new servers and for a server on the branch, one after the other, and a promotion.
const LIMIT: Duration = Duration::from_secs(20);

/// Name of the recorded server.
const RECORDED: &str = "a";

/// Name of the server that was the primary before, if it is registered under its own name.
const FORMER: &str = "p";

const BEGIN: Uptime = Duration::from_secs(100);

fn watermark(term: Term, position: Position) -> Watermark {
    Watermark { term, position }
}

/// What the store says about the group's primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stored {
    Absent,
    Outdated,
    Settled,
    Unsettled,
}

/// State of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Role {
    /// It leads the term before that of the recorded server.
    LeadsEarlier,
    /// It leads the term of the recorded server, under another name.
    Leads,
    /// It has the whole log of the recorded server.
    Replica,
    /// It has entries that the handover to the recorded server dropped.
    OffBranch,
}

/// Server of the group that is not the recorded one.
#[derive(Clone, Copy, Debug)]
struct Other {
    role: Role,
    standing: Option<Standing>,
}

#[derive(Clone, Debug)]
struct Server {
    is_primary: bool,
    term: Term,
    last: Watermark,
}

/// A group whose servers are all registered and reachable, and its coordinator.
#[derive(Debug)]
struct World {
    now: Uptime,
    stored: Stored,
    record: Leadership,
    first_seen: Uptime,
    servers: BTreeMap<ServerId, Server>,
    tenure: Tenure,
    leaderless_since: Option<Uptime>,
    missing_since: Option<Uptime>,
    leading: BTreeSet<ServerId>,
    ordered: Option<(ServerId, Uptime)>,
    is_former_demoted: bool,
    /// Whether all nodes accept each record at once.
    has_acceptances: bool,
    steps: Vec<String>,
}

impl World {
    fn new(
        stored: Stored,
        recorded: Option<Role>,
        others: &[Other],
        has_acceptances: bool,
    ) -> Self {
        let is_settled = stored != Stored::Unsettled;
        let server = |role: Role| match role {
            Role::LeadsEarlier => (true, 1, watermark(1, 45)),
            Role::Leads => (true, 2, watermark(2, 60)),
            Role::Replica if is_settled => (false, 2, watermark(2, 60)),
            Role::Replica => (false, 1, watermark(1, 40)),
            Role::OffBranch => (false, 1, watermark(1, 45)),
        };
        let listed = ["b", "c"].into_iter().zip(others);
        let registered = listed.clone().map(|(name, other)| (name, other.role));
        let recorded_role = recorded.map(|role| (RECORDED, role));
        let servers = registered.chain(recorded_role).map(|(name, role)| {
            let (is_primary, term, last) = server(role);
            (
                name.into(),
                Server {
                    is_primary,
                    term,
                    last,
                },
            )
        });
        let roster = listed.filter_map(|(name, other)| Some((name.into(), other.standing?)));
        let eligible = [RECORDED, FORMER].map(|name| (name.into(), Standing::Eligible));
        Self {
            now: BEGIN,
            stored,
            record: Leadership {
                primary: RECORDED.into(),
                fence: 1,
                is_settled,
                roster: roster.chain(eligible).collect(),
                base: Some(watermark(1, 40)),
                term: is_settled.then_some(2),
                former: (!is_settled).then(|| FORMER.into()),
                succession: 1,
            },
            first_seen: BEGIN,
            servers: servers.collect(),
            tenure: Tenure::default(),
            leaderless_since: None,
            missing_since: None,
            leading: BTreeSet::new(),
            ordered: None,
            is_former_demoted: false,
            has_acceptances,
            steps: Vec::new(),
        }
    }

    fn usable(&self) -> BTreeSet<ServerId> {
        self.servers.keys().cloned().collect()
    }

    fn next_roster(&self, primary: &ServerId) -> Roster {
        let (roster, usable) = (self.listed(), self.usable());
        self.tenure.next(&roster, &usable, primary, self.now)
    }

    /// Returns the roster of the record. An outdated one counts as if it also listed every
    /// other server as new.
    fn listed(&self) -> Roster {
        let roster = &self.record.roster;
        let servers = roster.servers().cloned();
        let usable = self.usable().into_iter();
        let all = servers.chain(usable.filter(|_| self.stored == Stored::Outdated));
        let standing = |server: &ServerId| match roster.standing(server) {
            None if self.stored == Stored::Outdated => Some(Standing::New),
            standing => standing,
        };
        all.filter_map(|server| Some((server.clone(), standing(&server)?)))
            .collect()
    }

    fn decide(&self) -> Step {
        let is_current = matches!(self.stored, Stored::Settled | Stored::Unsettled);
        let candidates = self.servers.iter().map(|(name, server)| Candidate {
            server: name.clone(),
            last: Some(server.last),
            is_primary: server.is_primary,
            led_term: server.is_primary.then_some(server.term),
            is_leaving: false,
            is_eligible: self.stored == Stored::Absent
                || self.tenure.is_eligible(&self.listed(), name, self.now),
        });
        let candidates: Vec<_> = candidates.collect();
        let former = match &self.record.former {
            Some(_) if self.is_former_demoted => Former::Demoted,
            Some(_) => Former::Known,
            None => Former::Unknown,
        };
        let ordered = self.ordered.as_ref();
        let state = State {
            record: match self.stored {
                Stored::Absent => Record::Absent,
                Stored::Outdated => Record::Outdated,
                _ => Record::Current(&self.record, self.first_seen),
            },
            candidates: &candidates,
            base: self.record.base.filter(|_| is_current),
            term: self.record.term.filter(|_| is_current),
            leaderless_since: self.leaderless_since,
            missing_since: self.missing_since,
            leading: &self.leading,
            is_unreachable: false,
            former,
            is_released: self.has_acceptances,
            ordered_at: ordered.map(|(_, at)| *at),
            is_roster_due: is_current
                && self.next_roster(&self.record.primary) != self.record.roster,
        };
        decide(&state, self.now)
    }

    /// Executes the coordinator's next step, and returns whether there was one.
    fn advance(&mut self) -> bool {
        self.promote_ordered();
        let has_leader = self.servers.values().any(|server| server.is_primary);
        let is_missing = !self.servers.contains_key(&self.record.primary);
        let now = self.now;
        let track = |since: Option<Uptime>, holds: bool| holds.then(|| since.unwrap_or(now));
        self.leaderless_since = track(self.leaderless_since, !has_leader);
        self.missing_since = track(self.missing_since, is_missing);
        let (listed, usable) = (self.listed(), self.usable());
        self.tenure.observe(Some(1), &listed, &usable, now);
        let step = self.decide();
        let text = match &step {
            Step::Wait(_) => return false,
            Step::Record(choice) => format!("Record({})", choice.server),
            step => format!("{step:?}").replace('"', ""),
        };
        if self.steps.last() != Some(&text) {
            self.steps.push(text);
        }
        self.execute(step);
        true
    }

    fn execute(&mut self, step: Step) {
        match step {
            Step::Wait(_) => {}
            Step::Adopt(server) => self.settle(server),
            Step::Resume(server) => {
                let roster = self.next_roster(&server);
                self.write(Leadership {
                    primary: server,
                    roster,
                    succession: self.record.succession + 1,
                    ..self.record.clone()
                });
            }
            Step::Settle => self.settle(self.record.primary.clone()),
            Step::Enroll => self.record.roster = self.next_roster(&self.record.primary),
            Step::Demote => self.demote_former(),
            Step::Retire(server) => {
                self.demote(&server);
                self.leading.insert(server);
            }
            Step::Promote(server) => self.ordered = Some((server, self.now)),
            Step::Record(choice) => {
                let roster = self.next_roster(&choice.server);
                self.write(Leadership {
                    primary: choice.server,
                    is_settled: false,
                    roster,
                    base: choice.last,
                    term: None,
                    former: choice.former,
                    succession: self.record.succession + 1,
                    ..self.record.clone()
                });
                self.demote_former();
            }
        }
    }

    fn settle(&mut self, primary: ServerId) {
        let is_same = self.record.primary == primary && self.stored != Stored::Absent;
        let roster = self.next_roster(&primary);
        let term = self.servers[&primary].term;
        self.write(Leadership {
            is_settled: true,
            roster,
            base: self.record.base.filter(|_| is_same),
            term: Some(term),
            former: None,
            succession: self.record.succession + u64::from(!is_same),
            primary,
            ..self.record.clone()
        });
    }

    fn write(&mut self, record: Leadership) {
        if record.reign() != self.record.reign() {
            self.first_seen = self.now;
            self.ordered = None;
            self.is_former_demoted = false;
            self.missing_since = None;
            self.leading.clear();
        }
        self.stored = if record.is_settled {
            Stored::Settled
        } else {
            Stored::Unsettled
        };
        self.record = record;
    }

    fn demote_former(&mut self) {
        if let Some(former) = self.record.former.clone()
            && self.servers.contains_key(&former)
        {
            self.demote(&former);
            self.is_former_demoted = true;
        }
    }

    fn demote(&mut self, server: &ServerId) {
        let server = self.servers.get_mut(server).expect("it is registered");
        server.is_primary = false;
    }

    /// Lets the last order take effect.
    fn promote_ordered(&mut self) {
        let due = self.ordered.clone();
        let Some((name, _)) = due.filter(|(_, at)| self.now >= *at + PROMOTION_TIME) else {
            return;
        };
        let newest = self.servers.values().map(|server| server.term).max();
        for (other, server) in &mut self.servers {
            server.is_primary = *other == name;
        }
        let server = self.servers.get_mut(&name).expect("it is registered");
        if server.last.term <= server.term {
            server.term = newest.unwrap_or_default() + 1;
        }
        self.ordered = None;
    }

    fn is_settled(&self) -> bool {
        let recorded = self.servers.get(&self.record.primary);
        self.stored == Stored::Settled && recorded.is_some_and(|server| server.is_primary)
    }

    /// Lets the coordinator decide until a server that leads is recorded and settled. Returns
    /// the time that it took; none if it took too long.
    fn run(&mut self) -> Option<Duration> {
        while self.now < BEGIN + LIMIT {
            let is_at_rest = !self.advance();
            if is_at_rest && self.is_settled() {
                return Some(self.now.saturating_sub(BEGIN));
            }
            self.now += INTERVAL;
        }
        None
    }
}

fn describe(role: Option<Role>) -> &'static str {
    match role {
        None => "-",
        Some(Role::LeadsEarlier) => "leads 1",
        Some(Role::Leads) => "leads 2",
        Some(Role::Replica) => "replica",
        Some(Role::OffBranch) => "off branch",
    }
}

const STANDINGS: [Option<Standing>; 3] = [Some(Standing::Eligible), Some(Standing::New), None];

/// Returns all states of a server that is not the recorded one.
fn others() -> Vec<Other> {
    let roles = [
        Role::LeadsEarlier,
        Role::Leads,
        Role::Replica,
        Role::OffBranch,
    ];
    let of_role = |role| STANDINGS.map(|standing| Other { role, standing });
    roles.into_iter().flat_map(of_role).collect()
}

/// Returns the records and the states of the recorded server. It is not in the same state
/// twice: without a record there is none.
fn records() -> Vec<(Stored, Option<Role>)> {
    let mut records = vec![(Stored::Absent, None)];
    for stored in [Stored::Outdated, Stored::Settled, Stored::Unsettled] {
        let roles = [None, Some(Role::Leads), Some(Role::Replica)];
        records.extend(roles.map(|role| (stored, role)));
    }
    records
}

/// Returns whether each term is led by one server at most.
fn is_possible(recorded: Option<Role>, others: &[Other]) -> bool {
    let roles = others.iter().map(|other| other.role).chain(recorded);
    let count = |role| roles.clone().filter(|other| *other == role).count();
    count(Role::Leads) <= 1 && count(Role::LeadsEarlier) <= 1
}

/// Guards against groups that are never led again: the record names a server that is gone, and
/// all others came back under new names. Each line: the record, the recorded server, another
/// server and its standing, the time until a primary is settled, and the steps.
#[test]
fn a_group_at_rest_has_a_primary_soon() {
    let mut table = String::new();
    for (stored, recorded) in records() {
        for other in others() {
            if !is_possible(recorded, &[other]) {
                continue;
            }
            let mut world = World::new(stored, recorded, &[other], false);
            let time = world.run().map_or_else(
                || "never".to_owned(),
                |time| format!("{:.1} s", time.as_secs_f64()),
            );
            let standing = other.standing.map_or("-".to_owned(), |standing| {
                format!("{standing:?}").to_lowercase()
            });
            writeln!(
                table,
                "{:10} {:8} {:10} {standing:9} {time:>7}  {}",
                format!("{stored:?}").to_lowercase(),
                describe(recorded),
                describe(Some(other.role)),
                world.steps.join(" ")
            )
            .expect("a string takes any text");
        }
    }
    insta::assert_snapshot!(table);
}

/// The same with two other servers, and with the recorded one alone, whether or not nodes
/// accept records before the leases expire.
#[test]
fn every_group_at_rest_has_a_primary_soon() {
    let mut stuck = Vec::new();
    for (stored, recorded) in records() {
        let mut all: Vec<Vec<Other>> = vec![Vec::new()];
        for first in others() {
            all.extend(others().into_iter().map(|second| vec![first, second]));
        }
        for others in all.iter().filter(|others| is_possible(recorded, others)) {
            if recorded.is_none() && others.is_empty() {
                continue;
            }
            for has_acceptances in [false, true] {
                let mut world = World::new(stored, recorded, others, has_acceptances);
                if world.run().is_none() {
                    stuck.push(format!(
                        "{stored:?} {recorded:?} {others:?}: {:?}",
                        world.steps
                    ));
                }
            }
        }
    }
    assert!(
        stuck.is_empty(),
        "{} states: {:#?}",
        stuck.len(),
        &stuck[..stuck.len().min(20)]
    );
}
