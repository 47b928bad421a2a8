//! Counts and latencies of one class of arrivals, and write downtime.

use crate::outcome::Outcome;
use crate::plan::Kind;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Significant decimal digits of the recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Phase of the run.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// No priority is flooding.
    Calm,
    /// At least one priority is flooding.
    Flood,
}

/// Class of arrivals that are counted together.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Class {
    /// Label of the priority.
    pub priority: Arc<str>,
    /// Phase in which the arrivals were due.
    pub phase: Phase,
    /// Kind of statement or transaction.
    pub kind: Kind,
}

impl std::hash::Hash for Class {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        self.priority.hash(state);
        self.phase.hash(state);
        self.kind.name().hash(state);
    }
}

/// Outcome and latency of one arrival.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Outcome that the caller received.
    pub outcome: Outcome,
    /// Time from when the arrival was due until it completed.
    pub latency: Duration,
    /// Message of a refusal or failure.
    pub reason: Option<String>,
}

/// Counts and latencies of one class of arrivals.
#[derive(Clone, Debug)]
pub struct Statistics {
    outcomes: BTreeMap<Outcome, u64>,
    reasons: BTreeMap<String, u64>,
    within_target: u64,
    latencies: Histogram<u64>,
}

impl Statistics {
    /// Creates empty statistics.
    ///
    /// # Panics
    ///
    /// Panics if the histogram does not support `SIGNIFICANT_DIGITS`, which it
    /// does.
    #[must_use]
    pub fn new() -> Self {
        let latencies = Histogram::new(SIGNIFICANT_DIGITS)
            .expect("the histogram supports 0 to 5 significant digits");
        Self {
            outcomes: BTreeMap::new(),
            reasons: BTreeMap::new(),
            within_target: 0,
            latencies,
        }
    }

    /// Records one arrival, whose latency target is `target`.
    ///
    /// # Panics
    ///
    /// Panics if the histogram cannot resize, which it always can.
    pub fn record(&mut self, sample: &Sample, target: Duration) {
        *self.outcomes.entry(sample.outcome).or_insert(0) += 1;
        if let Some(reason) = &sample.reason {
            // The part after the semicolon is the retry delay, which differs
            // between refusals.
            let reason = reason.split(';').next().unwrap_or_default();
            *self.reasons.entry(reason.to_owned()).or_insert(0) += 1;
        }
        if sample.outcome != Outcome::Done {
            return;
        }
        self.within_target += u64::from(sample.latency <= target);
        let microseconds = u64::try_from(sample.latency.as_micros()).unwrap_or(u64::MAX);
        self.latencies
            .record(microseconds)
            .expect("the histogram resizes automatically");
    }

    /// Adds the counts and latencies of `other`.
    ///
    /// # Panics
    ///
    /// Panics if the histograms differ in precision, which they never do.
    pub fn merge(&mut self, other: &Self) {
        for (outcome, count) in &other.outcomes {
            *self.outcomes.entry(*outcome).or_insert(0) += count;
        }
        for (reason, count) in &other.reasons {
            *self.reasons.entry(reason.clone()).or_insert(0) += count;
        }
        self.within_target += other.within_target;
        self.latencies
            .add(&other.latencies)
            .expect("both histograms have the same precision and resize automatically");
    }

    /// Returns the number of arrivals with this outcome.
    #[must_use]
    pub fn count(&self, outcome: Outcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or(0)
    }

    /// Returns the number of completed arrivals.
    #[must_use]
    pub fn completed(&self) -> u64 {
        self.outcomes.values().sum()
    }

    /// Returns the number of arrivals that ran within their latency target.
    #[must_use]
    pub fn within_target(&self) -> u64 {
        self.within_target
    }

    /// Returns the number of refusals and failures by message.
    #[must_use]
    pub fn reasons(&self) -> &BTreeMap<String, u64> {
        &self.reasons
    }

    /// Returns a percentile of the latencies of the arrivals that ran.
    #[must_use]
    pub fn percentile(&self, percentile: f64) -> Duration {
        Duration::from_micros(self.latencies.value_at_percentile(percentile))
    }
}

impl Default for Statistics {
    fn default() -> Self {
        Self::new()
    }
}

/// Tracks the longest time without an acknowledged write.
#[derive(Clone, Copy, Debug)]
pub struct Downtime {
    last_write: Instant,
    longest: Duration,
}

impl Downtime {
    /// Starts tracking at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            last_write: now,
            longest: Duration::ZERO,
        }
    }

    /// Records an acknowledged write, or the end of the run.
    pub fn record(&mut self, now: Instant) {
        self.longest = self
            .longest
            .max(now.saturating_duration_since(self.last_write));
        self.last_write = self.last_write.max(now);
    }

    /// Returns the longest time without an acknowledged write.
    #[must_use]
    pub fn longest(&self) -> Duration {
        self.longest
    }
}
