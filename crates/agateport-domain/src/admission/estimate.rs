//! An estimate of the time that requests of one priority hold a slot.

use std::time::{Duration, Instant};

/// Inverse weight of a new sample in the moving average of the hold time.
const MEAN_WEIGHT: u32 = 16;

/// Inverse weight of a new sample in the moving average of the deviation.
const DEVIATION_WEIGHT: u32 = 8;

/// Time without a sample after which an estimate is halved.
///
/// While all requests are refused there are no samples, so an estimate that did
/// not decay could refuse requests forever, even after the server has become
/// fast again.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Mean deviations above the mean at which the upper bound lies; nearly every
/// request stays below it.
const DEVIATIONS: u32 = 2;

/// Moving averages of the time that requests hold a slot and of its deviation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    mean: Option<Duration>,
    deviation: Duration,
    measured_at: Option<Instant>,
}

impl Estimate {
    /// Adds a sample.
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

    /// Returns the mean; zero before the first sample.
    #[must_use]
    pub fn mean(&self) -> Duration {
        self.mean.unwrap_or_default()
    }

    /// Returns the expected time at `now`: the mean, decayed by its age.
    #[must_use]
    pub fn expected(&self, now: Instant) -> Duration {
        self.decay(self.mean(), now)
    }

    /// Returns a time that nearly every request stays below at `now`: the mean
    /// plus two mean deviations, decayed by their age.
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
