//! One caller's session: what it has seen, and the state of its transaction.

mod error;
mod watermark;

pub use error::Error;
pub use watermark::Watermark;

use crate::id::GroupId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Whether a session is inside an explicit transaction.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Transaction {
    /// Outside of any transaction.
    #[default]
    Idle,
    /// Inside a transaction.
    Open,
    /// Inside a transaction that failed and waits for its rollback.
    Failed,
}

/// One caller's session.
#[derive(Clone, Debug, Default)]
pub struct Session {
    watermarks: BTreeMap<GroupId, Watermark>,
    transaction: Transaction,
}

impl Session {
    /// Returns what the session has seen of `group`, if it has seen anything.
    #[must_use]
    pub fn watermark(&self, group: &GroupId) -> Option<Watermark> {
        self.watermarks.get(group).copied()
    }

    /// Raises the watermark of `group`; a lower one leaves it as it is.
    pub fn observe(&mut self, group: &GroupId, seen: Watermark) {
        let watermark = self.watermarks.entry(group.clone()).or_insert(seen);
        *watermark = (*watermark).max(seen);
    }

    /// Returns the state of the session's transaction.
    #[must_use]
    pub fn transaction(&self) -> Transaction {
        self.transaction
    }

    /// Records the transaction state that the upstream reported.
    pub fn set_transaction(&mut self, transaction: Transaction) {
        self.transaction = transaction;
    }
}
