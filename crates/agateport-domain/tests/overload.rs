//! Replays of load beyond what one server can run, through the queues of the nodes that
//! share it, in simulated time.
//!
//! The server has two slots and a queue without priorities, like that of a group whose
//! replicas are far behind. Arrivals and running times are drawn from a seed.

#![expect(
    clippy::cast_possible_truncation,
    reason = "the numbers of requests are small"
)]

use agateport_domain::admission::Ticket;
use agateport_domain::admission::{Admission, Decision, Queue};
use agateport_domain::bundle::Priority;
use agateport_domain::owner::Capacity;
use agateport_domain::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::fmt::Write;
use test_case::test_case;

/// Share of the target for which a request waits for a slot before it is refused.
const WAIT_SHARE: f64 = 0.22;

/// Time of a message between a node and the server.
const WIRE: Duration = Duration::from_micros(1_400);

/// Duration of a replay, after which running requests still end.
const DURATION: Duration = Duration::from_secs(20);

/// A kind of requests: name, arrivals per second at all nodes, running time, target and
/// worth.
#[derive(Clone, Copy, Debug)]
struct Kind {
    name: &'static str,
    rate: f64,
    work: Duration,
    target: Duration,
    worth: u32,
}

const fn kind(name: &'static str, rate: f64, work: u64, target: u64, worth: u32) -> Kind {
    Kind {
        name,
        rate,
        work: Duration::from_micros(work),
        target: Duration::from_millis(target),
        worth,
    }
}

/// Short urgent requests, many medium ones, and long ones that can wait.
const KINDS: [Kind; 3] = [
    kind("booking", 25.0, 4_500, 100, 8),
    kind("quote", 115.0, 14_000, 200, 4),
    kind("lookup", 25.0, 22_000, 800, 1),
];

#[derive(Clone, Copy, Debug)]
struct Request {
    kind: usize,
    node: usize,
    arrived: Duration,
    work: Duration,
    is_started: bool,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival(RequestId),
    /// The request has waited for its share of the target.
    Waited(RequestId, Duration),
    GivenUp(RequestId),
    AtServer(RequestId),
    Done(RequestId),
    Answered(RequestId),
    Upkeep,
}

struct Replay {
    start: Instant,
    events: BTreeSet<(Duration, Event)>,
    requests: Vec<Request>,
    queues: Vec<Queue>,
    /// Whether a request that is due to start waits longer than its share of the target.
    waits_on: bool,
    /// Requests that wait in the server, which has two slots.
    waiting: VecDeque<RequestId>,
    running: usize,
    served: [u32; 3],
    refused: [u32; 3],
    late: [u32; 3],
}

const SLOTS: usize = 2;

impl Replay {
    /// Creates the replay for one node in each zone of `zones`, or more.
    fn new(zones: &[usize], factor: f64, [is_reserving, waits_on]: [bool; 2], seed: u64) -> Self {
        let start = Instant::now();
        let priorities: Vec<_> = KINDS
            .iter()
            .map(|kind| Priority {
                name: kind.name.into(),
                target: kind.target,
                worth: kind.worth,
                minimum_share: 12,
            })
            .collect();
        let capacity = Capacity {
            slots: SLOTS,
            connections: 14,
        };
        let queues = zones
            .iter()
            .flat_map(|nodes| vec![*nodes; *nodes])
            .map(|nodes| {
                let share = capacity.even_share(zones.len(), nodes);
                let queue = Queue::new(share, 64, &priorities, start).expect("a share");
                if is_reserving {
                    queue.reserving()
                } else {
                    queue
                }
            });
        let mut replay = Self {
            start,
            events: BTreeSet::new(),
            requests: Vec::new(),
            queues: queues.collect(),
            waits_on,
            waiting: VecDeque::new(),
            running: 0,
            served: [0; 3],
            refused: [0; 3],
            late: [0; 3],
        };
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let firsts = zones.iter().scan(0, |first, nodes| {
            *first += nodes;
            Some(*first - nodes)
        });
        let zones: Vec<(usize, usize)> = firsts.zip(zones.iter().copied()).collect();
        for (index, kind) in KINDS.iter().enumerate() {
            let mut at = 0.0;
            loop {
                at += -f64::ln(random.random_range(f64::MIN_POSITIVE..1.0)) / (kind.rate * factor);
                if at > DURATION.as_secs_f64() {
                    break;
                }
                let (first, nodes) = zones[random.random_range(0..zones.len())];
                let request = Request {
                    kind: index,
                    node: first + random.random_range(0..nodes),
                    arrived: Duration::from_secs_f64(at),
                    work: kind.work.mul_f64(random.random_range(0.5..1.5)),
                    is_started: false,
                };
                let id = replay.requests.len() as RequestId;
                replay.events.insert((request.arrived, Event::Arrival(id)));
                replay.requests.push(request);
            }
        }
        let upkeeps = (0..).map(|round| Duration::from_millis(100) * round);
        let upkeeps = upkeeps.take_while(|at| *at < DURATION);
        replay.events.extend(upkeeps.map(|at| (at, Event::Upkeep)));
        replay
    }

