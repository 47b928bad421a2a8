//! Rate limit for log lines of one kind.

use agateport_domain::prelude::*;

/// Lines of one kind that may be written per [`WINDOW`]. Enough to trace single
/// requests, and a small part of what an overload would otherwise write.
const LINES_PER_WINDOW: u32 = 100;

/// Window over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Fixed-window rate limiter for the log lines of one kind.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    window_start: Instant,
    written: u32,
    omitted: u64,
}

impl Budget {
    /// Creates an unused budget whose first window starts at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            window_start: now,
            written: 0,
            omitted: 0,
        }
    }

    /// Takes one line out of the budget and returns the number of lines omitted
    /// since the last one that was written. Returns `None` if this line is to be
    /// omitted as well.
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
