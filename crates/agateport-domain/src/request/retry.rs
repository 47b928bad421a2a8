//! Retry budget and backoff of requests.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Amount that a first attempt adds to the budget, in hundredths of a retry.
const EARNED_PER_REQUEST: u32 = 20;

/// Amount that a retry takes from the budget, in hundredths of a retry.
const COST_PER_RETRY: u32 = 100;

/// Maximum balance of the budget, in hundredths of a retry.
const MAX_BALANCE: u32 = 2_000;

/// Pause before the first retry, before jitter.
const INITIAL_PAUSE: Duration = Duration::from_millis(5);

/// Longest pause between two attempts, before jitter.
const MAX_PAUSE: Duration = Duration::from_millis(160);

/// A retry budget, which allows a fraction of the first attempts to be retried.
///
/// With it, a fault that makes every request fail adds a bounded fraction to the
/// load instead of multiplying it.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    hundredths: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            hundredths: MAX_BALANCE,
        }
    }
}

impl Budget {
    /// Records a first attempt.
    pub fn earn(&mut self) {
        self.hundredths = (self.hundredths + EARNED_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn spend(&mut self) -> bool {
        let remaining = self.hundredths.checked_sub(COST_PER_RETRY);
        self.hundredths = remaining.unwrap_or(self.hundredths);
        remaining.is_some()
    }
}

/// Exponential backoff with jitter between the attempts of one request.
#[derive(Clone, Debug)]
pub struct Backoff {
    random: Pcg64Mcg,
    interval: Duration,
}

impl Backoff {
    /// Creates the backoff of one request; `seed` determines the jitter.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            random: Pcg64Mcg::new(u128::from(seed)),
            interval: INITIAL_PAUSE,
        }
    }

    /// Returns the next pause, between half and all of the current interval.
    pub fn next_pause(&mut self) -> Duration {
        let interval = self.interval;
        self.interval = (interval * 2).min(MAX_PAUSE);
        interval.mul_f64(self.random.random_range(0.5..1.0))
    }
}
