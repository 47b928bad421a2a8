//! A concurrency limit that adapts to the measured latency.

use super::priority_limit::PriorityLimit;
use crate::id::PriorityId;
use std::time::{Duration, Instant};

/// Weight of a new sample in the moving average of the recent latency.
const RECENT_WEIGHT: f64 = 0.05;

/// Weight of a new sample in the moving average of the baseline latency.
const BASELINE_WEIGHT: f64 = 0.002;

/// Ratio of recent to baseline latency above which the server counts as
/// overloaded.
const OVERLOAD_RATIO: f64 = 2.0;

/// Ratio of recent to baseline latency below which the server counts as
/// recovered.
const RECOVERY_RATIO: f64 = 1.3;

/// Factor by which the limit is decreased when the server is overloaded.
const DECREASE_FACTOR: f64 = 0.9;

/// Slots by which each sample raises the limit when the server has recovered.
const INCREASE_STEP: f64 = 0.05;

/// Samples that the first baseline latency is averaged over.
const WARM_UP_SAMPLES: u32 = 50;

/// A limit on the slots in use, with additive increase and multiplicative
/// decrease.
///
/// It starts at the slots of the node's share and never exceeds them. The share
/// derives from the slots in the bundle: the number of statements that, as the
/// operators declare, the server runs at once without slowing down.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    maximum: f64,
    current: f64,
    recent: f64,
    baseline: f64,
    samples: u32,
    samples_until_decrease: u32,
}

impl Limit {
    /// Creates a limit that starts at `slots`, its maximum.
    #[must_use]
    pub fn new(slots: usize) -> Self {
        let slots = f64::from(u32::try_from(slots).unwrap_or(u32::MAX));
        Self {
            maximum: slots,
            current: slots,
            recent: 0.0,
            baseline: 0.0,
            samples: 0,
            samples_until_decrease: 0,
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

    /// Adds the latency of a statement and adapts the limit.
    pub fn record(&mut self, latency: Duration) {
        let latency = latency.as_secs_f64();
        self.samples = self.samples.saturating_add(1);
        if self.samples <= WARM_UP_SAMPLES {
            let weight = f64::from(self.samples).recip();
            self.baseline += (latency - self.baseline) * weight;
            self.recent = self.baseline;
            return;
        }
        self.recent += (latency - self.recent) * RECENT_WEIGHT;
        self.baseline += (latency - self.baseline) * BASELINE_WEIGHT;
        self.adapt();
    }

    fn adapt(&mut self) {
        if self.recent < self.baseline * RECOVERY_RATIO {
            self.current = (self.current + INCREASE_STEP).min(self.maximum);
            return;
        }
        self.samples_until_decrease = self.samples_until_decrease.saturating_sub(1);
        if self.recent > self.baseline * OVERLOAD_RATIO && self.samples_until_decrease == 0 {
            self.current = (self.current * DECREASE_FACTOR).max(1.0);
            // A decrease takes effect only once the running statements end, so
            // the next one follows after four more samples at the earliest.
            self.samples_until_decrease = 4;
        }
    }
}

/// The limit of a queue.
#[derive(Clone, Debug)]
pub enum Adaptive {
    /// Compares the latency of all statements with their past.
    Overall(Limit),
    /// Compares the latency of each priority with its own past.
    ByPriority(PriorityLimit),
}

impl Adaptive {
    /// Returns the number of slots that may be in use, at least one.
    pub fn slots(&self) -> usize {
        match self {
            Self::Overall(limit) => limit.slots(),
            Self::ByPriority(limit) => limit.slots(),
        }
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
        match self {
            Self::Overall(limit) => limit.record(latency),
            Self::ByPriority(limit) => limit.record(priority, latency, in_use, now),
        }
    }
}
