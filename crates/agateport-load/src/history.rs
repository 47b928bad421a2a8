//! History of the writes of a run, for the consistency check.

use crate::outcome::Outcome;
use crate::plan::Kind;
use agateport_domain::shard::Sharded;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// Number of an item, unique across all runs against one deployment.
pub type ItemId = i64;

/// Number of low bits of an item's number that count the items of a run. The bits
/// above hold the start of the run, in seconds since 1970.
const RUN_SHIFT: u32 = 28;

/// One write and its outcome.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Write {
    /// Index of the group in the profile.
    pub group: usize,
    /// Kind of write.
    pub kind: Kind,
    /// Outcome that the caller received.
    pub outcome: Outcome,
}

/// Writes of all callers, by item.
#[derive(Debug)]
pub struct History {
    next_item: AtomicI64,
    first_item: ItemId,
    writes: Sharded<ItemId, Write>,
}

impl History {
    /// Creates an empty history whose item numbers no earlier run has used.
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

    /// Allocates the number of a new item.
    pub fn next_item(&self) -> ItemId {
        self.next_item.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the lowest item number of this run.
    #[must_use]
    pub fn first_item(&self) -> ItemId {
        self.first_item
    }

    /// Records the write of an item, replacing its previous entry.
    pub fn record(&self, item: ItemId, write: Write) {
        self.writes.insert(item, write);
    }

    /// Calls `action` for each recorded write.
    pub fn for_each(&self, mut action: impl FnMut(ItemId, Write)) {
        self.writes.for_each(|item, write| action(*item, *write));
    }
}

impl Default for History {
    fn default() -> Self {
        Self::new()
    }
}
