//! Violations found by the consistency check, and the output of reports.

use agateport_load::check::{Contents, violation};
use agateport_load::compare::Comparison;
use agateport_load::history::Write;
use agateport_load::outcome::Outcome;
use agateport_load::plan::Kind;
use agateport_load::report::Report;
use agateport_load::statistics::{Sample, Statistics};
use std::fmt::Write as _;
use std::time::Duration;

const OUTCOMES: [Outcome; 6] = [
    Outcome::Done,
    Outcome::NotRun,
    Outcome::Unknown,
    Outcome::Broken,
    Outcome::Failed,
    Outcome::Unreachable,
];

fn contents(stock: u64, sale: u64) -> Contents {
    Contents {
        stock: [(1, stock)].into(),
        sale: [(1, sale)].into(),
    }
}

#[test]
fn violations_by_outcome_and_row_count() {
    let mut table = String::new();
    for kind in [Kind::Write, Kind::KeyedWrite, Kind::Transaction] {
        for outcome in OUTCOMES {
            for rows in 0..=2 {
                let sale = if kind == Kind::Transaction { rows } else { 0 };
                let write = Write {
                    group: 0,
                    kind,
                    outcome,
                };
                let found = violation(1, write, &contents(rows, sale)).unwrap_or("-");
                let _ = writeln!(
                    table,
                    "{:<12} {outcome:?} rows {rows}: {found}",
                    kind.name()
                );
            }
        }
    }
    insta::assert_snapshot!(table);
}

#[test]
fn half_a_transaction() {
    let write = Write {
        group: 0,
        kind: Kind::Transaction,
        outcome: Outcome::Unknown,
    };
    assert_eq!(
        violation(1, write, &contents(1, 0)),
        Some("half a transaction")
    );
}

fn report(latency: u64) -> Report {
    let mut statistics = Statistics::new();
    for number in 0..10 {
        let sample = Sample {
            outcome: if number < 8 {
                Outcome::Done
            } else {
                Outcome::NotRun
            },
            latency: Duration::from_millis(latency * number),
            reason: (number >= 8).then(|| "not run: queue_full; retry after 50 ms".to_owned()),
        };
        statistics.record(&sample, Duration::from_millis(50));
    }
    let mut report = Report {
        seed: 7,
        seconds: 1.0,
        replica_reads_percent: Some(90.0),
        reasons: statistics.reasons().clone(),
        ..Report::default()
    };
    report.add("payment".to_owned(), &statistics);
    report.add_downtime("ledger-1".to_owned(), Duration::from_millis(latency));
    report
}

#[test]
fn table_of_a_report() {
    insta::assert_snapshot!(report(10));
}

#[test]
fn json_of_a_report_reads_back() {
    let report = report(10);
    let text = serde_json::to_string(&report).unwrap_or_default();
    let read: Option<Report> = serde_json::from_str(&text).ok();
    assert_eq!(read, Some(report));
}

#[test]
fn two_reports_side_by_side() {
    let comparison = Comparison {
        left: report(10),
        right: report(20),
    };
    insta::assert_snapshot!(comparison);
}
