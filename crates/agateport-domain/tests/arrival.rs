//! Replays of bursts through the queue of an owner, in simulated time: how late what cannot
//! be served is refused, and what the wait is worth.

#![expect(
    clippy::cast_possible_truncation,
    reason = "the numbers of requests are small"
)]

use agateport_domain::admission::{Admission, Decision, Queue, Share, Ticket};
use agateport_domain::bundle::Priority;
use agateport_domain::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt::{Display, Formatter, Write};

/// Share of the target for which a request waits for a slot before it is refused.
const WAIT_SHARE: f64 = 0.22;

/// Share of the target after which a refusal is late.
const LATE_SHARE: f64 = 0.2;

/// Slots of the owner.
const SLOTS: u8 = 4;

/// Load before and after the burst, relative to the capacity.
const BASE_LOAD: f64 = 0.6;

/// When the burst begins and ends, and when the last request arrives.
const BURST: [f64; 3] = [2.0, 6.0, 8.0];

const SEEDS: u64 = 10;

/// Retries of a refused request.
const RETRIES: u32 = 2;

/// Retry delay that a node suggests if a refusal has none.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// A kind of requests: name, share of the load, mean time in a slot in milliseconds, target
/// in milliseconds and worth.
#[derive(Clone, Copy)]
struct Kind(&'static str, f64, f64, u64, u32);

/// Kinds with different worth, times and targets.
const KINDS: [Kind; 4] = [
    Kind("booking", 0.15, 5.0, 100, 8),
    Kind("quote", 0.4, 14.0, 200, 4),
    Kind("lookup", 0.2, 22.0, 800, 1),
    Kind("report", 0.25, 80.0, 1_500, 1),
];

#[derive(Clone, Copy)]
struct Request {
    kind: usize,
    arrived: Duration,
    work: Duration,
    target: Duration,
    is_decided: bool,
    /// When the caller sent the first attempt, and the number of this one.
    first: Duration,
    attempt: u32,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival(RequestId),
    Waited(RequestId, Duration),
    GivenUp(RequestId),
    Done(RequestId),
    Upkeep,
}

/// What became of the requests of a replay.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    asked_worth: f64,
    served_worth: f64,
    late: u32,
    refused: u32,
    /// Refusals without a wait.
    on_arrival: u32,
    /// Refusals after [`LATE_SHARE`] of the target.
    refused_late: u32,
    /// Latest refusal, as a share of the target.
    latest: f64,
    /// Time for which refused requests waited.
    held: f64,
    /// Worth of what was answered within the target since the first attempt.
    prompt_worth: f64,
}

impl Outcome {
    fn worth(&self) -> f64 {
        self.served_worth / self.asked_worth
    }
}

impl Display for Outcome {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "worth in time since the attempt {:.3}, since the first one {:.3}, {} late; {} refused, {} on arrival, {} after a fifth of the \
             target, latest after {:.2}; held for {:.1} s",
            self.worth(),
            self.prompt_worth / self.asked_worth,
            self.late,
            self.refused,
            self.on_arrival,
            self.refused_late,
            self.latest,
            self.held
        )
    }
}

struct Replay {
    start: Instant,
    events: BTreeSet<(Duration, Event)>,
    requests: Vec<Request>,
    queue: Queue,
    refuses_on_arrival: bool,
    outcome: Outcome,
}

impl Replay {
    fn new(factor: f64, refuses_on_arrival: bool, seed: u64) -> Self {
        let start = Instant::now();
        let priorities = KINDS.map(|Kind(name, _, _, target, worth)| Priority {
            name: name.into(),
            target: Duration::from_millis(target),
            worth,
            minimum_share: 12,
        });
        let share = Share {
            slots: usize::from(SLOTS),
            connections: 20,
        };
        let queue = Queue::new(share, 64, &priorities, start).expect("a share");
        let queue = queue.reserving();
        let mut replay = Self {
            start,
            events: BTreeSet::new(),
            requests: Vec::new(),
            queue: if refuses_on_arrival {
                queue.refusing_on_arrival()
            } else {
                queue
            },
            refuses_on_arrival,
            outcome: Outcome::default(),
        };
        replay.arrivals(factor, seed);
        let upkeeps = (0..100).map(|round| Duration::from_millis(100) * round);
        replay.events.extend(upkeeps.map(|at| (at, Event::Upkeep)));
        replay
    }

