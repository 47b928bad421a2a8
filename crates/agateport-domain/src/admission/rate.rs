//! A rate of recent events.

use std::time::{Duration, Instant};

/// Time after which an event counts for about a third of its initial weight.
const WINDOW: Duration = Duration::from_millis(500);

/// Rate of recent events; each counts less the older it is.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    per_second: f64,
    updated_at: Option<Instant>,
}

impl Rate {
    /// Adds an event.
    pub fn record(&mut self, now: Instant) {
        self.per_second = self.get(now) + WINDOW.as_secs_f64().recip();
        self.updated_at = Some(now);
    }

    /// Returns the number of events per second.
    #[must_use]
    pub fn get(&self, now: Instant) -> f64 {
        let Some(updated_at) = self.updated_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(updated_at);
        self.per_second * (-age.div_duration_f64(WINDOW)).exp()
    }
}
