//! How many log lines of one kind are written.

use agateport_domain::prelude::*;

/// Lines of one kind in a second. Enough to follow single requests, and a small
/// part of what a flood would write.
const LINES_PER_WINDOW: u32 = 100;

/// Time over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Counts the lines of one kind.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    window_start: Instant,
    written: u32,
    omitted: u64,
}

impl Budget {
    /// Creates a budget of which nothing is used.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            window_start: now,
            written: 0,
            omitted: 0,
        }
    }

    /// Takes one line out of the budget, and returns how many were left out
    /// since the last one that was written; none if this one is left out too.
    pub fn take(&mut self, now: Instant) -> Option<u64> {
        if now >= self.window_start + WINDOW {
            self.window_start = now;
            self.written = 0;
        }
        if self.written >= LINES_PER_WINDOW {
            self.omitted += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.omitted))
    }
}
