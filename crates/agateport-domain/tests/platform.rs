//! How often the platform is asked.

#![expect(
    clippy::unwrap_used,
    reason = "a scenario that can't be read fails the test"
)]

mod script;

use agateport_domain::platform::{Error, Gate};
use agateport_domain::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

#[test]
fn outages() {
    insta::glob!("scenarios/platform/*.txt", |path| {
        let scenario = std::fs::read_to_string(path).unwrap();
        let start = Instant::now();
        let mut gate = Gate::new(Pcg64Mcg::seed_from_u64(1), start);
        let transcript = script::run(&scenario, |words| step(&mut gate, start, words));
        insta::assert_snapshot!(transcript);
    });
}

fn step(gate: &mut Gate, start: Instant, words: &[&str]) -> Vec<String> {
    let ["ask", milliseconds, outcome] = words else {
        panic!("the command {words:?} is unknown");
    };
    let now = start + Duration::from_millis(milliseconds.parse().unwrap());
    if let Err(error) = gate.admit(now) {
        return vec![error.to_string()];
    }
    match *outcome {
        "answer" => gate.succeed(),
        "fail" => gate.fail(now),
        _ => {}
    }
    vec!["sent".to_owned()]
}

#[test]
fn the_rate_is_bounded() {
    let start = Instant::now();
    let mut gate = Gate::new(Pcg64Mcg::seed_from_u64(1), start);
    let mut sent = 0;
    for millisecond in 0..10_000 {
        match gate.admit(start + Duration::from_millis(millisecond)) {
            Ok(()) => sent += 1,
            Err(error) => assert_eq!(error, Error::TooMany),
        }
    }
    assert!((40 + 195..=40 + 200).contains(&sent), "{sent} requests");
}
