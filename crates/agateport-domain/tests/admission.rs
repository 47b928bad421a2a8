//! Invariants and scenarios of the queue of one upstream server, the circuit
//! breaker and the throttle.

#![expect(
    clippy::cast_possible_truncation,
    clippy::unwrap_used,
    reason = "numbers of requests are small, and an invalid fixture fails the test"
)]

use agateport_domain::admission::{Admission, Breaker, Decision, Queue, Share, Throttle, Ticket};
use agateport_domain::bundle::Priority;
use agateport_domain::prelude::*;
use agateport_domain::request::{Reason, Refusal};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Name, target in milliseconds, worth and minimum share in percent of each
/// priority.
const PRIORITIES: [(&str, u64, u32, u32); 3] = [
    ("payment", 250, 100, 20),
    ("counter", 500, 20, 20),
    ("archive", 5_000, 1, 5),
];

const SHARE: Share = Share {
    slots: 3,
    connections: 5,
};

fn priorities() -> Vec<Priority> {
    let all = PRIORITIES
        .iter()
        .map(|(name, target, worth, share)| Priority {
            name: (*name).into(),
            target: Duration::from_millis(*target),
            worth: *worth,
            minimum_share: *share,
        });
    all.collect()
}

fn ticket(request: RequestId, class: usize, caller: &str, now: Instant) -> Ticket {
    let (name, target, _, _) = PRIORITIES[class];
    Ticket {
        request,
        priority: name.into(),
        caller: caller.into(),
        due: now + Duration::from_millis(target),
    }
}

#[derive(Clone, Debug)]
enum Step {
    Offer { class: usize, caller: u8 },
    Wait(u64),
    Finish(usize),
    Pause(usize),
    Resume(usize),
    Abandon(RequestId),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..3usize, 0..3u8).prop_map(|(class, caller)| Step::Offer { class, caller }),
        3 => (0..40u64).prop_map(Step::Wait),
        3 => (0..5usize).prop_map(Step::Finish),
        1 => (0..5usize).prop_map(Step::Pause),
        2 => (0..5usize).prop_map(Step::Resume),
        1 => (0..200u64).prop_map(Step::Abandon),
    ]
}

/// A queue with a model of its requests.
struct Model {
    queue: Queue,
    now: Instant,
    offered: Vec<(usize, u8)>,
    running: Vec<RequestId>,
    paused: Vec<RequestId>,
    resumed: BTreeSet<RequestId>,
    started: Vec<RequestId>,
    refused: BTreeSet<RequestId>,
    abandoned: BTreeSet<RequestId>,
}

impl Model {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            queue: Queue::new(SHARE, 8, &priorities(), now).unwrap(),
            now,
            offered: Vec::new(),
            running: Vec::new(),
            paused: Vec::new(),
            resumed: BTreeSet::new(),
            started: Vec::new(),
            refused: BTreeSet::new(),
            abandoned: BTreeSet::new(),
        }
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Offer { class, caller } => self.offer(*class, *caller),
            Step::Wait(milliseconds) => self.now += Duration::from_millis(*milliseconds),
            Step::Finish(index) if *index < self.running.len() => {
                let request = self.running.remove(*index);
                self.queue.finish(request, self.now);
            }
            Step::Pause(index) if *index < self.running.len() => {
                let request = self.running.remove(*index);
                self.queue.pause(request, self.now);
                self.paused.push(request);
            }
            Step::Resume(index) if *index < self.paused.len() => {
                let request = self.paused.remove(*index);
                self.queue.resume(request, self.now);
                self.running.push(request);
                self.resumed.insert(request);
            }
            Step::Abandon(request) if self.is_waiting(*request) => {
                self.queue.finish(*request, self.now);
                self.abandoned.insert(*request);
            }
            _ => {}
        }
        self.advance();
    }

    fn offer(&mut self, class: usize, caller: u8) {
        let request = self.offered.len() as RequestId;
        self.offered.push((class, caller));
        let ticket = ticket(request, class, &caller.to_string(), self.now);
        match self.queue.offer(ticket, self.now) {
            Ok(Admission::Started) => self.start(request),
            Ok(Admission::Queued { evicted, .. }) => {
                self.refused.extend(evicted.map(|(request, _)| request));
            }
            Err(_) => drop(self.refused.insert(request)),
        }
    }

    fn advance(&mut self) {
        while let Some(decision) = self.queue.next(self.now) {
            match decision {
                Decision::Start(request) => self.start(request),
                Decision::Refuse(request, _) => drop(self.refused.insert(request)),
            }
        }
    }

    fn start(&mut self, request: RequestId) {
        assert!(
            self.running.len() < SHARE.slots,
            "the request {request} started without a free slot"
        );
        self.running.push(request);
        self.started.push(request);
    }

    fn is_waiting(&self, request: RequestId) -> bool {
        (request as usize) < self.offered.len()
            && !self.started.contains(&request)
            && !self.refused.contains(&request)
            && !self.abandoned.contains(&request)
    }

    fn check(&self) {
        // Only resumed transactions may exceed the number of slots.
        let resumed = self
            .running
            .iter()
            .filter(|request| self.resumed.contains(request));
        assert!(self.queue.running() <= SHARE.slots + resumed.count());
        assert!(self.queue.connections_in_use() <= SHARE.connections);
        assert!(self.queue.waiting() <= 3 * 8);
        assert_eq!(self.queue.running(), self.running.len());
        let waiting =
            (0..self.offered.len() as RequestId).filter(|request| self.is_waiting(*request));
        assert_eq!(self.queue.waiting(), waiting.count());
        for request in &self.started {
            assert!(
                !self.refused.contains(request),
                "the refused request {request} was started"
            );
            assert!(
                !self.abandoned.contains(request),
                "the abandoned request {request} was started"
            );
        }
        self.check_order();
    }

    fn check_order(&self) {
        let mut last = BTreeMap::new();
        for request in &self.started {
            let before = last.insert(self.offered[*request as usize], *request);
            assert!(before.is_none_or(|before| before < *request));
        }
    }

    /// Finishes running requests until none is waiting.
    fn drain(&mut self) {
        for _ in 0..2 * self.offered.len() + 10 {
            self.now += Duration::from_millis(1);
            self.apply(&Step::Resume(0));
            self.apply(&Step::Finish(0));
        }
    }
}

