//! The workspaces of a configuration.

use super::{Fault, KeyDigest};
use crate::id::WorkspaceId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum length of a key in bytes.
const MAX_KEY_LENGTH: usize = 200;

/// Largest rate and burst in operations. It can be multiplied by any window in use.
const MAX_OPERATIONS: f64 = 1e9;

/// Number of units in which a rate counts one operation per second.
const UNITS: f64 = 1_000.0;

/// A workspace as a configuration lists it.
#[derive(Clone)]
pub struct Entry {
    /// Name; servers are told it.
    pub name: String,
    /// Keys of its callers.
    pub keys: Vec<Vec<u8>>,
    /// Operations per second that all its callers together may run; none if unlimited.
    pub rate: Option<f64>,
    /// Operations that they may run at once after a pause.
    pub burst: Option<f64>,
}

impl std::fmt::Debug for Entry {
    /// Omits the keys.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut entry = formatter.debug_struct("Entry");
        entry.field("name", &self.name).finish_non_exhaustive()
    }
}

/// Limit on the operations of a workspace, over all nodes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Operations per thousand seconds.
    rate: u64,
    /// Thousandths of operations.
    burst: u64,
}

impl Limits {
    /// No operation at all.
    pub const NOTHING: Self = Self { rate: 0, burst: 0 };

    /// Creates limits from operations per second, and operations.
    ///
    /// # Errors
    ///
    /// [`Fault::Limits`] if one is not a positive number.
    pub fn new(rate: f64, burst: f64) -> Result<Self, Fault> {
        Ok(Self {
            rate: units(rate)?,
            burst: units(burst)?,
        })
    }

    /// Returns the operations per second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        operations(self.rate)
    }

    /// Returns the operations that may be run at once after a pause.
    #[must_use]
    pub fn burst(&self) -> f64 {
        operations(self.burst)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is positive and at most MAX_OPERATIONS"
)]
fn units(value: f64) -> Result<u64, Fault> {
    if value.is_nan() || value <= 0.0 {
        return Err(Fault::Limits);
    }
    Ok((value.min(MAX_OPERATIONS) * UNITS).round() as u64)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "at most MAX_OPERATIONS, which a double holds exactly"
)]
fn operations(units: u64) -> f64 {
    units as f64 / UNITS
}

/// The workspaces of a configuration, and the keys that identify their callers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Directory {
    keys: BTreeMap<KeyDigest, WorkspaceId>,
    /// Limits by workspace; none if it is not limited.
    workspaces: BTreeMap<WorkspaceId, Option<Limits>>,
}

impl Directory {
    /// Creates a directory, and returns why parts of the list are left out, with the name of
    /// the workspace where it has one. `is_name` tells whether a text is a valid name.
    #[must_use]
    pub fn new(
        entries: impl IntoIterator<Item = Entry>,
        is_name: impl Fn(&str) -> bool,
    ) -> (Self, Vec<(WorkspaceId, Fault)>) {
        let mut directory = Self::default();
        let mut faults = Vec::new();
        let mut repeated = BTreeSet::new();
        for entry in entries {
            if !is_name(&entry.name) {
                faults.push(("".into(), Fault::Name));
                continue;
            }
            let name = WorkspaceId::from(entry.name.as_str());
            if directory.workspaces.contains_key(&name) {
                faults.push((name, Fault::SameName));
                continue;
            }
            let limits = limits(&entry).unwrap_or_else(|fault| {
                faults.push((name.clone(), fault));
                Some(Limits::NOTHING)
            });
            directory.workspaces.insert(name.clone(), limits);
            for key in &entry.keys {
                if !is_key(key) {
                    faults.push((name.clone(), Fault::Key));
                    continue;
                }
                let digest = KeyDigest::of(key);
                if directory.keys.insert(digest, name.clone()).is_some() {
                    faults.push((name.clone(), Fault::SameKey));
                    repeated.insert(digest);
                }
            }
        }
        for key in repeated {
            directory.keys.remove(&key);
        }
        (directory, faults)
    }

    /// Returns the workspace that a key identifies.
    #[must_use]
    pub fn workspace(&self, key: &KeyDigest) -> Option<&WorkspaceId> {
        self.keys.get(key)
    }

    /// Returns the limits of a workspace; none if it is not limited. A workspace that is not
    /// listed may run nothing.
    #[must_use]
    pub fn limits(&self, workspace: &WorkspaceId) -> Option<Limits> {
        let limits = self.workspaces.get(workspace).copied();
        limits.unwrap_or(Some(Limits::NOTHING))
    }

    /// Returns the workspaces with their limits.
    pub fn workspaces(&self) -> impl Iterator<Item = (&WorkspaceId, Option<Limits>)> {
        self.workspaces.iter().map(|(name, limits)| (name, *limits))
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// Returns the directory without the workspaces whose names are not valid, and without
    /// their keys. One that another node sent may hold any names.
    #[must_use]
    pub fn checked(self, is_name: impl Fn(&str) -> bool) -> Self {
        let keys = self.keys.into_iter();
        let workspaces = self.workspaces.into_iter();
        Self {
            keys: keys.filter(|(_, name)| is_name(name)).collect(),
            workspaces: workspaces.filter(|(name, _)| is_name(name)).collect(),
        }
    }
}

/// Returns the limits of an entry; none if it has no rate.
fn limits(entry: &Entry) -> Result<Option<Limits>, Fault> {
    let Some(rate) = entry.rate else {
        return Ok(None);
    };
    // Without a burst, the operations of one second may come at once.
    Limits::new(rate, entry.burst.unwrap_or(rate)).map(Some)
}

fn is_key(key: &[u8]) -> bool {
    let is_blank = |byte: &u8| byte.is_ascii_whitespace() || byte.is_ascii_control();
    !key.is_empty() && key.len() <= MAX_KEY_LENGTH && !key.iter().any(is_blank)
}
