//! What a node shows of handovers that wait.

use agateport_domain::group::Wait;
use agateport_domain::prelude::*;
use agateport_relay::pending::Pending;
use std::fmt::Write;

/// Guards against a group without a primary of which no node says what it waits for: each
/// line is a moment in milliseconds, the condition that is recorded, and what is shown then.
#[test]
fn the_condition_and_the_time_of_a_wait_are_shown() {
    let (pending, group) = (Pending::default(), "ledger".into());
    let steps = [
        (0, Wait::Nothing),
        (100, Wait::Leases),
        (900, Wait::Leases),
        (1_000, Wait::Server),
        (5_000, Wait::Server),
        (5_100, Wait::Listing),
        (13_100, Wait::Promotion),
        (14_000, Wait::Nothing),
        (15_000, Wait::Coordinator),
    ];
    let mut transcript = String::new();
    for (at, wait) in steps {
        let now = Duration::from_millis(100_000 + at);
        pending.record(&group, wait, now);
        let shown = pending.observe(&group, now).map_or_else(
            || "-".to_owned(),
            |shown| {
                format!(
                    "{} for {} ms of {} ms",
                    shown.condition, shown.condition_ms, shown.waiting_ms
                )
            },
        );
        writeln!(transcript, "{at:6} {wait:12} {shown}").expect("a string takes any text");
    }
    insta::assert_snapshot!(transcript);
}