    fn arrivals(&mut self, factor: f64, seed: u64) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let [begin, end, last] = BURST;
        for (kind, Kind(_, share, work, target, _)) in KINDS.iter().enumerate() {
            let mut at = 0.0;
            loop {
                let load = if (begin..end).contains(&at) {
                    factor
                } else {
                    BASE_LOAD
                };
                let rate = share * load * f64::from(SLOTS) / (work / 1_000.0);
                at += -f64::ln(random.random_range(f64::MIN_POSITIVE..1.0)) / rate;
                if at > last {
                    break;
                }
                let work = work * random.random_range(0.5..1.5) / 1_000.0;
                let request = Request {
                    kind,
                    arrived: Duration::from_secs_f64(at),
                    work: Duration::from_secs_f64(work),
                    target: Duration::from_millis(*target),
                    is_decided: false,
                    first: Duration::from_secs_f64(at),
                    attempt: 0,
                };
                let id = self.requests.len() as RequestId;
                self.events.insert((request.arrived, Event::Arrival(id)));
                self.requests.push(request);
            }
        }
    }

    fn run(mut self) -> Outcome {
        while let Some((now, event)) = self.events.pop_first() {
            match event {
                Event::Arrival(id) => self.arrive(id, now),
                Event::Waited(id, latest) => {
                    let is_due = self.queue.is_due_to_start(id, self.start + now);
                    if !self.requests[id as usize].is_decided {
                        let end = if is_due && !self.refuses_on_arrival {
                            latest
                        } else {
                            now
                        };
                        self.events.insert((end, Event::GivenUp(id)));
                    }
                }
                Event::GivenUp(id) => {
                    if !self.requests[id as usize].is_decided {
                        self.queue.finish(id, self.start + now);
                        self.refuse(id, now, None);
                    }
                }
                Event::Done(id) => {
                    self.queue.finish(id, self.start + now);
                    let request = &self.requests[id as usize];
                    if now <= request.arrived + request.target {
                        let worth = f64::from(KINDS[request.kind].4);
                        self.outcome.served_worth += worth;
                        if now <= request.first + request.target {
                            self.outcome.prompt_worth += worth;
                        }
                    } else {
                        self.outcome.late += 1;
                    }
                }
                Event::Upkeep => {}
            }
            self.dispatch(now);
        }
        self.outcome
    }

    fn arrive(&mut self, id: RequestId, now: Duration) {
        let request = &self.requests[id as usize];
        let Kind(name, _, _, _, worth) = KINDS[request.kind];
        if request.attempt == 0 {
            self.outcome.asked_worth += f64::from(worth);
        }
        let target = request.target;
        let ticket = Ticket {
            request: id,
            priority: name.into(),
            caller: "caller".into(),
            due: self.start + now + target,
        };
        match self.queue.offer(ticket, self.start + now) {
            Ok(Admission::Started) => self.begin(id, now),
            Ok(Admission::Queued {
                latest_start,
                evicted,
            }) => {
                let latest = latest_start.saturating_duration_since(self.start);
                let share = if self.refuses_on_arrival {
                    LATE_SHARE
                } else {
                    WAIT_SHARE
                };
                let waited = latest.min(now + target.mul_f64(share));
                self.events.insert((waited, Event::Waited(id, latest)));
                if let Some((evicted, refusal)) = evicted {
                    self.refuse(evicted, now, refusal.retry_after);
                }
            }
            Err(refusal) => self.refuse(id, now, refusal.retry_after),
        }
    }

    fn dispatch(&mut self, now: Duration) {
        while let Some(decision) = self.queue.next(self.start + now) {
            match decision {
                Decision::Start(id) => self.begin(id, now),
                Decision::Refuse(id, refusal) => self.refuse(id, now, refusal.retry_after),
            }
        }
        assert!(self.queue.running() <= usize::from(SLOTS));
    }

    fn begin(&mut self, id: RequestId, now: Duration) {
        let request = &mut self.requests[id as usize];
        assert!(!request.is_decided, "each request is decided once");
        request.is_decided = true;
        self.events.insert((now + request.work, Event::Done(id)));
    }

    fn refuse(&mut self, id: RequestId, now: Duration, retry_after: Option<Duration>) {
        let request = &mut self.requests[id as usize];
        assert!(!request.is_decided, "each request is decided once");
        request.is_decided = true;
        let waited = now.saturating_sub(request.arrived);
        let share = waited.div_duration_f64(request.target);
        let outcome = &mut self.outcome;
        outcome.refused += 1;
        outcome.on_arrival += u32::from(waited.is_zero());
        outcome.refused_late += u32::from(share > LATE_SHARE);
        outcome.latest = outcome.latest.max(share);
        outcome.held += waited.as_secs_f64();
        let retry_after = retry_after.unwrap_or(DEFAULT_RETRY_DELAY);
        let attempt = request.attempt + 1;
        if attempt <= RETRIES {
            let retry = Request {
                arrived: now + retry_after,
                attempt,
                is_decided: false,
                ..*request
            };
            let id = self.requests.len() as RequestId;
            self.events.insert((retry.arrived, Event::Arrival(id)));
            self.requests.push(retry);
        }
    }
}

