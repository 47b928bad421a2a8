//! Counters and latencies in the Prometheus text format.

use crate::budget::Budget;
use agateport_domain::prelude::*;
use hdrhistogram::Histogram;
use std::fmt::Write;
use std::sync::{Mutex, PoisonError};

/// Highest latency that is recorded, in microseconds; higher ones count as this.
const MAX_LATENCY: u64 = 60_000_000;

/// Number of significant digits of a recorded latency.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Quantiles of the latency that are exported.
const QUANTILES: [f64; 3] = [0.5, 0.9, 0.99];

/// Returns a duration in milliseconds, for a log line.
#[must_use]
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Counters and latencies of a node, and the rate limits of its log lines.
#[derive(Debug)]
pub struct Metrics {
    counts: Sharded<(&'static str, &'static str), u64>,
    latencies: Mutex<Histogram<u64>>,
    budgets: Sharded<&'static str, Budget>,
}

impl Metrics {
    /// Creates metrics with all values zero.
    ///
    /// # Errors
    ///
    /// [`hdrhistogram::CreationError`] if the bounds of the histogram are invalid.
    pub fn new() -> Result<Self, hdrhistogram::CreationError> {
        let latencies = Histogram::new_with_max(MAX_LATENCY, SIGNIFICANT_DIGITS)?;
        Ok(Self {
            counts: Sharded::new(),
            latencies: Mutex::new(latencies),
            budgets: Sharded::new(),
        })
    }

    /// Increments the counter of a kind and reason.
    pub fn count(&self, kind: &'static str, reason: &'static str) {
        let key = (kind, reason);
        self.counts
            .with(&key, |counts| *counts.entry(key).or_insert(0) += 1);
    }

    /// Applies the rate limit for log lines about `event`. Returns the number of lines
    /// omitted since the last one, or none if this line must be omitted as well.
    /// Omitted lines are counted.
    pub fn allow_log(&self, event: &'static str) -> Option<u64> {
        let now = Instant::now();
        let omitted = self.budgets.with(&event, |budgets| {
            let budget = budgets.entry(event).or_insert_with(|| Budget::new(now));
            budget.take(now)
        });
        if omitted.is_none() {
            self.count("line_omitted", event);
        }
        omitted
    }

    /// Records the latency of a successful statement.
    pub fn record_latency(&self, took: Duration) {
        let micros = u64::try_from(took.as_micros()).unwrap_or(MAX_LATENCY);
        let mut latencies = self
            .latencies
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        latencies.saturating_record(micros);
    }

    /// Returns the counters of these kinds, by kind and reason.
    #[must_use]
    pub fn counts(&self, kinds: &[&str]) -> BTreeMap<(&'static str, &'static str), u64> {
        let mut counts = BTreeMap::new();
        self.counts.for_each(|key, count| {
            if kinds.contains(&key.0) {
                counts.insert(*key, *count);
            }
        });
        counts
    }

    /// Renders all metrics and the given gauges as text.
    #[must_use]
    pub fn render(&self, gauges: &BTreeMap<&'static str, u64>) -> String {
        let mut counts = BTreeMap::new();
        self.counts.for_each(|key, count| {
            counts.insert(*key, *count);
        });
        let mut text = String::new();
        for ((kind, reason), count) in counts {
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "agateport_{kind}_total{{reason=\"{reason}\"}} {count}"
            );
        }
        for (name, value) in gauges {
            let _ = writeln!(text, "agateport_{name} {value}");
        }
        let latencies = self
            .latencies
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for quantile in QUANTILES {
            let micros = latencies.value_at_quantile(quantile);
            let _ = writeln!(
                text,
                "agateport_statement_microseconds{{quantile=\"{quantile}\"}} {micros}"
            );
        }
        let _ = writeln!(
            text,
            "agateport_statement_microseconds_count {}",
            latencies.len()
        );
        text
    }
}
