//! Seeded plans of arrivals, and the profiles of both deployments.

use agateport_load::plan::{Kind, Plan};
use agateport_load::profile::{Flood, Mix, Priority, Profile};
use std::path::Path;
use std::time::Duration;
use test_case::test_case;

fn priority(rate: f64) -> Priority {
    let mix = Mix {
        bounded_read: 3.0,
        write: 1.0,
        ..Mix::default()
    };
    let mut profile = Profile::simple("ledger-1".to_owned(), rate, 4, Duration::from_secs(1));
    let mut priority = profile.priorities.remove(0);
    priority.mix = mix;
    priority.roam = 0.2;
    priority.handover = 0.5;
    priority
}

#[test]
fn first_arrivals_of_a_seed() {
    let plan = Plan::new(priority(100.0), 7, Duration::from_millis(80));
    let lines = plan.map(|arrival| {
        let due = arrival.due.as_micros();
        format!(
            "{due:>6} us {:<12} {:?}",
            arrival.kind.name(),
            arrival.migration
        )
    });
    insta::assert_snapshot!(lines.collect::<Vec<_>>().join("\n"));
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn same_seed_gives_the_same_plan(seed: u64) {
    let plan = || Plan::new(priority(500.0), seed, Duration::from_secs(1));
    assert!(plan().eq(plan()));
    assert!(!plan().eq(Plan::new(
        priority(500.0),
        seed + 10,
        Duration::from_secs(1)
    )));
}

#[test]
fn rates_and_mix_hold() {
    let mut flooding = priority(100.0);
    flooding.flood = Some(Flood {
        from: Duration::from_secs(10),
        until: Duration::from_secs(20),
        rate: 1000.0,
    });
    let all: Vec<_> = Plan::new(flooding, 1, Duration::from_secs(30)).collect();
    let flood = |at: Duration| (10..20).contains(&at.as_secs());
    let in_flood = all.iter().filter(|arrival| flood(arrival.due)).count();
    let calm = all.len() - in_flood;
    assert!((9_600..10_400).contains(&in_flood), "{in_flood}");
    assert!((1_850..2_150).contains(&calm), "{calm}");
    let writes = all
        .iter()
        .filter(|arrival| arrival.kind == Kind::Write)
        .count();
    assert!((23..27).contains(&(100 * writes / all.len())), "{writes}");
}

#[test_case("nairobi/profiles/counter-day.toml")]
#[test_case("nairobi/profiles/dealer-rush.toml")]
#[test_case("tallinn/profiles/deadline-evening.toml")]
#[test_case("tallinn/profiles/audit-flood.toml")]
fn profiles_load(file: &str) {
    let deployments = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deployments");
    let profile = Profile::load(&deployments.join(file));
    assert!(profile.is_ok(), "{profile:?}");
}
