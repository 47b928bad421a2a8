//! How often, and after which pause, a request is tried again.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// What a first try adds to the budget, in hundredths of a retry.
const EARNED: u32 = 20;

/// What a retry takes from the budget, in hundredths of a retry.
const COST: u32 = 100;

/// Largest budget, in hundredths of a retry.
const MAXIMUM: u32 = 2_000;

/// Pause before the first retry, before jitter.
const FIRST_PAUSE: Duration = Duration::from_millis(5);

/// Longest pause between two tries, before jitter.
const LONGEST_PAUSE: Duration = Duration::from_millis(160);

/// A budget of retries: a share of the first tries.
///
/// With it, a fault that makes every request fail adds a bounded share of load,
/// instead of multiplying it.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    hundredths: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            hundredths: MAXIMUM,
        }
    }
}

impl Budget {
    /// Records a first try.
    pub fn earn(&mut self) {
        self.hundredths = (self.hundredths + EARNED).min(MAXIMUM);
    }

    /// Takes one retry; false if there is none left.
    pub fn spend(&mut self) -> bool {
        let rest = self.hundredths.checked_sub(COST);
        self.hundredths = rest.unwrap_or(self.hundredths);
        rest.is_some()
    }
}

/// The pauses between the tries of one request: exponential, with jitter.
#[derive(Clone, Debug)]
pub struct Backoff {
    random: Pcg64Mcg,
    pause: Duration,
}

impl Backoff {
    /// Creates the pauses of one request; `seed` decides the jitter.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            random: Pcg64Mcg::new(u128::from(seed)),
            pause: FIRST_PAUSE,
        }
    }

    /// Returns the next pause: between a half and the whole of the interval.
    pub fn next_pause(&mut self) -> Duration {
        let whole = self.pause;
        self.pause = (whole * 2).min(LONGEST_PAUSE);
        whole.mul_f64(self.random.random_range(0.5..1.0))
    }
}