proptest! {
    #[test]
    fn invariants_hold_after_any_steps(steps in prop::collection::vec(step(), 0..200)) {
        let mut model = Model::new();
        for step in &steps {
            model.apply(step);
            model.check();
        }
        model.drain();
        model.check();
        prop_assert_eq!(model.queue.waiting(), 0);
        prop_assert_eq!(model.queue.connections_in_use(), 0);
    }

}

proptest! {
    // Each case simulates one minute.
    #![proptest_config(ProptestConfig::with_cases(32))]

    #[test]
    fn minimum_shares_hold_under_saturation(
        hold_times in prop::collection::vec(1..60u64, 3),
        seed in any::<u64>(),
    ) {
        let shares = shares_of(&hold_times, seed);
        for (index, (name, _, _, minimum)) in PRIORITIES.iter().enumerate() {
            let share = shares[index];
            // A shortfall of one percent is allowed, because requests are
            // indivisible.
            let lowest = f64::from(*minimum) - 1.0;
            prop_assert!(share >= lowest, "{} has {:.1} percent", name, share);
        }
    }
}

/// Keeps requests of every priority waiting for a simulated minute; returns the
/// percentage of the slot time that each priority got.
fn shares_of(hold_times: &[u64], seed: u64) -> Vec<f64> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let start = Instant::now();
    let end = start + Duration::from_mins(1);
    let mut queue = Queue::new(SHARE, 8, &priorities(), start).unwrap();
    let mut ends: BTreeMap<(Instant, RequestId), usize> = BTreeMap::new();
    let mut classes = Vec::new();
    let mut used = [0.0; 3];
    let mut now = start;
    while now < end {
        for class in 0..3 {
            let request = classes.len() as RequestId;
            let mut ticket = ticket(request, class, "a", now);
            ticket.due = now + Duration::from_hours(1);
            let offer = queue.offer(ticket, now);
            classes.push(class);
            if offer == Ok(Admission::Started) {
                ends.insert((now + Duration::from_millis(1), request), class);
            }
        }
        while let Some(Decision::Start(request)) = queue.next(now) {
            let class = classes[request as usize];
            let time = random.random_range(hold_times[class]..=2 * hold_times[class]);
            used[class] += f64::from(u32::try_from(time).unwrap());
            ends.insert((now + Duration::from_millis(time), request), class);
        }
        let ((at, request), _) = ends.pop_first().unwrap();
        now = at;
        queue.finish(request, now);
    }
    let total: f64 = used.iter().sum();
    used.iter().map(|time| 100.0 * time / total).collect()
}

#[test]
fn callers_take_turns() {
    let now = Instant::now();
    let share = Share {
        slots: 1,
        connections: 1,
    };
    let mut queue = Queue::new(share, 8, &priorities(), now).unwrap();
    for (request, caller) in [(0, "a"), (1, "a"), (2, "a"), (3, "a"), (4, "b"), (5, "c")] {
        queue.offer(ticket(request, 2, caller, now), now).unwrap();
    }
    let mut order = Vec::new();
    for request in [0, 1, 4, 5, 2] {
        queue.finish(request, now);
        order.extend(queue.next(now));
    }
    insta::assert_debug_snapshot!(order);
}

