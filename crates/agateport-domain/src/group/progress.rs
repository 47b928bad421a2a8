//! How far a primary's log had come at which moment.

use crate::id::Uptime;
use crate::session::Watermark;
use std::collections::VecDeque;
use std::time::Duration;

/// Time between two entries that are kept; a read's floor is at most this much
/// younger than it could be.
const INTERVAL: Duration = Duration::from_millis(20);

/// Age after which entries are dropped; no route allows older data by default.
const RETENTION: Duration = Duration::from_secs(10);

/// Places of a primary's log with the moments at which it was asked for them.
///
/// A log that holds the place told for a moment holds every write that was
/// acknowledged before that moment, if the primary was the only one then.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    entries: VecDeque<(Uptime, Watermark)>,
}

impl Progress {
    /// Takes in that the log, asked for at `asked`, had come to `place`.
    pub fn record(&mut self, sent_at: Uptime, watermark: Watermark) {
        while self
            .entries
            .front()
            .is_some_and(|(moment, _)| *moment + RETENTION < sent_at)
        {
            self.entries.pop_front();
        }
        let last = self.entries.back().copied();
        if last.is_some_and(|(moment, _)| sent_at < moment + INTERVAL) {
            return;
        }
        // A place never goes back while one primary leads; an answer that
        // overtook another may say less than is known.
        let watermark = last.map_or(watermark, |(_, last)| last.max(watermark));
        self.entries.push_back((sent_at, watermark));
    }

    /// Returns the lowest place that covers everything acknowledged before
    /// `oldest`, and the moment that it was asked for.
    #[must_use]
    pub fn floor(&self, oldest: Uptime) -> Option<(Uptime, Watermark)> {
        let index = self.entries.partition_point(|(moment, _)| *moment < oldest);
        self.entries.get(index).copied()
    }

    /// Returns the highest place known, and the moment that it was asked for.
    #[must_use]
    pub fn last(&self) -> Option<(Uptime, Watermark)> {
        self.entries.back().copied()
    }

    /// Forgets what was asked for at `until` or later, when the primary may have
    /// been replaced; what is left stays true.
    pub fn truncate(&mut self, until: Uptime) {
        self.entries.retain(|(moment, _)| *moment < until);
    }
}