/// Runs the replay with several seeds, and returns the sum of the outcomes.
fn replay(factor: f64, refuses_on_arrival: bool) -> Outcome {
    let mut sum = Outcome::default();
    for seed in 0..SEEDS {
        let outcome = Replay::new(factor, refuses_on_arrival, seed).run();
        sum.asked_worth += outcome.asked_worth;
        sum.served_worth += outcome.served_worth;
        sum.late += outcome.late;
        sum.prompt_worth += outcome.prompt_worth;
        sum.refused += outcome.refused;
        sum.on_arrival += outcome.on_arrival;
        sum.refused_late += outcome.refused_late;
        sum.latest = sum.latest.max(outcome.latest);
        sum.held += outcome.held;
    }
    sum
}

/// Guards against requests that are held without an attempt and then refused late, and
/// against refusals on arrival that cost worth which could have been served.
#[test]
fn what_cannot_be_served_is_refused_on_arrival() {
    let mut transcript = String::new();
    let mut worth = [[0.0; 2]; 2];
    for factor in [1.0, 1.5, 2.0, 3.0] {
        let off = replay(factor, false);
        let on = replay(factor, true);
        writeln!(transcript, "{factor:.1} off: {off}\n{factor:.1} on: {on}")
            .expect("writing to a string succeeds");
        assert_eq!(on.refused_late, 0, "{on}");
        if factor > 1.0 {
            assert!(on.held < off.held / 4.0, "{on}; without: {off}");
            for (sum, outcome) in worth.iter_mut().zip([off, on]) {
                sum[0] += outcome.worth();
                sum[1] += outcome.prompt_worth / outcome.asked_worth;
            }
        }
    }
    let [off, on] = worth;
    assert!(
        on[0] >= off[0] && on[1] >= off[1],
        "{on:?}, without: {off:?}"
    );
    insta::assert_snapshot!("bursts", transcript);
}

/// Guards against callers that retry together, before the queue has drained, or before those
/// whose requests are worth more.
#[test]
fn retries_are_spread_and_ordered_by_worth() {
    let now = Instant::now();
    let priorities = [("urgent", 8), ("other", 1)].map(|(name, worth)| Priority {
        name: name.into(),
        target: Duration::from_millis(100),
        worth,
        minimum_share: 0,
    });
    let share = Share {
        slots: 1,
        connections: 4,
    };
    let queue = Queue::new(share, 64, &priorities, now).expect("a share");
    let mut queue = queue.refusing_on_arrival();
    let hold = Duration::from_millis(50);
    let ticket = |request, priority: &str, now| Ticket {
        request,
        priority: priority.into(),
        caller: "caller".into(),
        due: now + Duration::from_millis(100),
    };
    let mut now = now;
    for (request, priority) in [(1, "urgent"), (2, "other")] {
        let started = queue.offer(ticket(request, priority, now), now);
        assert_eq!(started, Ok(Admission::Started));
        now += hold;
        queue.finish(request, now);
    }
    let started = queue.offer(ticket(3, "urgent", now), now);
    assert_eq!(started, Ok(Admission::Started));
    let mut refuse = |request, priority| {
        let refusal = queue.offer(ticket(request, priority, now), now);
        let refusal = refusal.expect_err("the slot is in use for longer than a request may wait");
        refusal.retry_after.expect("a delay")
    };
    let urgent: Vec<_> = (4..12).map(|request| refuse(request, "urgent")).collect();
    let other: Vec<_> = (12..20).map(|request| refuse(request, "other")).collect();
    let spread = |delays: &[Duration]| delays.iter().collect::<BTreeSet<_>>().len();
    assert_eq!(spread(&urgent), urgent.len(), "{urgent:?}");
    assert_eq!(spread(&other), other.len(), "{other:?}");
    assert!(urgent.iter().max() < other.iter().max(), "{other:?}");
    assert!(urgent[0] < other[0], "{urgent:?} {other:?}");
    let longest = Duration::from_millis(2_500);
    assert!(other.iter().all(|delay| *delay <= longest), "{other:?}");
}
