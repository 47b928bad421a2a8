//! Recent demand for operations.

use crate::id::Uptime;
use std::time::Duration;

/// Time over which the demand is averaged: long enough for a workspace with few operations,
/// and short enough that a lease follows a change of the load.
const PERIOD: Duration = Duration::from_secs(1);

/// Exponentially weighted average of the operations per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    rate: f64,
    updated_at: Uptime,
}

impl Demand {
    /// Records an operation.
    pub fn record(&mut self, now: Uptime) {
        self.rate = self.rate(now) + 1.0 / PERIOD.as_secs_f64();
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the operations per second.
    #[must_use]
    pub fn rate(&self, now: Uptime) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.rate * (-elapsed / PERIOD.as_secs_f64()).exp()
    }
}
