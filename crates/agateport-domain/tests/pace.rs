//! Comparison of the servers of a group.

use agateport_domain::pace::{Factor, Latest, Measure, Report, Response, Standing, Time, compare};
use agateport_domain::prelude::*;
use agateport_domain::session::placement::{Candidate, order};
use proptest::prelude::*;
use std::fmt::Write;

/// Slots of each server.
const SLOTS: usize = 4;

/// Measures responses that are described by words: `PRIORITY:MILLISxCOUNT`,
/// `fail:PRIORITYxCOUNT` or `done:PRIORITYxCOUNT`, each of them 10 ms after the last one.
fn measure(text: &str, start: Instant) -> (Measure, Instant) {
    let mut measure = Measure::default();
    let mut now = start;
    for word in text.split_whitespace() {
        let (word, count) = word.split_once('x').expect("a word has a count");
        let (first, second) = word.split_once(':').expect("a word has two parts");
        let (priority, response) = match first {
            "fail" => (second, Response::Failed),
            "done" => (second, Response::Done),
            _ => {
                let time = Duration::from_millis(second.parse().expect("a time"));
                (first, Response::Served(time))
            }
        };
        for _ in 0..count.parse().expect("a count") {
            now += Duration::from_millis(10);
            measure.record(&priority.into(), response, now);
        }
    }
    (measure, now)
}

/// Returns a row with the pace of each server in percent, some time after the last response
/// of each.
fn row(title: &str, servers: [&str; 3], age: u64) -> String {
    let start = Instant::now();
    let reports = servers.map(|text| {
        let (measure, now) = measure(text, start);
        (!text.is_empty()).then(|| measure.report(SLOTS, SLOTS, now + Duration::from_millis(age)))
    });
    let standings = compare(&reports);
    let paces = standings.iter().map(|standing| standing.pace.percent());
    let paces: Vec<_> = paces.map(|percent| format!("{percent:5}")).collect();
    format!("{title:44} {:32} {}\n", servers.join(" | "), paces.join(""))
}

/// Guards against a factor for noise, for long statements, for what all servers share, or
/// for nothing at all.
#[test]
fn paces_of_three_servers() {
    let mut table = String::new();
    let rows = [
        ("nothing is known", ["", "", ""], 0),
        ("alike", ["1:20x50", "1:20x50", "1:20x50"], 0),
        ("a little slower", ["1:28x50", "1:20x50", "1:20x50"], 0),
        ("2 ms slower, short", ["1:3x50", "1:1x50", "1:1x50"], 0),
        ("twice as slow", ["1:40x50", "1:20x50", "1:20x50"], 0),
        ("two of three", ["1:40x50", "1:40x50", "1:20x50"], 0),
        ("all", ["1:40x50", "1:40x50", "1:40x50"], 0),
        ("bounded", ["1:9000x50", "1:20x50", "1:20x50"], 0),
        ("seven responses", ["1:90x7", "1:20x50", "1:20x50"], 0),
        ("eight responses", ["1:90x8", "1:20x50", "1:20x50"], 0),
        ("no other server is known", ["1:90x50", "", ""], 0),
        (
            "long statements",
            ["1:20x25 3:400x25", "1:20x50", "1:20x50"],
            0,
        ),
        (
            "more long ones",
            ["1:20x25 3:400x25", "1:20x50 3:400x8", "1:20x50"],
            0,
        ),
        ("without rows", ["done:1x50", "1:20x50", "1:20x50"], 0),
        (
            "40 percent fail",
            ["fail:1x20 1:20x30", "1:20x50", "1:20x50"],
            0,
        ),
        ("all fail", ["fail:1x50", "1:20x50", "1:20x50"], 0),
        (
            "fail everywhere",
            [
                "fail:1x20 1:20x30",
                "fail:1x20 1:20x30",
                "fail:1x20 1:20x30",
            ],
            0,
        ),
        (
            "one failure",
            ["1:20x25 fail:1x1 1:20x24", "1:20x50", "1:20x50"],
            0,
        ),
        ("four times as slow", ["1:80x50", "1:20x50", "1:20x50"], 0),
        ("1 s later", ["1:80x50", "1:20x50", "1:20x50"], 1_000),
        ("2 s later", ["1:80x50", "1:20x50", "1:20x50"], 2_000),
        ("3 s later", ["1:80x50", "1:20x50", "1:20x50"], 3_000),
        ("4 s later", ["1:80x50", "1:20x50", "1:20x50"], 4_000),
    ];
    for (title, servers, age) in rows {
        write!(table, "{}", row(title, servers, age)).expect("writing to a string succeeds");
    }
    insta::assert_snapshot!(table);
}

/// Guards against a server that is avoided long after it has recovered, and against one that
/// gets many requests before it is avoided again.
#[test]
fn a_server_is_tried_again() {
    let start = Instant::now();
    let (slow, now) = measure("1:80x50", start);
    let (normal, _) = measure("1:20x500", start);
    let mut table = String::new();
    for (title, time) in [("still slow", 80), ("recovered", 20)] {
        let mut measure = slow.clone();
        let mut now = now + Duration::from_secs(4);
        write!(table, "{title:12}").expect("writing to a string succeeds");
        for _ in 0..10 {
            let reports = [&measure, &normal, &normal];
            let reports = reports.map(|measure| Some(measure.report(SLOTS, SLOTS, now)));
            let pace = compare(&reports)[0].pace.percent();
            write!(table, "{pace:5}").expect("writing to a string succeeds");
            now += Duration::from_millis(time);
            let response = Response::Served(Duration::from_millis(time));
            measure.record(&"1".into(), response, now);
        }
        table.push('\n');
    }
    insta::assert_snapshot!(table);
}

