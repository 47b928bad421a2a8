//! The report of a run.

use crate::outcome::Outcome;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Percentiles that are reported.
const PERCENTILES: [f64; 3] = [50.0, 95.0, 99.0];

/// Significant digits of the latencies kept.
const DIGITS: u8 = 3;

/// What happened in a run.
#[derive(Debug)]
pub struct Report {
    counts: BTreeMap<(&'static str, Outcome), u64>,
    latencies: BTreeMap<&'static str, Histogram<u64>>,
    broken: Vec<String>,
}

/// The report as it is printed.
#[derive(Debug, Serialize)]
struct Printed {
    outcomes: BTreeMap<String, u64>,
    microseconds: BTreeMap<String, u64>,
    broken: Vec<String>,
}

impl Report {
    /// Creates an empty report.
    pub fn new() -> Self {
        Self {
            counts: BTreeMap::new(),
            latencies: BTreeMap::new(),
            broken: Vec::new(),
        }
    }

    /// Records one statement; `latency` counts from when it was due.
    pub fn record(&mut self, kind: &'static str, outcome: Outcome, latency: Duration) {
        *self.counts.entry((kind, outcome)).or_insert(0) += 1;
        if outcome != Outcome::Done {
            return;
        }
        let histogram = self.latencies.entry(kind).or_insert_with(|| {
            Histogram::new(DIGITS).expect("the number of digits is one that the library takes")
        });
        let microseconds = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        histogram
            .record(microseconds)
            .expect("the histogram grows with its values");
    }

    /// Records a broken promise.
    pub fn break_promise(&mut self, what: String) {
        self.broken.push(what);
    }

    /// Returns the number of broken promises.
    pub fn broken(&self) -> usize {
        self.broken.len()
    }

    /// Takes in another report.
    pub fn add(&mut self, other: Self) {
        for (key, count) in other.counts {
            *self.counts.entry(key).or_insert(0) += count;
        }
        for (kind, histogram) in other.latencies {
            match self.latencies.get_mut(kind) {
                Some(known) => known
                    .add(&histogram)
                    .expect("both histograms have the same digits"),
                None => drop(self.latencies.insert(kind, histogram)),
            }
        }
        self.broken.extend(other.broken);
    }

    /// Prints the report.
    pub fn print(&self, json: bool) {
        let printed = self.printed();
        if json {
            println!("{}", serde_json::to_string(&printed).unwrap_or_default());
            return;
        }
        for (name, count) in &printed.outcomes {
            println!("{name:<24} {count:>9}");
        }
        for (name, microseconds) in &printed.microseconds {
            println!("{name:<24} {microseconds:>9} us");
        }
        println!("{:<24} {:>9}", "broken promises", printed.broken.len());
        for what in &printed.broken {
            println!("  {what}");
        }
    }

    fn printed(&self) -> Printed {
        let outcomes = self.counts.iter().map(|((kind, outcome), count)| {
            let name = format!("{kind} {outcome:?}").to_lowercase();
            (name, *count)
        });
        let mut microseconds = BTreeMap::new();
        for (kind, histogram) in &self.latencies {
            for percentile in PERCENTILES {
                let value = histogram.value_at_percentile(percentile);
                microseconds.insert(format!("{kind} p{percentile}"), value);
            }
        }
        Printed {
            outcomes: outcomes.collect(),
            microseconds,
            broken: self.broken.clone(),
        }
    }
}
