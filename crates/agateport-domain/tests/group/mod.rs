//! A group of three servers with slots, queues and running times, in simulated time.

use agateport_domain::admission::{Admission, Decision, Queue, Share, Ticket};
use agateport_domain::bundle::Priority;
use agateport_domain::pace::{Factor, Latest, Measure, Report, Response, Standing, compare};
use agateport_domain::prelude::*;
use agateport_domain::session::placement::{Candidate, order};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Names of the servers.
const SERVERS: [&str; 3] = ["a", "b", "c"];

/// Slots of each server.
pub const SLOTS: usize = 4;

/// Time in which the factors vary with the first responses.
const WARM_UP: Duration = Duration::from_secs(2);

/// Share of the target for which a request waits for a slot.
const WAIT_SHARE: f64 = 0.22;

/// Share of the running time after which a statement fails, if it does.
const FAILURE_SHARE: f64 = 0.2;

/// A kind of requests.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub priority: &'static str,
    /// Arrivals per second.
    pub rate: f64,
    /// Mean running time in milliseconds.
    pub work: f64,
    pub target: Duration,
    /// The only server that may run it; all of them if there is none.
    pub only: Option<usize>,
}

/// What happens in a run.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub kinds: &'static [Kind],
    pub duration: Duration,
    /// Factor of the running time at a server, by the time and the slots in use.
    pub slowness: fn(usize, Duration, usize) -> f64,
    /// Share of the statements that a server fails.
    pub failures: fn(usize) -> f64,
    /// Times at which new owners, which have measured nothing, replace the former ones.
    pub new_owners: &'static [Duration],
}

/// Results of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Results {
    /// Successful answers.
    pub answered: u32,
    /// Failed answers.
    pub failed: u32,
    /// Refused requests.
    pub refused: u32,
    /// Sum of the times of successful answers.
    pub time: Duration,
    /// Requests that each server started.
    pub started: [u32; 3],
    /// Requests that each server started, by second.
    pub started_in: Vec<[u32; 3]>,
    /// Largest number of slots in use at a server.
    pub most_running: usize,
    /// Changes between the normal and another factor, after `WARM_UP`.
    pub changes: u32,
}

impl Results {
    /// Returns the mean time of a successful answer in milliseconds.
    pub fn mean(&self) -> f64 {
        self.time.as_secs_f64() * 1_000.0 / f64::from(self.answered.max(1))
    }

    /// Returns the share of the requests without a successful answer.
    pub fn lost(&self) -> f64 {
        let lost = self.failed + self.refused;
        f64::from(lost) / f64::from((lost + self.answered).max(1))
    }
}

#[derive(Clone, Copy, Debug)]
struct Request {
    kind: Kind,
    arrived: Duration,
    /// Running time at normal speed.
    work: Duration,
    /// Where the statement lies in the distribution of failures.
    draw: f64,
    server: usize,
    started: Option<Duration>,
    is_failed: bool,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Done(RequestId),
    GivenUp(RequestId),
    Arrival(RequestId),
    NewOwners,
}

struct Server {
    queue: Queue,
    measure: Measure,
    latest: Option<Latest>,
}

/// A run of a scenario.
pub struct Run {
    scenario: Scenario,
    adapts: bool,
    start: Instant,
    events: BTreeSet<(Duration, Event)>,
    requests: BTreeMap<RequestId, Request>,
    servers: Vec<Server>,
    standings: Vec<Standing>,
    results: Results,
}

impl Run {
    /// Runs a scenario, with or without adaptation to the servers.
    pub fn results(scenario: Scenario, adapts: bool, seed: u64) -> Results {
        let mut run = Self::new(scenario, adapts);
        run.draw(seed);
        while let Some((now, event)) = run.events.pop_first() {
            run.handle(now, event);
        }
        run.results
    }

    fn new(scenario: Scenario, adapts: bool) -> Self {
        let start = Instant::now();
        let names: BTreeSet<_> = scenario.kinds.iter().map(|kind| kind.priority).collect();
        let priorities: Vec<_> = names.into_iter().map(priority).collect();
        let share = Share {
            slots: SLOTS,
            connections: 16,
        };
        let servers = SERVERS.map(|_| {
            let queue = Queue::new(share, 64, &priorities, start);
            let mut queue = queue.expect("the share is valid").reserving();
            if adapts && std::env::var("NOLIMIT").is_err() {
                queue.limit_by_priority(start);
            }
            Server {
                queue,
                measure: Measure::default(),
                latest: None,
            }
        });
        let new_owners = scenario.new_owners.iter();
        Self {
            scenario,
            adapts,
            start,
            events: new_owners.map(|at| (*at, Event::NewOwners)).collect(),
            requests: BTreeMap::new(),
            servers: servers.into(),
            standings: vec![Standing::NORMAL; SERVERS.len()],
            results: Results::default(),
        }
    }

