//! The read index: a log position that covers every write acknowledged before a
//! read started.

use super::{Acknowledge, Role, Status};
use crate::session::Watermark;

/// The watermarks that servers reported since the read index was requested.
///
/// Any majority of servers has a member that holds an acknowledged write, so the
/// highest watermark of any majority covers that write. No primary is needed.
#[derive(Clone, Debug)]
pub struct ReadIndex {
    acknowledge: Acknowledge,
    servers: usize,
    watermarks: Vec<Watermark>,
    primary: Option<Status>,
}

impl ReadIndex {
    /// Creates a read index for a group of `servers` servers, none of which has
    /// answered yet.
    #[must_use]
    pub fn new(acknowledge: Acknowledge, servers: usize) -> Self {
        Self {
            acknowledge,
            servers,
            watermarks: Vec::new(),
            primary: None,
        }
    }

    /// Records the status that one server reported after the index was requested.
    pub fn add(&mut self, status: Status) {
        self.watermarks.push(status.last);
        let is_newer = self.primary.is_none_or(|known| known.term < status.term);
        if status.role == Role::Primary && is_newer {
            self.primary = Some(status);
        }
    }

    /// Returns the read index, or none until enough servers have answered.
    ///
    /// Of all majorities that have answered, it uses the one whose highest
    /// watermark is the lowest: a higher one would only require entries that were
    /// not acknowledged to anyone. With [`Acknowledge::Primary`], only the
    /// primary's own watermark covers a write.
    #[must_use]
    pub fn watermark(&self) -> Option<Watermark> {
        if self.acknowledge == Acknowledge::Primary {
            return self.primary.map(|status| status.last);
        }
        let mut watermarks = self.watermarks.clone();
        watermarks.sort_unstable();
        watermarks.get(self.servers / 2).copied()
    }
}
