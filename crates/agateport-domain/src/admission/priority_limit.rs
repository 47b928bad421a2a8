//! A concurrency limit that compares the latency of each priority with its own past.

use crate::id::PriorityId;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Weight of a new sample in the moving average of the recent relative latency.
const RECENT_WEIGHT: f64 = 0.08;

/// Weight of a new sample in the normal latency of a priority, while more than half of the
/// slots are in use.
const BUSY_WEIGHT: f64 = 0.002;

/// Weight of a new sample in the normal latency of a priority, while at most half of the
/// slots are in use. A high latency that remains then does not come from the concurrency,
/// so a lower limit would only cost throughput.
const CALM_WEIGHT: f64 = 0.05;

/// Samples that the first normal latency of a priority is averaged over.
const WARM_UP_SAMPLES: u32 = 20;

/// Largest ratio of a sample to the normal latency of its priority. Without a bound, a few
/// long statements would look like an overload.
const MAX_SAMPLE_RATIO: f64 = 4.0;

/// Relative latency above which the server counts as overloaded.
const OVERLOAD_RATIO: f64 = 2.0;

/// Relative latency below which the server counts as recovered.
const RECOVERY_RATIO: f64 = 1.3;

/// Factor by which the limit is decreased when the server is overloaded.
const DECREASE_FACTOR: f64 = 0.75;

/// Slots by which each sample raises the limit when the server has recovered.
const INCREASE_STEP: f64 = 0.1;

/// Time without a change after which a lowered limit is raised by a slot, to find out
/// whether the server runs more again.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Normal latency of one priority.
#[derive(Clone, Copy, Debug, Default)]
struct Baseline {
    seconds: f64,
    samples: u32,
}

impl Baseline {
    /// Adds a sample, and returns its ratio to the normal latency; none while that is not
    /// known.
    fn record(&mut self, latency: f64, is_calm: bool) -> Option<f64> {
        self.samples = self.samples.saturating_add(1);
        if self.samples <= WARM_UP_SAMPLES {
            self.seconds += (latency - self.seconds) / f64::from(self.samples);
            return None;
        }
        let ratio = latency / self.seconds.max(f64::MIN_POSITIVE);
        let weight = if is_calm { CALM_WEIGHT } else { BUSY_WEIGHT };
        self.seconds += (latency - self.seconds) * weight;
        Some(ratio.min(MAX_SAMPLE_RATIO))
    }
}

/// A limit on the slots in use that compares the latency of each priority with its own
/// past, so that more requests of a priority with long statements do not count as an
/// overload.
///
/// It starts at the slots of the node's share, never exceeds them, and allows at least one.
#[derive(Clone, Debug)]
pub struct PriorityLimit {
    maximum: f64,
    current: f64,
    /// Moving average of the samples, each relative to the normal latency of its priority.
    recent: f64,
    baselines: BTreeMap<PriorityId, Baseline>,
    samples_until_decrease: u32,
    changed_at: Instant,
}

impl PriorityLimit {
    /// Creates a limit that starts at `slots`, its maximum.
    #[must_use]
    pub fn new(slots: usize, now: Instant) -> Self {
        let slots = to_f64(slots);
        Self {
            maximum: slots,
            current: slots,
            recent: 1.0,
            baselines: BTreeMap::new(),
            samples_until_decrease: 0,
            changed_at: now,
        }
    }

    /// Returns the number of slots that may be in use, at least one.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the limit is between one and the slots of the share"
    )]
    pub fn slots(&self) -> usize {
        self.current.round().max(1.0) as usize
    }

    /// Changes the maximum, and the limit in proportion. What is known of the latencies
    /// is kept, because the server is the same.
    pub fn resize(&mut self, slots: usize) {
        let slots = to_f64(slots);
        self.current = (self.current * slots / self.maximum.max(1.0)).clamp(1.0, slots.max(1.0));
        self.maximum = slots;
    }

    /// Adds the latency of a statement that ended while `in_use` slots were in use, and
    /// adapts the limit.
    pub fn record(
        &mut self,
        priority: &PriorityId,
        latency: Duration,
        in_use: usize,
        now: Instant,
    ) {
        let is_calm = to_f64(in_use) <= self.maximum / 2.0;
        let baseline = self.baselines.entry(priority.clone()).or_default();
        let Some(ratio) = baseline.record(latency.as_secs_f64(), is_calm) else {
            return;
        };
        self.recent += (ratio - self.recent) * RECENT_WEIGHT;
        self.adapt(is_calm, now);
    }

    fn adapt(&mut self, is_calm: bool, now: Instant) {
        self.samples_until_decrease = self.samples_until_decrease.saturating_sub(1);
        if self.recent < RECOVERY_RATIO {
            self.set(self.current + INCREASE_STEP, now);
        } else if self.recent > OVERLOAD_RATIO && !is_calm && self.samples_until_decrease == 0 {
            // A decrease takes effect only once the running statements end, so the next
            // one follows after as many samples.
            self.samples_until_decrease = u32::try_from(self.slots()).unwrap_or(u32::MAX);
            self.set(self.current * DECREASE_FACTOR, now);
        }
        if now.saturating_duration_since(self.changed_at) >= PROBE_INTERVAL {
            self.set(self.current + 1.0, now);
        }
    }

    fn set(&mut self, slots: f64, now: Instant) {
        self.current = slots.clamp(1.0, self.maximum.max(1.0));
        self.changed_at = now;
    }
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
