//! Replays of a workspace that sends several times its usual load, through the queue of one
//! server, in simulated time. Arrivals and running times are drawn from a seed.

use agateport_domain::admission::{Admission, Decision, Queue, Share, Ticket};
use agateport_domain::bundle::Priority;
use agateport_domain::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

/// Share of the server: its slots, and few enough connections that open transactions can
/// use them up.
const SHARE: Share = Share {
    slots: 4,
    connections: 8,
};

/// Maximum number of waiting requests.
const CAPACITY: usize = 32;

/// Usual requests per second of the large workspaces, of which the first one surges, and of
/// the small ones. Together they use about 60 percent of the slots.
const LARGE: (usize, f64) = (3, 28.0);
const SMALL: (usize, f64) = (17, 5.0);

/// Allowance of the surging workspace in requests per second, and its burst. All that it
/// sends is within them, so only the queue protects the others.
const RATE: f64 = 240.0;
const BURST: f64 = 60.0;

/// Running time of a statement in microseconds.
const WORK: std::ops::Range<u64> = 5_000..15_000;

/// Share of the requests that are transactions, their number of statements, and the pause
/// between two of them.
const TRANSACTIONS: f64 = 0.2;
const STATEMENTS: u32 = 3;
const PAUSE: Duration = Duration::from_millis(20);

/// Time within which a request must be answered.
const TARGET: Duration = Duration::from_millis(300);

/// Duration of a replay.
const DURATION: Duration = Duration::from_secs(30);

/// Number of seeds that are added up.
const SEEDS: u64 = 3;

/// Minimum share of the other workspaces' requests that are served during a surge.
const MIN_STARTED: f64 = 0.999;

/// Maximum mean wait of the other workspaces' requests, relative to that of the surging
/// one's.
const MAX_RELATIVE_WAIT: f64 = 0.8;

/// By what the queue shares slots.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Sharing {
    /// By the workspace, as the product does.
    ByWorkspace,
    /// In the order of arrival.
    InOrder,
}

/// What some workspaces got.
#[derive(Clone, Copy, Debug, Default)]
struct Service {
    offered: u32,
    started: u32,
    /// Sum of the time that started requests waited.
    waited: Duration,
}

impl Service {
    fn started_share(self) -> f64 {
        f64::from(self.started) / f64::from(self.offered)
    }

    fn mean_wait(self) -> Duration {
        self.waited / self.started.max(1)
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival(usize),
    /// A statement of the request has ended; this many follow.
    Ended(RequestId, u32),
    Resumed(RequestId, u32),
}

#[derive(Clone, Copy, Debug)]
struct Request {
    workspace: usize,
    arrived: Duration,
    statements: u32,
}

/// A queue with its requests, and the events to come.
struct Replay {
    queue: Queue,
    start: Instant,
    now: Duration,
    sharing: Sharing,
    factor: f64,
    random: Pcg64Mcg,
    requests: Vec<Request>,
    events: BTreeSet<(Duration, Event)>,
    surging: Service,
    others: Service,
}

impl Replay {
    fn new(sharing: Sharing, factor: f64, seed: u64) -> Self {
        let start = Instant::now();
        let priority = Priority {
            name: "ordinary".into(),
            target: TARGET,
            worth: 1,
            minimum_share: 0,
        };
        let queue = Queue::new(SHARE, CAPACITY, &[priority], start).expect("a valid share");
        let mut replay = Self {
            queue,
            start,
            now: Duration::ZERO,
            sharing,
            factor,
            random: Pcg64Mcg::seed_from_u64(seed),
            requests: Vec::new(),
            events: BTreeSet::new(),
            surging: Service::default(),
            others: Service::default(),
        };
        for workspace in 0..LARGE.0 + SMALL.0 {
            replay.schedule_arrival(workspace);
        }
        replay
    }

    fn run(mut self) -> Self {
        while let Some((at, event)) = self.events.pop_first() {
            self.now = at;
            match event {
                Event::Arrival(workspace) if at < DURATION => self.arrive(workspace),
                Event::Arrival(_) => {}
                Event::Ended(request, 0) => self.queue.finish(request, self.start + at),
                Event::Ended(request, left) => {
                    self.queue.pause(request, self.start + at);
                    self.events
                        .insert((at + PAUSE, Event::Resumed(request, left)));
                }
                Event::Resumed(request, left) => {
                    self.queue.resume(request, self.start + at);
                    self.run_statement(request, left);
                }
            }
            while let Some(decision) = self.queue.next(self.start + self.now) {
                if let Decision::Start(request) = decision {
                    self.begin(request);
                }
            }
        }
        self
    }

