//! Random schedules of faults against a simulated group, checked against a model
//! of the writes that each session must see.

#[path = "history/servers.rs"]
mod servers;
#[path = "history/simulation.rs"]
mod simulation;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use simulation::{Fault, Simulation, Step};

/// Number of schedules.
const CASES: u32 = 10_000;

/// Seed of the schedules.
const SEED: u64 = 4;

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => Just(Fault::None),
        1 => Just(Fault::RequestLost),
        1 => Just(Fault::RequestLate),
        1 => Just(Fault::AnswerLost),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let session = 0..3usize;
    let node = 0..2usize;
    let server = 0..3usize;
    prop_oneof![
        4 => (session.clone(), node.clone(), any::<bool>(), fault())
            .prop_map(|(session, node, is_keyed, fault)| Step::Write { session, node, is_keyed, fault }),
        6 => (session.clone(), node.clone(), server.clone(), 0..8u8)
            .prop_map(|(session, node, server, responding)| Step::Read { session, node, server, responding }),
        8 => server.clone().prop_map(|server| Step::Replicate { server }),
        6 => (node.clone(), server.clone()).prop_map(|(node, server)| Step::Report { node, server }),
        2 => (node.clone(), server.clone()).prop_map(|(node, server)| Step::ReportLate { node, server }),
        2 => Just(Step::ReportArrives),
        2 => Just(Step::RequestArrives),
        2 => session.clone().prop_map(|session| Step::GiveUp { session }),
        2 => (session.clone(), node.clone(), fault())
            .prop_map(|(session, node, fault)| Step::Retry { session, node, fault }),
        3 => session.clone().prop_map(|session| Step::OpenSession { session }),
        2 => (session.clone(), session).prop_map(|(from, to)| Step::TransferWatermark { from, to }),
        1 => server.clone().prop_map(|server| Step::Isolate { server }),
        2 => server.prop_map(|server| Step::Rejoin { server }),
        1 => Just(Step::Promote),
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: CASES,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn invariants_hold_under_faults(steps in vec(step(), 1..48)) {
        let mut simulation = Simulation::new();
        for step in steps {
            simulation.apply(step);
        }
        simulation.verify();
    }
}
