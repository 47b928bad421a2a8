//! The stages of a stop, and what is still passed on in each of them.

use agateport_domain::drain::{Schedule, Step};
use agateport_domain::prelude::*;
use std::fmt::Write;

const GRACE: Duration = Duration::from_secs(6);

#[test]
fn nothing_is_passed_on_that_cannot_end_before_the_cut() {
    let requested_at = Instant::now();
    let schedule = Schedule::new(requested_at, GRACE);
    let steps = [
        Step::Begin,
        Step::Next,
        Step::Commit,
        Step::Single,
        Step::Lent,
    ];
    let mut table = String::new();
    for timeout in [300, 2_000] {
        for after in [0, 2_500, 2_999, 3_000, 3_100, 3_101, 4_800, 4_801, 5_100] {
            let now = requested_at + Duration::from_millis(after);
            let timeout = Duration::from_millis(timeout);
            let allowed = steps.map(|step| (step, schedule.allows(step, now, timeout)));
            let allowed = allowed.into_iter().filter(|(_, is_allowed)| *is_allowed);
            let allowed: Vec<_> = allowed.map(|(step, _)| step).collect();
            writeln!(table, "{timeout:?} at {after} ms: {allowed:?}").expect("a string");
        }
    }
    insta::assert_snapshot!(table);
}

#[test]
fn the_stages_are_in_order_within_the_grace_period() {
    let requested_at = Instant::now();
    let table = [0, 1_000, 6_000, 30_000].map(|grace| {
        let schedule = Schedule::new(requested_at, Duration::from_millis(grace));
        let stages = [schedule.transactions_end, schedule.cut, schedule.end];
        (grace, stages.map(|stage| stage - requested_at))
    });
    insta::assert_debug_snapshot!(table);
}