    fn schedule_arrival(&mut self, workspace: usize) {
        let rate = match workspace {
            0 => LARGE.1 * self.factor,
            workspace if workspace < LARGE.0 => LARGE.1,
            _ => SMALL.1,
        };
        let uniform: f64 = self.random.random_range(f64::MIN_POSITIVE..1.0);
        let gap = Duration::from_secs_f64(-uniform.ln() / rate);
        self.events
            .insert((self.now + gap, Event::Arrival(workspace)));
    }

    fn arrive(&mut self, workspace: usize) {
        self.schedule_arrival(workspace);
        let request = RequestId::try_from(self.requests.len()).expect("few requests");
        let is_transaction = self.random.random_bool(TRANSACTIONS);
        self.requests.push(Request {
            workspace,
            arrived: self.now,
            statements: if is_transaction { STATEMENTS } else { 1 },
        });
        self.service(workspace).offered += 1;
        let caller = match self.sharing {
            Sharing::ByWorkspace => workspace.to_string(),
            Sharing::InOrder => "everyone".to_owned(),
        };
        let now = self.start + self.now;
        let ticket = Ticket {
            request,
            priority: "ordinary".into(),
            caller: caller.as_str().into(),
            due: now + TARGET,
        };
        if let Ok(Admission::Started) = self.queue.offer(ticket, now) {
            self.begin(request);
        }
    }

    fn begin(&mut self, request: RequestId) {
        let Request {
            workspace,
            arrived,
            statements,
        } = self.requests[usize::try_from(request).expect("few requests")];
        let waited = self.now.saturating_sub(arrived);
        let service = self.service(workspace);
        service.started += 1;
        service.waited += waited;
        self.run_statement(request, statements);
    }

    fn run_statement(&mut self, request: RequestId, left: u32) {
        let work = Duration::from_micros(self.random.random_range(WORK));
        self.events
            .insert((self.now + work, Event::Ended(request, left - 1)));
    }

    fn service(&mut self, workspace: usize) -> &mut Service {
        match workspace {
            0 => &mut self.surging,
            _ => &mut self.others,
        }
    }
}

/// Returns what the surging workspace and the others got.
fn replay(sharing: Sharing, factor: f64) -> (Service, Service) {
    let (mut surging, mut others) = (Service::default(), Service::default());
    for seed in 0..SEEDS {
        let replay = Replay::new(sharing, factor, seed).run();
        let sent = f64::from(replay.surging.offered);
        assert!(sent <= RATE * DURATION.as_secs_f64() + BURST);
        for (sum, service) in [(&mut surging, replay.surging), (&mut others, replay.others)] {
            sum.offered += service.offered;
            sum.started += service.started;
            sum.waited += service.waited;
        }
    }
    (surging, others)
}

/// Guards against a surge that displaces the other workspaces from the queue, the slots and
/// the connections: the others are all served, and the surging workspace bears the wait.
#[test_case(3.0, 10; "three times the usual load")]
#[test_case(5.0, 15; "five times the usual load")]
#[test_case(7.5, 20; "more than the server can run")]
fn a_surge_does_not_displace_the_other_workspaces(factor: f64, wait: u64) {
    let (surging, others) = replay(Sharing::ByWorkspace, factor);
    let figures = format!("others {others:?}, surging {surging:?}");
    assert!(others.started_share() >= MIN_STARTED, "{figures}");
    assert!(
        others.mean_wait() <= Duration::from_millis(wait),
        "{figures}"
    );
    let bound = surging.mean_wait().mul_f64(MAX_RELATIVE_WAIT);
    assert!(others.mean_wait() <= bound, "{figures}");
}

/// Guards against a load that would displace nobody anyway, with which the test above would
/// show nothing.
#[test]
fn the_surge_displaces_the_others_if_requests_are_served_in_order() {
    let (surging, others) = replay(Sharing::InOrder, 7.5);
    let figures = format!("others {others:?}, surging {surging:?}");
    assert!(others.started_share() < 0.9, "{figures}");
    assert!(others.mean_wait() > Duration::from_millis(60), "{figures}");
}