    /// Draws the arrivals and running times, which do not depend on the adaptation.
    fn draw(&mut self, seed: u64) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut exponential = move || -(1.0 - random.random::<f64>()).ln();
        let mut id = 0;
        for kind in self.scenario.kinds {
            let mut arrived = Duration::ZERO;
            loop {
                arrived += Duration::from_secs_f64(exponential() / kind.rate);
                if arrived >= self.scenario.duration {
                    break;
                }
                id += 1;
                let request = Request {
                    kind: *kind,
                    arrived,
                    work: Duration::from_secs_f64(exponential() * kind.work / 1_000.0),
                    draw: (-exponential()).exp(),
                    server: 0,
                    started: None,
                    is_failed: false,
                };
                self.requests.insert(id, request);
                self.events.insert((arrived, Event::Arrival(id)));
            }
        }
    }

    fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::Arrival(id) => self.place(now, id),
            Event::Done(id) => self.end(now, id),
            Event::GivenUp(id) => self.give_up(now, id),
            Event::NewOwners => {
                for server in &mut self.servers {
                    server.measure = Measure::default();
                }
            }
        }
    }

    /// Offers a request to the servers, best first.
    fn place(&mut self, now: Duration, id: RequestId) {
        let request = self.requests[&id];
        self.compare(now);
        let candidates = self.candidates(request.kind.only);
        for name in order(&candidates, Some(Watermark::default())) {
            let index = SERVERS.iter().position(|server| **server == *name);
            let index = index.expect("the server is known");
            let ticket = Ticket {
                request: id,
                priority: request.kind.priority.into(),
                caller: "tester".into(),
                due: self.start + request.arrived + request.kind.target,
            };
            let server = &mut self.servers[index];
            let admission = server.queue.offer(ticket, self.start + now);
            let Ok(admission) = admission else { continue };
            self.requests.get_mut(&id).expect("it is known").server = index;
            if admission == Admission::Started {
                self.begin(now, id);
            } else {
                let wait = request.kind.target.mul_f64(WAIT_SHARE);
                self.events.insert((now + wait, Event::GivenUp(id)));
                self.dispatch(now, index);
            }
            return;
        }
        self.results.refused += 1;
    }

    fn candidates(&self, only: Option<usize>) -> Vec<Candidate> {
        let servers = self.servers.iter().enumerate();
        let servers = servers.filter(|(index, _)| only.is_none_or(|only| only == *index));
        let candidates = servers.map(|(index, server)| Candidate {
            server: SERVERS[index].into(),
            is_primary: false,
            is_same_zone: true,
            watermark: Some(Watermark::default()),
            is_recent: true,
            load: server.queue.running() + server.queue.waiting(),
            standing: self.standings[index],
        });
        candidates.collect()
    }

    /// Compares the servers by the last reports of their owners.
    fn compare(&mut self, now: Duration) {
        if !self.adapts || std::env::var("NOPACE").is_ok() {
            return;
        }
        let now = self.start + now;
        let reports = self.servers.iter();
        let reports = reports.map(|server| Some(server.latest.as_ref()?.at(now)));
        let next = compare(&reports.collect::<Vec<Option<Report>>>());
        let normal = |standing: &Standing| standing.pace == Factor::NORMAL;
        let pairs = self.standings.iter().zip(&next);
        let changed = pairs.filter(|(former, next)| normal(former) != normal(next));
        if now > self.start + WARM_UP {
            self.results.changes += u32::try_from(changed.count()).expect("there are three");
        }
        self.standings = next;
    }

    /// Starts a request that holds a slot. Its owner reports with the permit.
    fn begin(&mut self, now: Duration, id: RequestId) {
        let request = self.requests.get_mut(&id).expect("it is known");
        let index = request.server;
        let server = &mut self.servers[index];
        let running = server.queue.running();
        let limit = server.queue.slots();
        let report = server.measure.report(SLOTS, limit, self.start + now);
        match &mut server.latest {
            Some(latest) => latest.update(report, self.start + now),
            None => server.latest = Some(Latest::new(report, self.start + now)),
        }
        request.started = Some(now);
        request.is_failed = request.draw < (self.scenario.failures)(index);
        let slowness = (self.scenario.slowness)(index, now, running);
        let share = if request.is_failed {
            FAILURE_SHARE
        } else {
            slowness
        };
        let end = now + request.work.mul_f64(share);
        self.events.insert((end, Event::Done(id)));
        self.results.started[index] += 1;
        let second = usize::try_from(now.as_secs()).expect("a run is short");
        let seconds = self.results.started_in.len().max(second + 1);
        self.results.started_in.resize(seconds, [0; 3]);
        self.results.started_in[second][index] += 1;
        self.results.most_running = self.results.most_running.max(running);
    }

    fn end(&mut self, now: Duration, id: RequestId) {
        let request = self.requests[&id];
        let started = request.started.expect("it has started");
        let response = if request.is_failed {
            self.results.failed += 1;
            Response::Failed
        } else {
            self.results.answered += 1;
            self.results.time += now.saturating_sub(request.arrived);
            Response::Served(now.saturating_sub(started))
        };
        let server = &mut self.servers[request.server];
        let priority = request.kind.priority.into();
        server.measure.record(&priority, response, self.start + now);
        server.queue.finish(id, self.start + now);
        self.dispatch(now, request.server);
    }

    fn give_up(&mut self, now: Duration, id: RequestId) {
        let request = self.requests[&id];
        if request.started.is_none() {
            let server = &mut self.servers[request.server];
            server.queue.finish(id, self.start + now);
            self.results.refused += 1;
        }
    }

    fn dispatch(&mut self, now: Duration, index: usize) {
        while let Some(decision) = self.servers[index].queue.next(self.start + now) {
            match decision {
                Decision::Start(id) => self.begin(now, id),
                // The caller is refused when it gives up.
                Decision::Refuse(..) => {}
            }
        }
    }
}

fn priority(name: &str) -> Priority {
    Priority {
        name: name.into(),
        target: Duration::from_secs(1),
        worth: 4,
        minimum_share: 12,
    }
}
