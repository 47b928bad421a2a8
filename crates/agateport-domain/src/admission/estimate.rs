//! How long requests of a priority hold a slot.

use std::time::{Duration, Instant};

/// Weight of a new sample in the mean, as the divisor of a shift-free average.
const MEAN_WEIGHT: u32 = 16;

/// Weight of a new sample in the deviation.
const DEVIATION_WEIGHT: u32 = 8;

/// Time without a measurement after which an estimate counts half.
///
/// Nothing is measured while everything is refused, so an estimate that never
/// faded could refuse for good what the server has long been able to do.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Deviations above the mean that nearly every request stays under.
const DEVIATIONS: u32 = 2;

/// Mean and mean deviation of the time that requests hold a slot.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    mean: Option<Duration>,
    deviation: Duration,
    measured_at: Option<Instant>,
}

impl Estimate {
    /// Takes in a measured time.
    pub fn record(&mut self, held: Duration, now: Instant) {
        self.measured_at = Some(now);
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

    /// Returns the time to expect at `now`: the mean, which fades with its age.
    #[must_use]
    pub fn expected(&self, now: Instant) -> Duration {
        self.decay(self.mean(), now)
    }

    /// Returns a time that nearly every request stays under, as far as is known
    /// at `now`.
    #[must_use]
    pub fn upper_bound(&self, now: Instant) -> Duration {
        self.decay(self.mean() + self.deviation * DEVIATIONS, now)
    }

    fn decay(&self, time: Duration, now: Instant) -> Duration {
        let Some(measured_at) = self.measured_at else {
            return time;
        };
        let age = now.saturating_duration_since(measured_at);
        let halvings = age.div_duration_f64(HALF_LIFE);
        time.mul_f64((-halvings).exp2())
    }
}

fn average(before: Duration, sample: Duration, weight: u32) -> Duration {
    (before * (weight - 1) + sample) / weight
}
