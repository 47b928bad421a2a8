//! Which servers may be promoted, and that no node confirms a former primary after it.

use agateport_domain::group::handover::{Candidate, Former, Record, State, Step, decide};
use agateport_domain::group::roster::{Answer, Standing, Tenure, VALIDITY, is_only_primary};
use agateport_domain::group::{Leadership, Roster};
use agateport_domain::prelude::*;
use proptest::prelude::*;
use std::fmt::Write;

const SERVERS: [&str; 4] = ["a", "b", "c", "d"];

/// Names under which servers are back after a crash.
const RETURNED: [&str; 4] = ["e", "f", "g", "h"];

/// Number of nodes that read the record at times of their own.
const NODES: usize = 3;

fn at(milliseconds: u64) -> Uptime {
    Duration::from_millis(100_000 + milliseconds)
}

fn names(text: &str) -> BTreeSet<ServerId> {
    text.split_whitespace().map(ServerId::from).collect()
}

fn describe(roster: &Roster) -> String {
    let servers = roster.servers().map(|server| {
        let mark = match roster.standing(server) {
            Some(Standing::New) => "?",
            _ => "",
        };
        format!("{server}{mark}")
    });
    servers.collect::<Vec<_>>().join(" ")
}

/// Each line: the time, the usable servers, the coordinator's fencing token, and the
/// roster that is written next.
#[test]
fn a_roster_over_time() {
    let mut roster = Roster::first(names("a b"));
    let mut tenure = Tenure::default();
    let mut transcript = String::new();
    let steps = [
        (0, "a b", 1),
        (1_000, "a b c", 1),
        (2_000, "a b c", 1),
        (9_900, "a b c", 1),
        (10_100, "a b c", 1),
        // An entry that expires for a moment.
        (11_000, "a c", 1),
        (18_900, "a c", 1),
        (18_950, "a b c", 1),
        (19_000, "a c", 1),
        (27_100, "a c", 1),
        // The server comes back.
        (28_000, "a b c", 1),
        (35_000, "a b c", 1),
        // Another coordinator counts anew.
        (37_000, "a b c", 2),
        (44_900, "a b c", 2),
        (45_100, "a b c", 2),
        // The primary stays listed.
        (46_000, "b", 2),
        (55_000, "b", 2),
    ];
    for (milliseconds, usable, fence) in steps {
        let usable = names(usable);
        tenure.observe(Some(fence), &roster, &usable, at(milliseconds));
        roster = tenure.next(&roster, &usable, &"a".into(), at(milliseconds));
        let usable: Vec<_> = usable.iter().map(|server| &**server).collect();
        let usable = usable.join(" ");
        let line = format!(
            "{milliseconds:6} ms  {usable:6} {fence}  {}",
            describe(&roster)
        );
        writeln!(transcript, "{line}").expect("writing to a string does not fail");
    }
    insta::assert_snapshot!(transcript);
}

/// What happens before the coordinator's next check.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A node reads the record.
    Read(usize),
    /// A server's registry entry expires, or is back.
    Register(usize, bool),
    /// A server announces that it leaves, or returns.
    Leave(usize, bool),
    /// The recorded primary announces that it leaves.
    LeavePrimary,
    /// A quorum reaches the recorded primary, or does not.
    Reach(bool),
    /// The coordinator's orders to demote are carried out, or are not.
    Demote(bool),
    /// A server crashes, or is back with its log under another name.
    Crash(usize),
    Return(usize),
    /// Another node becomes the coordinator.
    Replace,
    /// Every node accepts the record.
    Accept,
    /// Nothing.
    Pause,
}

fn event() -> impl Strategy<Value = Event> {
    let server = 0..SERVERS.len();
    prop_oneof![
        3 => (0..NODES).prop_map(Event::Read),
        3 => (server.clone(), any::<bool>()).prop_map(|(server, is)| Event::Register(server, is)),
        2 => (server, any::<bool>()).prop_map(|(server, is)| Event::Leave(server, is)),
        1 => Just(Event::LeavePrimary),
        2 => any::<bool>().prop_map(Event::Reach),
        2 => any::<bool>().prop_map(Event::Demote),
        2 => (0..SERVERS.len()).prop_map(Event::Crash),
        2 => (0..SERVERS.len()).prop_map(Event::Return),
        1 => Just(Event::Replace),
        1 => Just(Event::Accept),
        2 => Just(Event::Pause),
    ]
}

