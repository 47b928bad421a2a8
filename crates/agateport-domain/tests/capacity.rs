//! Simulations of a group whose servers differ in speed, with and without adaptation.
//!
//! Arrivals and running times are drawn from a seed, and are the same in both runs.

mod group;

use group::{Kind, Results, Run, SLOTS, Scenario};
use std::fmt::Write;
use std::time::Duration;
use test_case::test_case;

/// Seeds of the runs; the assertions hold for each.
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

const fn kind(priority: &'static str, rate: f64, work: f64, target: u64) -> Kind {
    Kind {
        priority,
        rate,
        work,
        target: Duration::from_millis(target),
        only: None,
    }
}

/// Half of what the group can run.
const READS: [Kind; 1] = [kind("1", 300.0, 20.0, 400)];

/// Reads that all servers run, and long ones that only the first server runs, such as
/// those that only the primary may run.
const LONG_AT_ONE: [Kind; 2] = [
    kind("1", 200.0, 20.0, 400),
    Kind {
        only: Some(0),
        ..kind("3", 5.0, 200.0, 4_000)
    },
];

/// Servers of the same speed, under half of their load.
const EVEN: Scenario = Scenario {
    kinds: &READS,
    duration: seconds(20),
    slowness: |_, _, _| 1.0,
    failures: |_| 0.0,
    new_owners: &[],
};

/// The first server is twice as slow from the start.
const SLOW: Scenario = Scenario {
    slowness: |server, _, _| if server == 0 { 2.0 } else { 1.0 },
    ..EVEN
};

/// The first server slows down with more than half of its slots in use.
const EARLY: Scenario = Scenario {
    slowness: |server, _, running| {
        if server == 0 && running > SLOTS / 2 {
            4.0
        } else {
            1.0
        }
    },
    ..EVEN
};

/// The first server is slow for some seconds.
const DIP: Scenario = Scenario {
    slowness: |server, now, _| {
        if server == 0 && is_in_dip(now) {
            4.0
        } else {
            1.0
        }
    },
    ..EVEN
};

/// All servers are slow for some seconds.
const ALL: Scenario = Scenario {
    slowness: |_, now, _| if is_in_dip(now) { 1.6 } else { 1.0 },
    ..EVEN
};

/// The first server is slow, and new owners begin to measure it twice.
const OWNERS: Scenario = Scenario {
    new_owners: &[seconds(6), seconds(12)],
    ..SLOW
};

/// As few requests as a node of a large deployment has.
const FEW: Scenario = Scenario {
    kinds: &[kind("1", 20.0, 20.0, 400)],
    ..EVEN
};

const LONG: Scenario = Scenario {
    kinds: &LONG_AT_ONE,
    ..EVEN
};

/// The first server fails 40 percent of its statements, at once.
const FAILING: Scenario = Scenario {
    failures: |server| if server == 0 { 0.4 } else { 0.0 },
    ..EVEN
};

fn is_in_dip(now: Duration) -> bool {
    (seconds(6)..seconds(11)).contains(&now)
}

fn both(scenario: Scenario, seed: u64) -> [Results; 2] {
    [false, true].map(|adapts| Run::results(scenario, adapts, seed))
}

/// Guards against a change of the decisions that no single assertion below notices.
#[test]
fn results_with_and_without_adaptation() {
    let scenarios = [
        ("even", EVEN),
        ("few requests", FEW),
        ("slow from the start", SLOW),
        ("slow from half of the slots", EARLY),
        ("slow for 5 s", DIP),
        ("all slow for 5 s", ALL),
        ("slow, new owners", OWNERS),
        ("long class at one", LONG),
        ("failing 40 percent", FAILING),
    ];
    let mut table = String::new();
    for (name, scenario) in scenarios {
        for (label, results) in ["off", "on"].iter().zip(both(scenario, SEEDS[0])) {
            writeln!(
                table,
                "{name:28} {label:3}  mean {:5.1} ms  lost {:4.1}%  started {:?}  changes {}",
                results.mean(),
                results.lost() * 100.0,
                results.started,
                results.changes
            )
            .expect("writing to a string succeeds");
        }
    }
    insta::assert_snapshot!(table);
}

/// Returns the requests that the first server started in the seconds of a range.
fn started_at_first(results: &Results, seconds: std::ops::Range<usize>) -> u32 {
    results.started_in[seconds]
        .iter()
        .map(|[first, ..]| first)
        .sum()
}

/// Guards against a placement that counts the requests at a slow server like those at the
/// others, also after new owners have replaced those that measured it.
#[test_case(SLOW, 0.95; "slow from the start")]
#[test_case(EARLY, 0.85; "slow from half of the slots")]
#[test_case(DIP, 0.98; "slow for some seconds")]
#[test_case(OWNERS, 0.95; "slow with new owners")]
fn callers_wait_less(scenario: Scenario, share: f64) {
    for seed in SEEDS {
        let [off, on] = both(scenario, seed);
        assert!(
            on.mean() < off.mean() * share,
            "{seed}: {} {}",
            on.mean(),
            off.mean()
        );
        assert!(
            on.lost() <= off.lost(),
            "{seed}: {} {}",
            on.lost(),
            off.lost()
        );
        assert!(on.most_running <= SLOTS, "{seed}: {}", on.most_running);
    }
}

/// Guards against a server that is avoided for good, because nothing measures that it has
/// recovered.
#[test]
fn a_recovered_server_is_used_again() {
    for seed in SEEDS {
        let [off, on] = both(DIP, seed);
        let after = [&off, &on].map(|results| started_at_first(results, 14..20));
        assert!(after[1] * 10 > after[0] * 9, "{seed}: {after:?}");
    }
}

/// Guards against oscillation: without a difference between the servers, none counts as
/// slow, and callers wait as long as without adaptation. Each server's limit may still
/// follow a change of its own latency.
#[test_case(EVEN, 0.002; "even")]
#[test_case(ALL, 0.02; "all slow")]
fn nothing_changes(scenario: Scenario, tolerance: f64) {
    for seed in SEEDS {
        let [off, on] = both(scenario, seed);
        assert_eq!(on.changes, 0, "{seed}: {on:?}");
        let ratio = on.mean() / off.mean();
        assert!((ratio - 1.0).abs() < tolerance, "{seed}: {ratio}");
        for (off, on) in off.started.into_iter().zip(on.started) {
            assert!(off.abs_diff(on) * 20 < off, "{seed}: {off} {on}");
        }
    }
}

/// Guards against a comparison over all priorities, which would take reads away from a
/// server because of its long statements.
#[test]
fn long_statements_do_not_make_their_server_look_slow() {
    for seed in SEEDS {
        let [off, on] = both(LONG, seed);
        assert!(
            on.started[0] * 50 > off.started[0] * 49,
            "{seed}: {off:?} {on:?}"
        );
        assert!(
            on.mean() <= off.mean(),
            "{seed}: {} {}",
            on.mean(),
            off.mean()
        );
    }
}

/// Guards against a server that attracts reads because it fails them quickly, and against
/// one that is ruled out for good.
#[test]
fn a_failing_server_is_tried_rarely() {
    for seed in SEEDS {
        let [off, on] = both(FAILING, seed);
        assert!(
            on.lost() * 4.0 < off.lost(),
            "{seed}: {} {}",
            on.lost(),
            off.lost()
        );
        for second in (0..20).step_by(5) {
            assert!(
                started_at_first(&on, second..second + 5) > 0,
                "{seed}: {second}"
            );
        }
    }
}
