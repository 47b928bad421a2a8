//! Rate limit for log lines, and the metrics as text.

use agateport_domain::prelude::*;
use agateport_relay::budget::Budget;
use agateport_relay::metrics::Metrics;

#[test]
fn a_flood_writes_a_bounded_number_of_lines() {
    let start = Instant::now();
    let mut budget = Budget::new(start);
    let mut written = Vec::new();
    for millisecond in 0..2_000 {
        let now = start + Duration::from_millis(millisecond);
        if let Some(omitted) = budget.take(now) {
            written.push((millisecond, omitted));
        }
    }
    let first_after = written.iter().find(|(_, omitted)| *omitted > 0);
    insta::assert_debug_snapshot!((written.len(), first_after));
}

#[test]
fn metrics_as_text() {
    let metrics = Metrics::new().expect("the histogram bounds are valid");
    metrics.count("answer", "done");
    metrics.count("answer", "done");
    metrics.count("missed", "target_missed");
    metrics.record_latency(Duration::from_millis(3));
    insta::assert_snapshot!(metrics.render(&BTreeMap::from([("configuration_version", 7)])));
}