/// One group, its coordinator and the nodes, with every server within reach of the nodes.
#[derive(Debug)]
struct World {
    now: Uptime,
    record: Leadership,
    first_seen: Uptime,
    tenure: Tenure,
    fence: Fence,
    former: Option<ServerId>,
    demotion: Former,
    is_released: bool,
    is_reached: bool,
    demotes: bool,
    registered: BTreeSet<ServerId>,
    leaving: BTreeSet<ServerId>,
    /// Servers whose processes have ended.
    crashed: BTreeSet<ServerId>,
    /// Servers that are back under another name.
    returned: BTreeSet<ServerId>,
    missing_since: Option<Uptime>,
    /// Servers that accept writes.
    primaries: BTreeSet<ServerId>,
    /// The term that each server has received, if it is not the first one.
    terms: BTreeMap<ServerId, Term>,
    /// The server that was promoted last.
    leader: ServerId,
    /// The record that each node has read, and when.
    nodes: Vec<(Leadership, Uptime)>,
}

impl World {
    fn new() -> Self {
        let record = Leadership {
            primary: "a".into(),
            fence: 1,
            is_settled: true,
            roster: Roster::first(names("a b")),
            base: None,
            term: None,
            former: None,
            succession: 0,
        };
        Self {
            now: at(0),
            nodes: vec![(record.clone(), at(0)); NODES],
            record,
            first_seen: at(0),
            tenure: Tenure::default(),
            fence: 1,
            former: None,
            demotion: Former::Unknown,
            is_released: false,
            is_reached: true,
            demotes: true,
            registered: names("a b"),
            leaving: BTreeSet::new(),
            crashed: BTreeSet::new(),
            returned: BTreeSet::new(),
            missing_since: None,
            primaries: names("a"),
            terms: BTreeMap::new(),
            leader: "a".into(),
        }
    }

    fn happen(&mut self, event: Event) {
        let change = |servers: &mut BTreeSet<ServerId>, server: usize, is_member: bool| {
            let server = ServerId::from(SERVERS[server]);
            if is_member {
                servers.insert(server);
            } else {
                servers.remove(&server);
            }
        };
        match event {
            Event::Read(node) => self.nodes[node] = (self.record.clone(), self.now),
            Event::Register(server, is) => change(&mut self.registered, server, is),
            Event::Leave(server, is) => change(&mut self.leaving, server, is),
            Event::LeavePrimary => {
                self.leaving.insert(self.record.primary.clone());
            }
            Event::Crash(server) => {
                let server = ServerId::from(SERVERS[server]);
                self.registered.remove(&server);
                self.crashed.insert(server);
            }
            Event::Return(server) => self.bring_back(server),
            Event::Reach(is_reached) => self.is_reached = is_reached,
            Event::Demote(demotes) => self.demotes = demotes,
            Event::Replace => {
                self.fence += 1;
                self.first_seen = self.now;
                // The record names the former primary, not whether it is demoted.
                self.demotion = match self.former {
                    Some(_) => Former::Known,
                    None => Former::Unknown,
                };
            }
            Event::Accept => {
                self.nodes = vec![(self.record.clone(), self.now); NODES];
                self.is_released = true;
            }
            Event::Pause => {}
        }
    }

    /// Starts a crashed server again with its log, under another name. It leads as before if no
    /// other server was promoted meanwhile.
    fn bring_back(&mut self, server: usize) {
        let [former, name] = [SERVERS[server], RETURNED[server]].map(ServerId::from);
        if !self.crashed.contains(&former) || !self.returned.insert(former.clone()) {
            return;
        }
        let term = self.term(&former);
        self.terms.insert(name.clone(), term);
        if self.leader == former {
            self.leader = name.clone();
            if self.primaries.contains(&former) {
                self.primaries.insert(name.clone());
            }
        }
        self.registered.insert(name);
    }

    fn term(&self, server: &ServerId) -> Term {
        self.terms.get(server).copied().unwrap_or(1)
    }

    fn usable(&self) -> BTreeSet<ServerId> {
        &self.registered - &self.leaving
    }

    fn next_roster(&self) -> Roster {
        let (roster, usable) = (&self.record.roster, self.usable());
        self.tenure
            .next(roster, &usable, &self.record.primary, self.now)
    }

