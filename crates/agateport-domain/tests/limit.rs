//! Concurrency limits that follow the measured latency.

use agateport_domain::admission::{Limit, PriorityLimit, Queue, Share, Ticket};
use agateport_domain::bundle::Priority;
use agateport_domain::prelude::*;
use proptest::prelude::*;
use test_case::test_case;

const SLOTS: usize = 4;

/// Normal latency in milliseconds.
const NORMAL: u64 = 20;

fn millis(latency: u64) -> Duration {
    Duration::from_millis(latency)
}

/// A limit whose slots are all in use, and the time.
struct Busy {
    limit: PriorityLimit,
    now: Instant,
}

impl Busy {
    fn new() -> Self {
        let now = Instant::now();
        let limit = PriorityLimit::new(SLOTS, now);
        Self { limit, now }
    }

    fn record(&mut self, priority: &str, latency: u64) -> usize {
        let slots = self.limit.slots();
        let priority = priority.into();
        self.now += millis(latency) / u32::try_from(slots).expect("there are few slots");
        self.limit
            .record(&priority, millis(latency), slots, self.now);
        self.limit.slots()
    }
}

/// Returns the samples until a limit is at most half of the slots.
fn samples_until_half(mut slots: impl FnMut() -> usize) -> usize {
    let halved = (1..1_000).find(|_| slots() <= SLOTS / 2);
    halved.expect("the limit falls")
}

/// Guards against a limit that follows a change too late: a server that slows down for some
/// seconds would be fast again before its limit falls.
#[test_case(3; "three times as slow")]
#[test_case(5; "five times as slow")]
#[test_case(10; "ten times as slow")]
fn a_change_is_followed_in_half_the_time(factor: u64) {
    let mut former = Limit::new(SLOTS);
    let mut busy = Busy::new();
    for _ in 0..200 {
        former.record(millis(NORMAL));
        assert_eq!(busy.record("1", NORMAL), SLOTS);
    }
    let former = samples_until_half(|| {
        former.record(millis(NORMAL * factor));
        former.slots()
    });
    let now = samples_until_half(|| busy.record("1", NORMAL * factor));
    assert!(now * 2 <= former, "{now} {former}");
}

/// Guards against a comparison over all priorities, in which more long statements look like
/// an overload.
#[test]
fn more_long_statements_are_no_overload() {
    let mut former = Limit::new(SLOTS);
    let mut busy = Busy::new();
    for index in 0..1_000 {
        let (priority, latency) = if index % 20 == 0 {
            ("3", NORMAL * 10)
        } else {
            ("1", NORMAL)
        };
        former.record(millis(latency));
        busy.record(priority, latency);
    }
    let mut least = SLOTS;
    for index in 0..200 {
        let (priority, latency) = if index % 2 == 0 {
            ("3", NORMAL * 10)
        } else {
            ("1", NORMAL)
        };
        former.record(millis(latency));
        least = least.min(busy.record(priority, latency));
    }
    assert!(former.slots() <= SLOTS / 2, "{}", former.slots());
    assert_eq!(least, SLOTS);
}

/// Guards against a limit that stays low because the latency stays high, although the
/// concurrency does not cause it.
#[test]
fn a_limit_that_does_not_help_is_raised_again() {
    let mut busy = Busy::new();
    for _ in 0..200 {
        busy.record("1", NORMAL);
    }
    let start = busy.now;
    let mut least = SLOTS;
    while busy.record("1", NORMAL * 4) < SLOTS || least == SLOTS {
        least = least.min(busy.limit.slots());
        assert!(busy.now < start + millis(10_000), "{:?}", busy.limit);
    }
    assert_eq!(least, SLOTS / 2);
}

/// Guards against a limit that no sample raises: between the recovery and the overload
/// ratio, only the probe does.
#[test]
fn a_lowered_limit_is_probed_upwards() {
    let now = Instant::now();
    let mut limit = PriorityLimit::new(SLOTS, now);
    let priority = "1".into();
    for _ in 0..200 {
        limit.record(&priority, millis(NORMAL), SLOTS, now);
    }
    for _ in 0..13 {
        limit.record(&priority, millis(NORMAL * 3), SLOTS, now);
    }
    assert_eq!(limit.slots(), SLOTS / 2);
    // The average falls below the overload ratio without a further change.
    for _ in 0..20 {
        limit.record(&priority, millis(NORMAL * 3 / 2), SLOTS, now);
    }
    let lowered = limit.slots();
    limit.record(
        &priority,
        millis(NORMAL * 3 / 2),
        SLOTS,
        now + millis(1_999),
    );
    assert_eq!(limit.slots(), lowered);
    limit.record(
        &priority,
        millis(NORMAL * 3 / 2),
        SLOTS,
        now + millis(2_000),
    );
    assert_eq!(limit.slots(), lowered + 1);
}

/// Guards against a queue that forgets what its limit learned when the owners change, and
/// against one that exceeds its new share.
#[test]
fn a_changed_share_keeps_the_limit() {
    let start = Instant::now();
    let priorities = [Priority {
        name: "1".into(),
        target: Duration::from_secs(10),
        worth: 1,
        minimum_share: 0,
    }];
    let share = |slots| Share {
        slots,
        connections: 16,
    };
    let mut queue = Queue::new(share(8), 64, &priorities, start).expect("the share is valid");
    queue.limit_by_priority(start);
    let mut now = start;
    for request in 0..300 {
        // Each request ends while seven others hold a slot.
        let ticket = Ticket {
            request,
            priority: "1".into(),
            caller: "tester".into(),
            due: now + Duration::from_secs(10),
        };
        queue.offer(ticket, now).expect("the target can be met");
        now += millis(if request < 250 { 2 } else { 40 });
        if let Some(ended) = request.checked_sub(7) {
            queue.finish(ended, now);
            while queue.next(now).is_some() {}
        }
    }
    let lowered = queue.slots();
    assert!(lowered < 8, "{lowered}");
    queue
        .reconfigure(share(4), 64, &priorities, now)
        .expect("the share is valid");
    assert!(queue.slots() < 4, "{}", queue.slots());
}

proptest! {
    /// Guards against a limit that exceeds the slots of the share, or allows none.
    #[test]
    fn a_limit_is_within_its_share(
        slots in 1usize..9,
        samples in prop::collection::vec((0u8..4, 0u64..2_000, 1usize..12, 0u64..4_000), 0..400),
        next in 1usize..9,
    ) {
        let mut now = Instant::now();
        let mut limit = PriorityLimit::new(slots, now);
        for (index, (priority, latency, in_use, pause)) in samples.iter().enumerate() {
            let is_resized = index >= samples.len() / 2;
            if is_resized {
                limit.resize(next);
            }
            let slots = if is_resized { next } else { slots };
            now += millis(*pause);
            limit.record(&priority.to_string().into(), millis(*latency), *in_use, now);
            prop_assert!((1..=slots).contains(&limit.slots()), "{limit:?}");
        }
    }
}
