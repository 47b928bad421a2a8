//! Rate limit for the promotions of one group.

use std::time::{Duration, Instant};

/// Pause after the first promotion.
const MIN_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause. It lets a second failure in a row be resolved within 6 s.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Time without a promotion after which the pause returns to [`MIN_PAUSE`].
const RESET_AFTER: Duration = Duration::from_mins(1);

/// Enforces a pause between two promotions of one group; each pause is twice as
/// long as the previous one, up to `MAX_PAUSE`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cooldown {
    /// Start of the last promotion, and the pause after it.
    last: Option<(Instant, Duration)>,
}

impl Cooldown {
    /// Returns whether a promotion may start.
    #[must_use]
    pub fn is_over(&self, now: Instant) -> bool {
        self.last.is_none_or(|(start, pause)| now >= start + pause)
    }

    /// Records that a promotion starts.
    pub fn start(&mut self, now: Instant) {
        let pause = match self.last {
            Some((start, pause)) if now < start + RESET_AFTER => (pause * 2).min(MAX_PAUSE),
            _ => MIN_PAUSE,
        };
        self.last = Some((now, pause));
    }
}
