//! Workspaces: the customers of a deployment, the keys that identify their callers, and
//! the limits that hold for all their callers together.
//!
//! A deployment whose configuration lists no workspaces has no [`Directory`], and its
//! callers need no key.

mod directory;
mod error;
mod key;

pub use directory::{Directory, Entry, Limits};
pub use error::{Fault, Refusal};
pub use key::KeyDigest;

use crate::id::WorkspaceId;
use std::time::Duration;

/// How current the configuration is that a key is checked against.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Currency {
    /// Time since the configuration was last confirmed; none if it never was.
    pub age: Option<Duration>,
    /// Age up to which an unknown key is known to be invalid.
    pub validity: Duration,
    /// Age up to which a known key is accepted.
    pub key_validity: Duration,
}

impl Currency {
    fn is_within(&self, limit: Duration) -> bool {
        self.age.is_some_and(|age| age < limit)
    }
}

/// Returns the workspace of a caller; none if the deployment has no workspaces, or if the
/// route is public and the key is unknown.
///
/// # Errors
///
/// [`Refusal`] if the key identifies no workspace, or the configuration is too old to tell.
pub fn identify(
    directory: Option<&Directory>,
    is_public: bool,
    key: &KeyDigest,
    currency: Currency,
) -> Result<Option<WorkspaceId>, Refusal> {
    let Some(directory) = directory else {
        return Ok(None);
    };
    match directory.workspace(key) {
        Some(workspace) if currency.is_within(currency.key_validity) => Ok(Some(workspace.clone())),
        _ if is_public => Ok(None),
        Some(_) => Err(Refusal::Unconfirmed),
        None if currency.is_within(currency.validity) => Err(Refusal::UnknownKey),
        None => Err(Refusal::Outdated),
    }
}
