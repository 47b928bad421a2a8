//! Scenarios of the limiter of requests to the platform.

#![expect(clippy::unwrap_used, reason = "an invalid scenario fails the test")]

mod script;

use agateport_domain::platform::{Error, Limiter};
use agateport_domain::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

#[test]
fn outages() {
    insta::glob!("scenarios/platform/*.txt", |path| {
        let scenario = std::fs::read_to_string(path).unwrap();
        let start = Instant::now();
        let mut limiter = Limiter::new(Pcg64Mcg::seed_from_u64(1), start);
        let transcript = script::run(&scenario, |words| step(&mut limiter, start, words));
        insta::assert_snapshot!(transcript);
    });
}

fn step(limiter: &mut Limiter, start: Instant, words: &[&str]) -> Vec<String> {
    let ["request", milliseconds, outcome] = words else {
        panic!("the command {words:?} is unknown");
    };
    let now = start + Duration::from_millis(milliseconds.parse().unwrap());
    if let Err(error) = limiter.admit(now) {
        return vec![error.to_string()];
    }
    match *outcome {
        "answer" => limiter.record_success(),
        "fail" => limiter.record_failure(now),
        _ => {}
    }
    vec!["sent".to_owned()]
}

#[test]
fn the_rate_is_bounded() {
    let start = Instant::now();
    let mut limiter = Limiter::new(Pcg64Mcg::seed_from_u64(1), start);
    let mut sent = 0;
    for millisecond in 0..10_000 {
        match limiter.admit(start + Duration::from_millis(millisecond)) {
            Ok(()) => sent += 1,
            Err(error) => assert_eq!(error, Error::TooMany),
        }
    }
    // A burst of 40, then 20 requests per second for 10 seconds.
    assert!((40 + 195..=40 + 200).contains(&sent), "{sent} requests");
}
