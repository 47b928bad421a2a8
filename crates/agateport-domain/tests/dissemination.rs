//! Speed and cost of the dissemination of a bundle, in simulated time.

#![expect(
    clippy::cast_precision_loss,
    reason = "counts of a simulation are small"
)]

use agateport_domain::bundle::Dissemination;
use agateport_domain::bundle::dissemination::{EXCHANGE_INTERVAL, FANOUT};
use agateport_domain::membership::{Member, State, View};
use agateport_domain::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

/// Duration of an exchange, including the verification of the signatures.
const EXCHANGE_DURATION: Duration = Duration::from_millis(20);

/// Interval between two reads of the platform by a reader.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Simulated time, from the moment at which the platform has the bundle.
const SIMULATED: Duration = Duration::from_secs(10);

/// An event at a node.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    /// The node has received the bundle from a peer or the platform.
    Receive,
    /// The node reads the platform, if it is a reader.
    Read,
    /// The node exchanges with a random peer.
    Exchange,
}

struct Simulation {
    start: Instant,
    view: View,
    nodes: Vec<Dissemination>,
    index: BTreeMap<NodeId, usize>,
    received: BTreeMap<usize, Duration>,
    events: BTreeSet<(Duration, usize, Event)>,
    /// Zones whose nodes cannot reach the platform.
    unreachable: BTreeSet<Zone>,
    zones: Vec<Zone>,
    reads: usize,
    exchanges: usize,
    transfers: usize,
}

impl Simulation {
    fn new(nodes: usize, zones: usize, isolated_zones: usize) -> Self {
        let start = Instant::now();
        let zones: Vec<Zone> = (0..nodes)
            .map(|node| format!("zone-{}", node % zones).into())
            .collect();
        let member = |node: usize| Member {
            name: format!("node-{node}").into(),
            zone: zones[node].clone(),
            address: ([127, 0, 0, 1], 1).into(),
            state: State::Live,
            incarnation: 0,
        };
        let members: Vec<_> = (0..nodes).map(member).collect();
        let first = &members[0];
        let mut view = View::new(
            first.name.clone(),
            first.zone.clone(),
            first.address,
            1,
            start,
        );
        view.seed(members.clone(), start);
        let dissemination = |(seed, member): (u64, &Member)| {
            let random = Pcg64Mcg::seed_from_u64(seed);
            let mut dissemination = Dissemination::new(
                member.name.clone(),
                member.zone.clone(),
                Vec::new(),
                random,
                start,
            );
            dissemination.record_answer(start + SIMULATED);
            dissemination
        };
        let names = members.iter().map(|member| member.name.clone());
        let phase = |node: usize| EXCHANGE_INTERVAL.mul_f64(node as f64 / nodes as f64);
        let events = (0..nodes).flat_map(|node| {
            [Event::Read, Event::Exchange].map(|event| (phase(node), node, event))
        });
        Self {
            start,
            view,
            nodes: (0..).zip(&members).map(dissemination).collect(),
            index: names.zip(0..).collect(),
            received: BTreeMap::new(),
            events: events.collect(),
            unreachable: (0..isolated_zones)
                .map(|zone| format!("zone-{zone}").into())
                .collect(),
            zones,
            reads: 0,
            exchanges: 0,
            transfers: 0,
        }
    }

    fn run(&mut self) {
        while let Some((now, node, event)) = self.events.pop_first() {
            if now > SIMULATED {
                return;
            }
            match event {
                Event::Receive => self.receive(now, node),
                Event::Read => self.read(now, node),
                Event::Exchange => {
                    self.exchange(now, node, 1);
                    self.events
                        .insert((now + EXCHANGE_INTERVAL, node, Event::Exchange));
                }
            }
        }
    }

    fn receive(&mut self, now: Duration, node: usize) {
        if self.received.contains_key(&node) {
            return;
        }
        self.received.insert(node, now);
        self.exchange(now, node, FANOUT);
    }

    fn read(&mut self, now: Duration, node: usize) {
        let is_reader = self.nodes[node].is_reader(&self.view, self.start + now);
        if is_reader && !self.unreachable.contains(&self.zones[node]) {
            self.reads += 1;
            self.events
                .insert((now + EXCHANGE_DURATION, node, Event::Receive));
        }
        if is_reader {
            self.events.insert((now + READ_INTERVAL, node, Event::Read));
        }
    }

    fn exchange(&mut self, now: Duration, node: usize, count: usize) {
        for peer in self.nodes[node].peers(&self.view, count) {
            self.exchanges += 1;
            let peer = self.index[&peer.name];
            match (
                self.received.contains_key(&node),
                self.received.contains_key(&peer),
            ) {
                (true, false) => self.transfer(now, peer),
                (false, true) => self.transfer(now, node),
                _ => {}
            }
        }
    }

    fn transfer(&mut self, now: Duration, node: usize) {
        self.transfers += 1;
        self.events
            .insert((now + EXCHANGE_DURATION, node, Event::Receive));
    }
}

#[test_case(7, 3, 0; "7 nodes")]
#[test_case(7, 3, 2; "7 nodes, two of three zones without the platform")]
#[test_case(200, 15, 0; "200 nodes")]
#[test_case(200, 15, 14; "200 nodes, one of 15 zones with the platform")]
fn bundle_reaches_every_node(nodes: usize, zones: usize, isolated_zones: usize) {
    let mut simulation = Simulation::new(nodes, zones, isolated_zones);
    simulation.run();
    let last = simulation
        .received
        .values()
        .max()
        .copied()
        .unwrap_or_default();
    assert_eq!(simulation.received.len(), nodes);
    let seconds = SIMULATED.as_secs_f64();
    let text = format!(
        "in force on {nodes} nodes after {last:?}\nplatform reads per second: {:.1}\n\
         exchanges per node and second: {:.2}\nbundles sent per node: {:.2}",
        simulation.reads as f64 / seconds,
        simulation.exchanges as f64 / seconds / nodes as f64,
        simulation.transfers as f64 / nodes as f64,
    );
    insta::assert_snapshot!(format!("dissemination_{nodes}_{isolated_zones}"), text);
}