    fn run(mut self) -> String {
        while let Some((now, event)) = self.events.pop_first() {
            self.apply(now, event);
        }
        let mut table = String::new();
        let mut total = (0, 0);
        for (index, kind) in KINDS.iter().enumerate() {
            let asked = self.requests.iter().filter(|request| request.kind == index);
            let asked = asked.count() as u32;
            total.0 += self.served[index] * kind.worth;
            total.1 += asked * kind.worth;
            writeln!(
                table,
                "{}: {asked} asked, {} in time, {} late, {} refused",
                kind.name, self.served[index], self.late[index], self.refused[index]
            )
            .expect("writing to a string succeeds");
        }
        let worth = f64::from(total.0) / f64::from(total.1);
        writeln!(table, "worth in time: {worth:.2}").expect("writing to a string succeeds");
        table
    }

    fn apply(&mut self, now: Duration, event: Event) {
        match event {
            Event::Arrival(id) => self.arrive(id, now),
            Event::Waited(id, latest) => {
                let Request {
                    node, is_started, ..
                } = self.requests[id as usize];
                let is_due = self.queues[node].is_due_to_start(id, self.start + now);
                if !is_started {
                    let end = if self.waits_on && is_due { latest } else { now };
                    self.events.insert((end, Event::GivenUp(id)));
                }
            }
            Event::GivenUp(id) => {
                let Request {
                    node,
                    kind,
                    is_started,
                    ..
                } = self.requests[id as usize];
                if !is_started {
                    self.queues[node].finish(id, self.start + now);
                    self.refused[kind] += 1;
                    self.dispatch(node, now);
                }
            }
            Event::AtServer(id) => {
                self.waiting.push_back(id);
                self.serve(now);
            }
            Event::Done(id) => {
                self.running -= 1;
                self.events.insert((now + WIRE, Event::Answered(id)));
                self.serve(now);
            }
            Event::Answered(id) => {
                let Request {
                    node,
                    kind,
                    arrived,
                    ..
                } = self.requests[id as usize];
                self.queues[node].finish(id, self.start + now);
                if now <= arrived + KINDS[kind].target {
                    self.served[kind] += 1;
                } else {
                    self.late[kind] += 1;
                }
                self.dispatch(node, now);
            }
            Event::Upkeep => (0..self.queues.len()).for_each(|node| self.dispatch(node, now)),
        }
    }

    fn arrive(&mut self, id: RequestId, now: Duration) {
        let Request { node, kind, .. } = self.requests[id as usize];
        let Kind { name, target, .. } = KINDS[kind];
        let ticket = Ticket {
            request: id,
            priority: name.into(),
            caller: "caller".into(),
            due: self.start + now + target,
        };
        match self.queues[node].offer(ticket, self.start + now) {
            Ok(Admission::Started) => self.send(id, now),
            Ok(Admission::Queued { latest_start, .. }) => {
                let latest = latest_start.saturating_duration_since(self.start);
                let waited = latest.min(now + target.mul_f64(WAIT_SHARE));
                self.events.insert((waited, Event::Waited(id, latest)));
                self.dispatch(node, now);
            }
            Err(_) => self.refused[kind] += 1,
        }
    }

    fn dispatch(&mut self, node: usize, now: Duration) {
        while let Some(decision) = self.queues[node].next(self.start + now) {
            match decision {
                Decision::Start(id) => self.send(id, now),
                Decision::Refuse(id, _) => {
                    let request = &mut self.requests[id as usize];
                    request.is_started = true;
                    self.refused[request.kind] += 1;
                }
            }
        }
    }

    fn send(&mut self, id: RequestId, now: Duration) {
        self.requests[id as usize].is_started = true;
        self.events.insert((now + WIRE, Event::AtServer(id)));
    }

    fn serve(&mut self, now: Duration) {
        while self.running < SLOTS {
            let Some(id) = self.waiting.pop_front() else {
                return;
            };
            self.running += 1;
            let work = self.requests[id as usize].work;
            self.events.insert((now + work, Event::Done(id)));
        }
    }
}

/// Without reservation, long requests that can wait hold slots for which urgent ones
/// cannot wait long enough.
#[test_case("normal", 0.6)]
#[test_case("one and a half times the capacity", 1.2)]
#[test_case("twice the capacity", 1.7)]
fn urgent_requests_are_served_first(name: &str, factor: f64) {
    let mut transcript = String::new();
    let variants = [
        ("neither", [false, false]),
        ("reservation", [true, false]),
        (
            "reservation, and what is due to start waits on",
            [true, true],
        ),
    ];
    for (label, variant) in variants {
        let replay = Replay::new(&[2, 3, 1], factor, variant, 7);
        writeln!(transcript, "{label}\n{}", replay.run()).expect("writing to a string succeeds");
    }
    insta::assert_snapshot!(name.replace(' ', "_"), transcript);
}
