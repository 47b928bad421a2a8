//! The number of slots in use, which follows the measured latency.

use std::time::Duration;

/// Share of a new sample in the recent latency.
const RECENT_WEIGHT: f64 = 0.05;

/// Share of a new sample in the usual latency.
const BASELINE_WEIGHT: f64 = 0.002;

/// Recent over usual latency above which the server is overloaded.
const OVERLOAD_RATIO: f64 = 2.0;

/// Recent over usual latency under which the server has recovered.
const RECOVERY_RATIO: f64 = 1.3;

/// Factor of the limit when the server is overloaded.
const DECREASE_FACTOR: f64 = 0.9;

/// Slots added for each sample when the server has recovered.
const INCREASE_STEP: f64 = 0.05;

/// Samples before the usual latency is known.
const WARM_UP_SAMPLES: u32 = 50;

/// A limit of slots that decreases by factors and recovers in steps.
///
/// It starts from the bundle's slots and never exceeds them: the operators
/// declare there how many statements the server runs without slowing down.
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
    /// Creates a limit of `slots`.
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

    /// Returns the number of slots in use, at least one.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the limit is between one and the bundle's slots"
    )]
    pub fn slots(&self) -> usize {
        self.current.round().max(1.0) as usize
    }

    /// Takes in how long a statement took.
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
            // A decrease shows only after the statements that run have ended.
            self.samples_until_decrease = 4;
        }
    }
}
