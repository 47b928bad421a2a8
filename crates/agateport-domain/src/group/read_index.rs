//! Which place of the log covers every write that was acknowledged before.

use super::{Acknowledge, Role, Status};
use crate::session::Watermark;

/// The places that servers reported since the index was asked for.
///
/// Any majority of servers has a member that holds an acknowledged write, so
/// the highest place of any majority covers it. No primary is needed for that.
#[derive(Clone, Debug)]
pub struct ReadIndex {
    acknowledge: Acknowledge,
    servers: usize,
    watermarks: Vec<Watermark>,
    primary: Option<Status>,
}

impl ReadIndex {
    /// Creates the index of a group of `servers` servers that nobody has
    /// answered for yet.
    #[must_use]
    pub fn new(acknowledge: Acknowledge, servers: usize) -> Self {
        Self {
            acknowledge,
            servers,
            watermarks: Vec::new(),
            primary: None,
        }
    }

    /// Records what one server said after the index was asked for.
    pub fn add(&mut self, status: Status) {
        self.watermarks.push(status.last);
        let is_newer = self.primary.is_none_or(|one| one.term < status.term);
        if status.role == Role::Primary && is_newer {
            self.primary = Some(status);
        }
    }

    /// Returns the place, or none until enough servers have answered.
    ///
    /// Of all majorities that have answered, this takes the one whose highest
    /// place is the lowest: more would only ask for entries that nobody was
    /// told of. With [`Acknowledge::Primary`], only the primary's own place
    /// covers a write.
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
