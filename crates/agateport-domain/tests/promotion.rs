//! Promotions: scenarios, and the invariants under random faults.

mod script;
mod simulation;

use agateport_domain::group::{Acknowledge, Ballot, Cooldown};
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use simulation::Simulation;
use std::time::{Duration, Instant};

#[test]
fn scenarios() {
    insta::glob!("scenarios/group/*.txt", |path| {
        let text = std::fs::read_to_string(path).unwrap();
        let mut simulation = Simulation::new(Acknowledge::Majority);
        let transcript = script::run(&text, |words| simulation.step(words));
        insta::assert_snapshot!(transcript);
    });
}

/// Number of cases of each random test.
const CASES: u32 = 10_000;

/// Number of steps of one case.
const STEPS: usize = 60;

/// Seed of the random tests.
const SEED: [u8; 32] = [5; 32];

fn runner() -> TestRunner {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let random = proptest::test_runner::TestRng::from_seed(
        proptest::test_runner::RngAlgorithm::ChaCha,
        &SEED,
    );
    TestRunner::new_with_rng(config, random)
}

/// Two promoters, three servers and a platform, with faults at every step.
#[test]
fn no_acknowledged_write_is_lost_or_duplicated() {
    let steps = prop::collection::vec(any::<u32>(), STEPS);
    let result = runner().run(&steps, |steps| {
        let mut simulation = Simulation::new(Acknowledge::Majority);
        for choice in steps {
            simulation.random_step(choice);
            prop_assert_eq!(simulation.violation(), None);
        }
        simulation.settle();
        prop_assert_eq!(simulation.violation(), None);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// Acknowledging once the primary alone has a write loses writes, which shows that
/// the simulation detects lost writes.
#[test]
fn primary_alone_loses_writes() {
    let steps = prop::collection::vec(any::<u32>(), STEPS);
    let result = runner().run(&steps, |steps| {
        let mut simulation = Simulation::new(Acknowledge::Primary);
        for choice in steps {
            simulation.random_step(choice);
        }
        simulation.settle();
        prop_assert_eq!(simulation.violation(), None);
        Ok(())
    });
    assert!(result.is_err());
}

#[test]
fn ballots_are_never_shared() {
    let ballots = (any::<u64>(), 0..1u64 << 47, 0..1u64 << 47);
    let result = runner().run(&ballots, |(highest, promoter, other)| {
        let highest = highest >> 2;
        let first = Ballot::above(highest, promoter).term();
        prop_assert!(first > highest);
        prop_assert_eq!(
            first == Ballot::above(highest, other).term(),
            promoter == other
        );
        prop_assert!(Ballot::above(first, other).term() > first);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// A primary that fails repeatedly is replaced at growing intervals, which return
/// to the shortest after a minute without a promotion.
#[test]
fn promotions_of_a_flapping_primary_are_spaced_out() {
    let start = Instant::now();
    let mut cooldown = Cooldown::default();
    let mut starts = Vec::new();
    for tenth in (0..200u64).chain(1_000..1_020) {
        let now = start + Duration::from_millis(100 * tenth);
        if cooldown.is_over(now) {
            cooldown.start(now);
            starts.push(now.duration_since(start));
        }
    }
    insta::assert_debug_snapshot!(starts);
}
