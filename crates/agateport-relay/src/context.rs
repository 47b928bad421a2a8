//! Values and prepared statements of a session, and how many of them a node keeps.

use crate::field::{Text, Word};
use crate::message::{Prepared, Request, Values, Verb};
use agateport_domain::prelude::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use thiserror::Error;

/// Maximum number of values and prepared statements of a session.
pub const MAX_ENTRIES: usize = 1_000;

/// Maximum size of a session's values and prepared statements in bytes. The longest
/// statement that a message can hold fits, and all values of a session fit a frame
/// between nodes.
pub const MAX_SESSION_BYTES: usize = 2 << 20;

/// Maximum size of the values and prepared statements of all sessions of a node in
/// bytes; the smallest nodes have 160 MB of memory.
pub const MAX_NODE_BYTES: usize = 32 << 20;

/// Size in bytes of a session's values and prepared statements that does not count towards
/// the limit of the node, so that sessions with many cannot keep others from a few.
pub const FREE_BYTES: usize = 2 << 10;

/// Size in bytes that is counted for each entry besides its texts: that of the map's
/// entry and of two allocations.
pub const ENTRY_BYTES: usize = 128;

/// Why a value or prepared statement is not kept; the context is unchanged.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The session has the maximum number of values and prepared statements.
    #[error("a session has at most {MAX_ENTRIES} values and prepared statements")]
    TooMany,
    /// The session's values and prepared statements would be too large.
    #[error(
        "the values and prepared statements of a session have at most {MAX_SESSION_BYTES} bytes"
    )]
    TooLarge,
    /// The values and prepared statements of all sessions would be too large.
    #[error(
        "the values and prepared statements of a node's sessions have at most {MAX_NODE_BYTES} bytes"
    )]
    NodeFull,
}

impl Error {
    /// Returns whether another node, or this one at a later time, may keep the entry.
    #[must_use]
    pub fn is_temporary(self) -> bool {
        self == Self::NodeFull
    }

    /// Returns the name for logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::TooMany => "too_many",
            Self::TooLarge => "too_large",
            Self::NodeFull => "node_full",
        }
    }
}

/// Size of the values and prepared statements of all sessions of a node.
#[derive(Debug)]
pub struct Usage {
    bytes: AtomicUsize,
    /// Maximum size in bytes.
    limit: usize,
}

impl Default for Usage {
    fn default() -> Self {
        Self::new(MAX_NODE_BYTES)
    }
}

impl Usage {
    /// Creates the usage of a node that keeps at most `limit` bytes, and never more than
    /// [`MAX_NODE_BYTES`].
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            bytes: AtomicUsize::new(0),
            limit: limit.min(MAX_NODE_BYTES),
        }
    }

    /// Returns the size in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Adds `bytes` and returns whether the limit allows it; otherwise nothing changes.
    fn add(&self, bytes: usize) -> bool {
        let added = |used: usize| {
            let total = used.checked_add(bytes)?;
            (total <= self.limit).then_some(total)
        };
        self.bytes
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, added)
            .is_ok()
    }

    fn subtract(&self, bytes: usize) {
        self.bytes.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// Values and prepared statements of a session, which a connection needs to run its
/// statements.
#[derive(Debug, Default)]
pub struct Context {
    /// Values of the session, by name.
    values: Values,
    /// Prepared statements of the session, by the caller's name.
    prepared: BTreeMap<Word, Prepared>,
    /// Size of the entries in bytes.
    bytes: usize,
    /// Size of the entries of all sessions.
    usage: Arc<Usage>,
}

impl Context {
    /// Creates the empty context of a session, whose size counts in `usage`.
    #[must_use]
    pub fn new(usage: Arc<Usage>) -> Self {
        Self {
            values: Values::new(),
            prepared: BTreeMap::new(),
            bytes: 0,
            usage,
        }
    }

    /// Returns the values of the session, by name.
    #[must_use]
    pub fn values(&self) -> &Values {
        &self.values
    }

    /// Returns the size of the values and prepared statements in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the prepared statement that a request executes.
    #[must_use]
    pub fn prepared(&self, request: &Request) -> Option<&Prepared> {
        let Verb::Execute { name, .. } = &request.verb else {
            return None;
        };
        self.prepared.get(name)
    }

    /// Sets a value.
    ///
    /// # Errors
    ///
    /// [`enum@Error`] if a limit is exceeded; nothing has changed.
    pub fn set(&mut self, name: &Word, value: &Text) -> Result<(), Error> {
        let former = self.values.get(name).map(|value| size(name, value));
        self.resize(former, size(name, value))?;
        self.values.insert(name.detached(), value.detached());
        Ok(())
    }

    /// Prepares a statement; one of the same name is replaced.
    ///
    /// # Errors
    ///
    /// [`enum@Error`] if a limit is exceeded; nothing has changed.
    pub fn prepare(&mut self, name: &Word, prepared: &Prepared) -> Result<(), Error> {
        let former = self.prepared.get(name);
        let former = former.map(|prepared| size(name, &prepared.shape));
        self.resize(former, size(name, &prepared.shape))?;
        let prepared = Prepared {
            access: prepared.access,
            shape: prepared.shape.detached(),
        };
        self.prepared.insert(name.detached(), prepared);
        Ok(())
    }

    /// Deallocates a prepared statement; returns whether there was one of this name.
    pub fn deallocate(&mut self, name: &Word) -> bool {
        let Some(prepared) = self.prepared.remove(name) else {
            return false;
        };
        let bytes = self.bytes - size(name, &prepared.shape);
        self.usage.subtract(shared(self.bytes) - shared(bytes));
        self.bytes = bytes;
        true
    }

    /// Accounts for an entry of `size` bytes that replaces one of `former` bytes, if any.
    fn resize(&mut self, former: Option<usize>, size: usize) -> Result<(), Error> {
        if former.is_none() && self.values.len() + self.prepared.len() >= MAX_ENTRIES {
            return Err(Error::TooMany);
        }
        let former = former.unwrap_or(0);
        let bytes = self.bytes - former + size;
        if bytes > MAX_SESSION_BYTES {
            return Err(Error::TooLarge);
        }
        let (before, after) = (shared(self.bytes), shared(bytes));
        if after <= before {
            self.usage.subtract(before - after);
        } else if !self.usage.add(after - before) {
            return Err(Error::NodeFull);
        }
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Context {
    fn drop(&mut self) {
        self.usage.subtract(shared(self.bytes));
    }
}

/// Returns the part of a session's size that counts towards the limit of the node.
fn shared(bytes: usize) -> usize {
    bytes.saturating_sub(FREE_BYTES)
}

/// Returns the size in bytes that counts for an entry.
fn size(name: &Word, text: &Text) -> usize {
    name.len() + text.len() + ENTRY_BYTES
}