#[test]
fn target_that_cannot_be_met_is_refused_at_once() {
    let mut now = Instant::now();
    let mut queue = Queue::new(SHARE, 256, &priorities(), now).unwrap();
    for request in 0..20 {
        queue.offer(ticket(request, 0, "a", now), now).unwrap();
        now += Duration::from_millis(50);
        queue.finish(request, now);
    }
    let refusals = (100..).find_map(|request| {
        let offer = queue.offer(ticket(request, 0, "a", now), now);
        offer.err().map(|refusal| (request, refusal))
    });
    insta::assert_debug_snapshot!(refusals);
}

#[test]
fn refusals_end_when_the_server_is_fast_again() {
    let mut now = Instant::now();
    let mut queue = Queue::new(SHARE, 256, &priorities(), now).unwrap();
    for request in 0..20 {
        queue.offer(ticket(request, 0, "a", now), now).unwrap();
        now += Duration::from_millis(200);
        queue.finish(request, now);
    }
    queue.offer(ticket(20, 0, "a", now), now).unwrap();
    now += Duration::from_secs(30);
    queue.finish(20, now);
    // This request keeps the server from being idle.
    queue.offer(ticket(21, 2, "b", now), now).unwrap();
    let mut transcript = Vec::new();
    for request in 22..28 {
        let outcome = match queue.offer(ticket(request, 0, "a", now), now) {
            Ok(Admission::Started) => "started".to_owned(),
            Ok(Admission::Queued { .. }) => "queued".to_owned(),
            Err(refusal) => refusal.to_string(),
        };
        transcript.push(outcome);
        queue.finish(request, now + Duration::from_millis(5));
        now += Duration::from_secs(1);
    }
    insta::assert_snapshot!(transcript.join("\n"));
}

#[test]
fn idle_server_accepts_regardless_of_estimates() {
    let start = Instant::now();
    let mut queue = Queue::new(SHARE, 256, &priorities(), start).unwrap();
    queue.offer(ticket(0, 0, "a", start), start).unwrap();
    let now = start + Duration::from_secs(30);
    queue.finish(0, now);
    let offer = queue.offer(ticket(1, 0, "a", now), now);
    assert_eq!(offer, Ok(Admission::Started));
}

#[test]
fn transaction_resumes_while_all_slots_wait_for_its_locks() {
    let now = Instant::now();
    let mut queue = Queue::new(SHARE, 256, &priorities(), now).unwrap();
    queue.offer(ticket(0, 0, "a", now), now).unwrap();
    queue.pause(0, now);
    for request in 1..4 {
        queue.offer(ticket(request, 0, "b", now), now).unwrap();
    }
    queue.resume(0, now);
    assert_eq!((queue.running(), queue.connections_in_use()), (4, 4));
}

#[test]
fn breaker_opens_and_probes() {
    let mut now = Instant::now();
    let mut breaker = Breaker::default();
    let mut transcript = Vec::new();
    for is_answered in [false, false, false, false, true] {
        let admitted = breaker.admit(now);
        transcript.push(format!("{admitted:?}"));
        if let Err(wait) = admitted {
            now += wait;
            transcript.push(format!("probe {:?}", breaker.admit(now)));
        }
        if is_answered {
            breaker.record_success();
        } else {
            breaker.record_failure(now);
        }
    }
    transcript.push(format!("{:?}", breaker.admit(now)));
    insta::assert_snapshot!(transcript.join("\n"));
}

#[test]
fn throttle_follows_what_the_owner_accepts() {
    let mut now = Instant::now();
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut throttle = Throttle::new(now);
    let refusal = Refusal::from(Reason::TargetMissed);
    let mut transcript = Vec::new();
    // The owner accepts every tenth request at first, then all of them.
    for (name, every) in [("flood", 10), ("calm", 1)] {
        let mut admitted = 0;
        for request in 0..2_000 {
            now += Duration::from_millis(1);
            let is_admitted = throttle.admit(now, &mut random).is_ok();
            admitted += i32::from(is_admitted);
            if is_admitted && request % every == 0 {
                throttle.record_accepted();
            } else if is_admitted {
                throttle.record_refused(&refusal);
            }
        }
        transcript.push(format!("{name}: {admitted} of 2000 admitted"));
    }
    insta::assert_snapshot!(transcript.join("\n"));
}
