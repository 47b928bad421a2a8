//! What callers were told, for the check after the run.

use crate::outcome::Outcome;
use crate::plan::Kind;
use agateport_domain::shard::Sharded;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// Number of an item, unique over all runs against one deployment.
pub type ItemId = i64;

/// Bits of an item's number that count within a run.
const RUN_SHIFT: u32 = 28;

/// What a caller was told of one write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Write {
    /// Index of the group in the profile.
    pub group: usize,
    /// What was done.
    pub kind: Kind,
    /// What the caller was told.
    pub outcome: Outcome,
}

/// What all callers were told of their writes, by item.
#[derive(Debug)]
pub struct History {
    next_item: AtomicI64,
    first_item: ItemId,
    writes: Sharded<ItemId, Write>,
}

impl History {
    /// Creates an empty record with numbers that no earlier run has used.
    #[must_use]
    pub fn new() -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let seconds = now.map_or(0, |now| now.as_secs());
        let first_item = i64::try_from(seconds).unwrap_or(0) << RUN_SHIFT;
        Self {
            next_item: AtomicI64::new(first_item),
            first_item,
            writes: Sharded::new(),
        }
    }

    /// Returns a number for a new item.
    pub fn next_item(&self) -> ItemId {
        self.next_item.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the lowest number of this run.
    #[must_use]
    pub fn first_item(&self) -> ItemId {
        self.first_item
    }

    /// Records what a caller was told of an item.
    pub fn record(&self, item: ItemId, write: Write) {
        self.writes.insert(item, write);
    }

    /// Runs `action` on all that was told.
    pub fn for_each(&self, mut action: impl FnMut(ItemId, Write)) {
        self.writes.for_each(|item, write| action(*item, *write));
    }
}

impl Default for History {
    fn default() -> Self {
        Self::new()
    }
}
