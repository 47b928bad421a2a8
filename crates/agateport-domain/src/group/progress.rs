//! History of the watermarks of a primary's log.

use crate::id::Uptime;
use crate::session::Watermark;
use std::collections::VecDeque;
use std::time::Duration;

/// Minimum time between two recorded entries. The floor of a read is at most
/// this much more recent than necessary.
const INTERVAL: Duration = Duration::from_millis(20);

/// Age after which entries are dropped. By default no route allows older data.
const RETENTION: Duration = Duration::from_secs(10);

/// Watermarks of a primary's log, with the times at which the queries were sent.
///
/// A log that has reached the watermark of a query holds every write that was
/// acknowledged before the query was sent, provided that the primary was the
/// only one at the time.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    entries: VecDeque<(Uptime, Watermark)>,
}

impl Progress {
    /// Records the `watermark` that a query sent at `sent_at` returned.
    pub fn record(&mut self, sent_at: Uptime, watermark: Watermark) {
        while self
            .entries
            .front()
            .is_some_and(|(queried_at, _)| *queried_at + RETENTION < sent_at)
        {
            self.entries.pop_front();
        }
        let last = self.entries.back().copied();
        if last.is_some_and(|(queried_at, _)| sent_at < queried_at + INTERVAL) {
            return;
        }
        // The watermark never decreases while one primary leads. An answer that
        // arrives out of order may be lower than the last one.
        let watermark = last.map_or(watermark, |(_, last)| last.max(watermark));
        self.entries.push_back((sent_at, watermark));
    }

    /// Returns the lowest watermark that covers everything acknowledged before
    /// `freshness_bound`, and when it was queried.
    #[must_use]
    pub fn floor(&self, freshness_bound: Uptime) -> Option<(Uptime, Watermark)> {
        let index = self
            .entries
            .partition_point(|(queried_at, _)| *queried_at < freshness_bound);
        self.entries.get(index).copied()
    }

    /// Returns the highest known watermark, and when it was queried.
    #[must_use]
    pub fn last(&self) -> Option<(Uptime, Watermark)> {
        self.entries.back().copied()
    }

    /// Drops the entries queried at `until` or later, when the primary may have
    /// been replaced. The remaining ones stay valid.
    pub fn truncate(&mut self, until: Uptime) {
        self.entries.retain(|(queried_at, _)| *queried_at < until);
    }
}
