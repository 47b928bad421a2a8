//! Spaces promotions of one group out.

use std::time::{Duration, Instant};

/// Pause after the first promotion.
const SHORTEST: Duration = Duration::from_millis(500);

/// Longest pause; a second failure in a row is still over within 6 s.
const LONGEST: Duration = Duration::from_secs(4);

/// Time without a promotion after which the pause is short again.
const CALM: Duration = Duration::from_mins(1);

/// Spaces promotions of one group out: each pause is twice the one before.
#[derive(Clone, Copy, Debug, Default)]
pub struct Damper {
    last: Option<(Instant, Duration)>,
}

impl Damper {
    /// Tells whether a promotion may start.
    #[must_use]
    pub fn is_open(&self, now: Instant) -> bool {
        self.last.is_none_or(|(start, pause)| now >= start + pause)
    }

    /// Records that a promotion starts.
    pub fn start(&mut self, now: Instant) {
        let pause = match self.last {
            Some((start, pause)) if now < start + CALM => (pause * 2).min(LONGEST),
            _ => SHORTEST,
        };
        self.last = Some((now, pause));
    }
}
