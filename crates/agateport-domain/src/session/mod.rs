//! One caller's session: what it has seen, its settings, and the state of its
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

/// The least that a server must hold to serve a session's read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Floor {
    /// What the session has seen.
    Known(Watermark),
    /// The session came without a watermark and may have seen anything before
    /// it arrived: a read index taken since then covers it.
    Unknown {
        /// When the session arrived.
        arrived: Instant,
    },
}

/// One caller's session.
#[derive(Clone, Debug)]
pub struct Session {
    arrived: Instant,
    watermarks: BTreeMap<GroupId, Watermark>,
    transaction: Transaction,
    settings: Settings,
    key: Option<String>,
    last_key: Option<String>,
}

impl Session {
    /// Creates the session of a caller that arrived at `arrived`.
    #[must_use]
    pub fn new(arrived: Instant) -> Self {
        Self {
            arrived,
            watermarks: BTreeMap::new(),
            transaction: Transaction::Idle,
            settings: Settings::default(),
            key: None,
            last_key: None,
        }
    }

    /// Returns what the session has seen of `group`, if it has seen anything.
    #[must_use]
    pub fn watermark(&self, group: &GroupId) -> Option<Watermark> {
        self.watermarks.get(group).copied()
    }

    /// Returns what a server of `group` must hold to serve the session.
    #[must_use]
    pub fn floor(&self, group: &GroupId) -> Floor {
        match self.watermark(group) {
            Some(watermark) => Floor::Known(watermark),
            None => Floor::Unknown {
                arrived: self.arrived,
            },
        }
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

    /// Returns the settings.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the settings, to be changed.
    pub fn settings_mut(&mut self) -> &mut Settings {
        &mut self.settings
    }

    /// Returns the key that was set for the next write.
    #[must_use]
    pub fn key(&self) -> Option<&str> {
        self.key.as_deref()
    }

    /// Sets the key of the next write; none takes it away.
    pub fn set_key(&mut self, key: Option<String>) {
        self.last_key.clone_from(&key);
        self.key = key;
    }

    /// Records that a write with `key` goes out.
    pub fn use_key(&mut self, key: String) {
        self.last_key = Some(key);
    }

    /// Records that a write with a key was answered: the key stands for it, and
    /// for no other.
    pub fn finish_key(&mut self) {
        self.key = None;
    }

    /// Returns the last key that the session used.
    #[must_use]
    pub fn last_key(&self) -> Option<&str> {
        self.last_key.as_deref()
    }
}
