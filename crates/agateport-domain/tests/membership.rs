//! Invariants of a node's view of the fleet.

#![expect(clippy::unwrap_used, reason = "an invalid fixture fails the test")]

use agateport_domain::membership::{Member, PROBE_INTERVAL, State, View};
use agateport_domain::owner::{Cache, Policy, Rendezvous, allowance, even_allowance};
use agateport_domain::prelude::*;
use proptest::prelude::*;
use std::net::{Ipv4Addr, SocketAddr};

/// Number of periods within which all other nodes detect a dead VM.
const DETECTION_PERIODS: usize = 40;

/// Number of periods within which all views converge.
const CONVERGENCE_PERIODS: usize = 150;

/// Zones that the nodes are assigned to in turn.
const ZONES: [&str; 3] = ["a", "b", "c"];

#[derive(Clone, Debug)]
enum Event {
    Kill(usize),
    Restart(usize),
    Partition(u8),
    Heal,
    Run(usize),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..7usize).prop_map(Event::Kill),
        (0..7usize).prop_map(Event::Restart),
        any::<u8>().prop_map(Event::Partition),
        Just(Event::Heal),
        (1..40usize).prop_map(Event::Run),
    ]
}

/// A network of nodes that delivers each message at once or not at all.
struct Network {
    views: Vec<View>,
    is_running: Vec<bool>,
    /// Side of the partition that each node is on.
    side: Vec<bool>,
    now: Instant,
}

fn name(index: usize) -> NodeId {
    format!("n{index}").into()
}

fn member(index: usize) -> Member {
    let port = 1000 + u16::try_from(index).unwrap();
    Member {
        name: name(index),
        zone: ZONES[index % 3].into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        state: State::Live,
        incarnation: 0,
    }
}

impl Network {
    fn new(count: usize) -> Self {
        let now = Instant::now();
        let mut network = Self {
            views: (0..count).map(|index| view(index, 0, now)).collect(),
            is_running: vec![true; count],
            side: vec![false; count],
            now,
        };
        for index in 0..count {
            network.seed(index);
        }
        network
    }

    fn seed(&mut self, index: usize) {
        let list: Vec<Member> = (0..self.views.len()).map(member).collect();
        self.views[index].seed(list, self.now);
    }

    fn apply(&mut self, event: &Event) {
        let count = self.views.len();
        match event {
            Event::Kill(index) => self.is_running[index % count] = false,
            Event::Restart(index) => {
                let index = index % count;
                self.is_running[index] = true;
                self.views[index] = view(index, 1, self.now);
                self.seed(index);
            }
            Event::Partition(sides) => {
                for (index, side) in self.side.iter_mut().enumerate() {
                    *side = sides >> index & 1 == 1;
                }
            }
            Event::Heal => self.side.fill(false),
            Event::Run(periods) => self.run(*periods),
        }
    }

    fn run(&mut self, periods: usize) {
        for _ in 0..periods {
            self.now += PROBE_INTERVAL;
            for index in 0..self.views.len() {
                if self.is_running[index] {
                    self.run_period(index);
                }
            }
        }
    }

    fn run_period(&mut self, index: usize) {
        self.views[index].expire(self.now);
        let Some(target) = self.views[index].next_probe() else {
            return;
        };
        if self.exchange(index, index_of(&target)) {
            return;
        }
        let relays = self.views[index].relays(&target.name);
        for relay in relays.iter().map(index_of) {
            if self.exchange(index, relay)
                && self.exchange(relay, index_of(&target))
                && self.exchange(relay, index)
            {
                return;
            }
        }
        self.views[index].suspect(&target.name, self.now);
    }

    fn exchange(&mut self, from: usize, to: usize) -> bool {
        if !self.is_running[from] || !self.is_running[to] || self.side[from] != self.side[to] {
            return false;
        }
        let gossip = self.views[from].gossip(&name(to));
        self.views[to].merge(gossip, self.now);
        let answer = self.views[to].gossip(&name(from));
        self.views[from].merge(answer, self.now);
        true
    }

    /// Returns the nodes that the node at `index` considers live.
    fn live(&self, index: usize) -> Vec<NodeId> {
        let live = self.views[index].live();
        live.map(|member| member.name.clone()).collect()
    }

    fn running(&self) -> Vec<usize> {
        (0..self.views.len())
            .filter(|index| self.is_running[*index])
            .collect()
    }
}

fn view(index: usize, restarts: u64, now: Instant) -> View {
    let own = member(index);
    View::new(
        own.name,
        own.zone,
        own.address,
        index as u64 + 100 * restarts,
        now,
    )
}

fn index_of(member: &Member) -> usize {
    member.name[1..].parse().unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn views_converge(count in 2..8usize, events in prop::collection::vec(event(), 0..20)) {
        let mut network = Network::new(count);
        for event in &events {
            network.apply(event);
        }
        network.apply(&Event::Heal);
        network.run(CONVERGENCE_PERIODS);
        let running: Vec<NodeId> = network.running().into_iter().map(name).collect();
        for index in network.running() {
            prop_assert_eq!(&network.live(index), &running, "the view of node {}", index);
        }
    }

    #[test]
    fn dead_vm_is_detected(count in 3..8usize, dead in 0..8usize, warmup in 0..50usize) {
        let mut network = Network::new(count);
        network.run(warmup);
        let dead = dead % count;
        network.apply(&Event::Kill(dead));
        network.run(DETECTION_PERIODS);
        for index in network.running() {
            prop_assert!(!network.live(index).contains(&name(dead)), "node {}", index);
        }
    }

    #[test]
    fn leaving_vm_gets_no_work_after_3_s(count in 3..8usize, warmup in 0..50usize) {
        let mut network = Network::new(count);
        network.run(warmup);
        let now = network.now;
        network.views[0].leave(now);
        network.run(15);
        for index in 1..count {
            prop_assert!(!network.live(index).contains(&name(0)), "node {}", index);
        }
    }

    #[test]
    fn gossip_is_of_bounded_size(count in 2..200usize) {
        let mut network = Network::new(count);
        let gossip = network.views[0].gossip(&name(1));
        prop_assert!(gossip.members.len() <= 8);
    }

    #[test]
    fn connections_stay_within_the_limit(connections in 1..100usize, listed in 1..50usize) {
        for allowance_of in [allowance, even_allowance] {
            let shares = (0..listed).map(|position| allowance_of(connections, listed, position));
            let total: usize = shares.sum();
            prop_assert!(total + listed <= connections.max(listed));
        }
    }
}

#[test]
fn owners_of_a_server_as_nodes_die() {
    let mut network = Network::new(6);
    let cache = Cache::default();
    let mut transcript = Vec::new();
    for dead in [None, Some(0), Some(3), Some(1)] {
        if let Some(dead) = dead {
            network.apply(&Event::Kill(dead));
            network.run(DETECTION_PERIODS);
        }
        for server in ["ledger-1-1", "ledger-1-2", "ledger-1-3"] {
            let zone = ZONES[usize::from(server.as_bytes()[9] - b'1')];
            let (server, zone) = (ServerId::from(server), Zone::from(zone));
            let view = &network.views[5];
            let owners = Rendezvous.owners(&name(5), &server, &zone, view);
            let cached = cache.owners(&Rendezvous, &name(5), &server, &zone, view);
            assert_eq!(owners, *cached);
            transcript.push(format!(
                "dead {dead:?}: {server} {zone}: {}",
                owners.join(" ")
            ));
        }
    }
    insta::assert_snapshot!(transcript.join("\n"));
}
