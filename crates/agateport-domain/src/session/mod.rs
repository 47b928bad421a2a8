//! The session of a caller: its watermarks, its settings, and the state of its
//! transaction.

mod choice;
mod error;
pub mod placement;
mod settings;
mod watermark;

pub use choice::{Candidate, Choice, Report, choose};
pub use error::Error;
pub use settings::Settings;
pub use watermark::Watermark;

use crate::id::GroupId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Instant;

/// Transaction state of a session.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Transaction {
    /// Outside any explicit transaction.
    #[default]
    Idle,
    /// Inside a transaction.
    Open,
    /// Inside a failed transaction that must be rolled back.
    Failed,
}

/// The minimum watermark that a server must have reached to serve a session's
/// read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Floor {
    /// Highest watermark that the session has observed.
    Known(Watermark),
    /// The session has no watermark, so it must read every write acknowledged
    /// before it started; a read index requested since then covers all of them.
    Unknown {
        /// When the session started.
        started_at: Instant,
    },
}

/// The session of a caller.
#[derive(Clone, Debug)]
pub struct Session {
    started_at: Instant,
    watermarks: BTreeMap<GroupId, Watermark>,
    transaction: Transaction,
    settings: Settings,
    key: Option<String>,
    last_key: Option<String>,
}

impl Session {
    /// Creates a session that started at `started_at`.
    #[must_use]
    pub fn new(started_at: Instant) -> Self {
        Self {
            started_at,
            watermarks: BTreeMap::new(),
            transaction: Transaction::Idle,
            settings: Settings::default(),
            key: None,
            last_key: None,
        }
    }

    /// Returns the session's watermark in `group`; none if it has neither read nor
    /// written there.
    #[must_use]
    pub fn watermark(&self, group: &GroupId) -> Option<Watermark> {
        self.watermarks.get(group).copied()
    }

    /// Returns the minimum watermark for a server of `group` to serve the
    /// session.
    #[must_use]
    pub fn floor(&self, group: &GroupId) -> Floor {
        match self.watermark(group) {
            Some(watermark) => Floor::Known(watermark),
            None => Floor::Unknown {
                started_at: self.started_at,
            },
        }
    }

    /// Raises the watermark of `group` to `seen`, unless it is higher already.
    pub fn observe(&mut self, group: &GroupId, seen: Watermark) {
        let watermark = self.watermarks.entry(group.clone()).or_insert(seen);
        *watermark = (*watermark).max(seen);
    }

    /// Returns the transaction state.
    #[must_use]
    pub fn transaction(&self) -> Transaction {
        self.transaction
    }

    /// Records the transaction state that the upstream reported.
    pub fn set_transaction(&mut self, transaction: Transaction) {
        self.transaction = transaction;
    }

    /// Returns the session's settings.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the session's settings for modification.
    pub fn settings_mut(&mut self) -> &mut Settings {
        &mut self.settings
    }

    /// Returns the idempotency key set for the next write.
    #[must_use]
    pub fn key(&self) -> Option<&str> {
        self.key.as_deref()
    }

    /// Sets the idempotency key for the next write; none removes it.
    pub fn set_key(&mut self, key: Option<String>) {
        self.last_key.clone_from(&key);
        self.key = key;
    }

    /// Records that a write with `key` is being sent.
    pub fn use_key(&mut self, key: String) {
        self.last_key = Some(key);
    }

    /// Records that the write with the key was answered; the key identifies that
    /// write and must not be used for the next one.
    pub fn finish_key(&mut self) {
        self.key = None;
    }

    /// Returns the last key that the session used.
    #[must_use]
    pub fn last_key(&self) -> Option<&str> {
        self.last_key.as_deref()
    }
}
