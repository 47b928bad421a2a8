//! How many log lines of one kind are written.

use agateport_domain::prelude::*;

/// Lines of one kind in a second. Enough to follow single requests, and a small
/// part of what a flood would write.
const RATE: u32 = 100;

/// Time over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Counts the lines of one kind.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    begun: Instant,
    written: u32,
    omitted: u64,
}

impl Budget {
    /// Creates a budget of which nothing is used.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            begun: now,
            written: 0,
            omitted: 0,
        }
    }

    /// Takes one line out of the budget, and returns how many were left out
    /// since the last one that was written; none if this one is left out too.
    pub fn take(&mut self, now: Instant) -> Option<u64> {
        if now >= self.begun + WINDOW {
            self.begun = now;
            self.written = 0;
        }
        if self.written >= RATE {
            self.omitted += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.omitted))
    }
}
