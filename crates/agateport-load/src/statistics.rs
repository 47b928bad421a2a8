//! Counts and latencies of one class of work, and gaps in acknowledged writes.

use crate::outcome::Outcome;
use crate::plan::Kind;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Significant digits of the latencies kept.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A part of the run.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// No priority floods.
    Calm,
    /// Some priority floods.
    Flood,
}

/// What is tallied together.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Class {
    /// Priority of the work.
    pub priority: Arc<str>,
    /// Part of the run in which it was due.
    pub phase: Phase,
    /// Kind of work.
    pub kind: Kind,
}

impl std::hash::Hash for Class {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        self.priority.hash(state);
        self.phase.hash(state);
        self.kind.name().hash(state);
    }
}

/// How one arrival ended.
#[derive(Clone, Debug)]
pub struct Sample {
    /// What the caller was told.
    pub outcome: Outcome,
    /// Time since it was due.
    pub latency: Duration,
    /// Message of a refusal.
    pub reason: Option<String>,
}

/// Counts and latencies of one class of work.
#[derive(Clone, Debug)]
pub struct Statistics {
    outcomes: BTreeMap<Outcome, u64>,
    reasons: BTreeMap<String, u64>,
    within_target: u64,
    latencies: Histogram<u64>,
}

impl Statistics {
    /// Creates an empty tally.
    ///
    /// # Panics
    ///
    /// Panics if the library refuses the number of digits, which it never does.
    #[must_use]
    pub fn new() -> Self {
        let latencies = Histogram::new(SIGNIFICANT_DIGITS)
            .expect("the number of digits is one that the library takes");
        Self {
            outcomes: BTreeMap::new(),
            reasons: BTreeMap::new(),
            within_target: 0,
            latencies,
        }
    }

    /// Records how one arrival ended, whose answer was due within `target`.
    ///
    /// # Panics
    ///
    /// Panics if the histogram can't grow, which it always can.
    pub fn record(&mut self, sample: &Sample, target: Duration) {
        *self.outcomes.entry(sample.outcome).or_insert(0) += 1;
        if let Some(reason) = &sample.reason {
            // What follows is a time to wait, another for each refusal.
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
            .expect("the histogram grows with its values");
    }

    /// Takes in another tally.
    ///
    /// # Panics
    ///
    /// Panics if the histograms differ in digits, which they never do.
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
            .expect("both histograms have the same digits and resize");
    }

    /// Returns the number of arrivals with this outcome.
    #[must_use]
    pub fn count(&self, outcome: Outcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or(0)
    }

    /// Returns the number of arrivals that have ended.
    #[must_use]
    pub fn completed(&self) -> u64 {
        self.outcomes.values().sum()
    }

    /// Returns the number of arrivals that were answered within the target.
    #[must_use]
    pub fn within_target(&self) -> u64 {
        self.within_target
    }

    /// Returns the reasons of refusals and failures with their counts.
    #[must_use]
    pub fn reasons(&self) -> &BTreeMap<String, u64> {
        &self.reasons
    }

    /// Returns a percentile of the latencies of what was done.
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

/// The longest time without an acknowledged write.
#[derive(Clone, Copy, Debug)]
pub struct Downtime {
    last_write: Instant,
    longest: Duration,
}

impl Downtime {
    /// Starts at `now`.
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