    fn decide(&self) -> Step {
        let candidates = self.registered.iter().map(|server| Candidate {
            server: server.clone(),
            last: (!self.crashed.contains(server)).then(Watermark::default),
            is_primary: self.primaries.contains(server),
            led_term: (self.primaries.contains(server) && !self.crashed.contains(server))
                .then(|| self.term(server)),
            is_leaving: self.leaving.contains(server),
            is_eligible: self
                .tenure
                .is_eligible(&self.record.roster, server, self.now),
        });
        let candidates: Vec<_> = candidates.collect();
        let state = State {
            record: Record::Current(&self.record, self.first_seen),
            candidates: &candidates,
            base: None,
            term: self.record.term,
            leaderless_since: None,
            missing_since: self.missing_since,
            leading: &BTreeSet::new(),
            is_unreachable: !self.is_reached,
            former: self.demotion,
            is_released: self.is_released,
            ordered_at: None,
            is_roster_due: self.next_roster() != self.record.roster,
        };
        decide(&state, self.now)
    }

    fn check(&mut self) {
        let is_missing =
            !self.registered.is_empty() && !self.registered.contains(&self.record.primary);
        let since = self.missing_since.unwrap_or(self.now);
        self.missing_since = is_missing.then_some(since);
        let usable = self.usable();
        let (fence, roster) = (Some(self.fence), &self.record.roster);
        self.tenure.observe(fence, roster, &usable, self.now);
        match self.decide() {
            Step::Wait(_) => {}
            Step::Adopt(server) => self.write(server, true),
            Step::Enroll if !self.record.is_settled => self.record.roster = self.next_roster(),
            Step::Settle | Step::Enroll => self.write(self.record.primary.clone(), true),
            Step::Record(choice) => {
                self.write(choice.server, false);
                self.former = choice.former;
                self.demote();
            }
            Step::Demote => self.demote(),
            Step::Retire(server) => {
                self.primaries.remove(&server);
            }
            Step::Resume(server) => {
                let term = self.record.term;
                self.write(server, true);
                self.record.term = term;
            }
            // The platform refuses to promote a server that does not run.
            Step::Promote(server) if self.crashed.contains(&server) => {}
            Step::Promote(server) => {
                let term = self.terms.values().max().map_or(2, |term| term + 1);
                self.terms.insert(server.clone(), term);
                self.primaries.insert(server.clone());
                self.leader = server;
            }
        }
    }

    fn write(&mut self, primary: ServerId, is_settled: bool) {
        let usable = self.usable();
        let roster = &self.record.roster;
        let roster = self.tenure.next(roster, &usable, &primary, self.now);
        if self.record.primary != primary {
            self.first_seen = self.now;
            self.missing_since = None;
            self.former = None;
            self.demotion = Former::Unknown;
        }
        self.record = Leadership {
            fence: self.fence,
            is_settled,
            roster,
            base: None,
            term: self
                .primaries
                .contains(&primary)
                .then(|| self.term(&primary)),
            former: None,
            succession: 0,
            primary,
        };
        self.is_released = false;
    }

    fn demote(&mut self) {
        self.demotion = match self.former.clone() {
            Some(former) if self.demotes && !self.crashed.contains(&former) => {
                self.primaries.remove(&former);
                Former::Demoted
            }
            Some(_) => Former::Known,
            None => Former::Unknown,
        };
    }

    /// Returns the server that a node confirms from the servers' answers, if it does.
    fn confirmed_by(&self, node: usize) -> Option<&ServerId> {
        let (record, read_at) = &self.nodes[node];
        let is_recent = self.now < *read_at + VALIDITY;
        let answer = |server: &ServerId| Answer {
            is_primary: self.primaries.contains(server),
            term: self.term(server),
        };
        let others = record.roster.servers();
        let others = others.filter(|server| **server != record.primary);
        let others: Vec<_> = others.map(answer).collect();
        let is_only = is_only_primary(answer(&record.primary), &others);
        let do_answer = record
            .roster
            .servers()
            .all(|server| !self.crashed.contains(server));
        (is_recent && is_only && do_answer).then_some(&record.primary)
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// From the moment at which a promotion takes effect, no node confirms a former
    /// primary, whatever record it has read and whichever servers were registered.
    #[test]
    fn no_node_confirms_a_former_primary(
        events in prop::collection::vec((event(), 1_u64..2_000), 1..200),
    ) {
        let mut world = World::new();
        for (event, pause) in events {
            world.happen(event);
            world.now += Duration::from_millis(pause);
            for _ in 0..4 {
                world.check();
                for node in 0..NODES {
                    let confirmed = world.confirmed_by(node);
                    prop_assert!(confirmed.is_none_or(|server| *server == world.leader));
                }
            }
        }
    }
}
