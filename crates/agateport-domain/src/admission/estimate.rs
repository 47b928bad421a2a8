//! How long requests of a priority hold a slot.

use std::time::Duration;

/// Weight of a new sample in the mean, as the divisor of a shift-free average.
const MEAN_WEIGHT: u32 = 16;

/// Weight of a new sample in the deviation.
const DEVIATION_WEIGHT: u32 = 8;

/// Deviations above the mean that nearly every request stays under.
const DEVIATIONS: u32 = 2;

/// Mean and mean deviation of the time that requests hold a slot.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    mean: Option<Duration>,
    deviation: Duration,
}

impl Estimate {
    /// Takes in a measured time.
    pub fn record(&mut self, held: Duration) {
        let Some(mean) = self.mean else {
            self.mean = Some(held);
            self.deviation = held / 2;
            return;
        };
        let error = held.abs_diff(mean);
        self.deviation = average(self.deviation, error, DEVIATION_WEIGHT);
        self.mean = Some(average(mean, held, MEAN_WEIGHT));
    }

    /// Returns the mean; zero until something was measured.
    #[must_use]
    pub fn mean(&self) -> Duration {
        self.mean.unwrap_or_default()
    }

    /// Returns a time that nearly every request stays under.
    #[must_use]
    pub fn high(&self) -> Duration {
        self.mean() + self.deviation * DEVIATIONS
    }
}

fn average(before: Duration, sample: Duration, weight: u32) -> Duration {
    (before * (weight - 1) + sample) / weight
}