/// Guards against a new owner that erases what is known of a server before it has measured
/// the server itself.
#[test]
fn a_report_without_enough_responses_replaces_only_an_outdated_one() {
    let now = Instant::now();
    let report = |text: &str| measure(text, now).0.report(SLOTS, SLOTS, now);
    let mut latest = Latest::new(report("1:80x50"), now);
    latest.update(report("1:20x7"), now + Duration::from_secs(2));
    let known = latest.at(now + Duration::from_secs(2));
    assert!(known.is_conclusive());
    assert_eq!(known.age, Duration::from_secs(2));
    latest.update(report("1:20x8"), now + Duration::from_secs(2));
    assert_eq!(latest.at(now + Duration::from_secs(2)).age, Duration::ZERO);
    latest.update(report(""), now + Duration::from_secs(13));
    assert!(!latest.at(now + Duration::from_secs(13)).is_conclusive());
}

/// Guards against a placement that ignores the pace or a lowered limit, or that prefers a
/// slow server without load to a fast one.
#[test]
fn servers_for_a_read_by_pace() {
    let normal = Standing::NORMAL;
    let slow = |ratio| Standing {
        pace: Factor::from_ratio(ratio),
        limits: None,
    };
    let limited = Standing {
        limits: Some((4, 2)),
        ..normal
    };
    let rows = [
        ("alike", [(normal, 0), (normal, 0)]),
        ("twice as slow", [(slow(2.0), 0), (normal, 0)]),
        (
            "twice as slow, twice the load",
            [(slow(2.0), 0), (normal, 2)],
        ),
        ("below the threshold", [(slow(1.4), 0), (normal, 0)]),
        ("a limit that is not reached", [(limited, 1), (normal, 2)]),
        ("a limit that is reached", [(limited, 3), (normal, 4)]),
    ];
    let mut table = String::new();
    for (title, servers) in rows {
        let candidates: Vec<_> = ["a", "b"].into_iter().zip(servers).map(candidate).collect();
        let order = order(&candidates, Some(Watermark::default()));
        writeln!(table, "{title:32} {}", order.join(" ")).expect("writing to a string succeeds");
    }
    insta::assert_snapshot!(table);
}

fn candidate((name, (standing, load)): (&str, (Standing, usize))) -> Candidate {
    Candidate {
        server: name.into(),
        is_primary: false,
        is_same_zone: true,
        watermark: Some(Watermark::default()),
        is_recent: true,
        load,
        standing,
    }
}

/// Returns the cost of a server before its pace counted, in waiting requests.
fn former_cost(candidate: &Candidate) -> usize {
    let zone = if candidate.is_same_zone { 0 } else { 2 };
    let primary = if candidate.is_primary { 3 } else { 0 };
    candidate.load + zone + primary
}

fn candidates() -> impl Strategy<Value = Vec<Candidate>> {
    let candidate = (any::<bool>(), any::<bool>(), 0usize..20);
    prop::collection::vec(candidate, 1..8).prop_map(|candidates| {
        let candidates = candidates.into_iter().enumerate();
        let candidates = candidates.map(|(index, (is_primary, is_same_zone, load))| Candidate {
            is_primary,
            is_same_zone,
            ..candidate_of(index, load)
        });
        candidates.collect()
    })
}

fn candidate_of(index: usize, load: usize) -> Candidate {
    candidate((&index.to_string(), (Standing::NORMAL, load)))
}

fn reports() -> impl Strategy<Value = Vec<Option<Report>>> {
    let times = prop::collection::vec((0u8..4, any::<u64>(), any::<u32>()), 0..4);
    let report = (
        any::<u64>(),
        times,
        any::<Option<u32>>(),
        any::<u32>(),
        any::<u32>(),
    );
    let report = report.prop_map(|(age, times, failures, slots, limit)| Report {
        age: Duration::from_millis(age % 20_000),
        times: times
            .into_iter()
            .map(|(priority, mean, weight)| Time {
                priority: priority.to_string().into(),
                mean: Duration::from_nanos(mean),
                weight,
            })
            .collect(),
        failures,
        slots,
        limit,
    });
    prop::collection::vec(prop::option::of(report), 1..8)
}

proptest! {
    /// Guards against any change of a decision while the servers' pace is not measured.
    #[test]
    fn normal_servers_are_ordered_as_before(candidates in candidates()) {
        let mut former: Vec<_> = candidates.iter().collect();
        former.sort_by_key(|candidate| (former_cost(candidate), candidate.server.clone()));
        let former: Vec<_> = former.iter().map(|candidate| candidate.server.clone()).collect();
        prop_assert_eq!(order(&candidates, Some(Watermark::default())), former);
    }

    /// Guards against a report, of whatever origin, that rules a server out or stops the
    /// node.
    #[test]
    fn no_report_rules_a_server_out(reports in reports(), load in any::<usize>()) {
        let standings = compare(&reports);
        prop_assert_eq!(standings.len(), reports.len());
        for standing in &standings {
            prop_assert!((100..=1_600).contains(&standing.pace.percent()));
        }
        let candidates = standings.into_iter().enumerate();
        let candidates = candidates.map(|(index, standing)| Candidate {
            standing,
            ..candidate_of(index, load)
        });
        let candidates: Vec<_> = candidates.collect();
        prop_assert_eq!(order(&candidates, Some(Watermark::default())).len(), candidates.len());
    }
}
