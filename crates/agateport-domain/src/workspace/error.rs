//! Why a caller is not identified, and why a part of a list of workspaces is ignored.

use thiserror::Error;

/// Why a caller is not identified; nothing was run.
#[derive(Clone, Copy, Debug, Eq, Error, Ord, PartialEq, PartialOrd)]
pub enum Refusal {
    /// No workspace has the key.
    #[error("no workspace has this key")]
    UnknownKey,
    /// No workspace has the key, but the configuration may be out of date.
    #[error("no workspace has this key, but the configuration may be out of date")]
    Outdated,
    /// The key is known, but the configuration is so old that it may have been withdrawn.
    #[error("the key cannot be confirmed, because the configuration is too old")]
    Unconfirmed,
}

impl Refusal {
    /// Returns whether the key is known to be invalid. Otherwise a retry may succeed.
    #[must_use]
    pub fn is_final(self) -> bool {
        self == Self::UnknownKey
    }

    /// Returns the name for logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::UnknownKey => "unknown_key",
            Self::Outdated => "outdated",
            Self::Unconfirmed => "unconfirmed",
        }
    }
}

/// Why a part of a list of workspaces is ignored.
#[derive(Clone, Copy, Debug, Eq, Error, Ord, PartialEq, PartialOrd)]
pub enum Fault {
    /// The name is empty, too long, or no single word.
    #[error("the name of a workspace is not valid")]
    Name,
    /// Another workspace of the list has the same name; the first one counts.
    #[error("two workspaces have the same name")]
    SameName,
    /// The key is empty, too long, or no single word.
    #[error("a key is not valid")]
    Key,
    /// The key is listed more than once and identifies nobody.
    #[error("a key is listed more than once")]
    SameKey,
    /// The rate or the burst is no positive number; the workspace may run nothing.
    #[error("the rate or the burst is not a positive number")]
    Limits,
}

impl Fault {
    /// Returns the name for logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Name => "workspace_name",
            Self::SameName => "workspace_same_name",
            Self::Key => "key",
            Self::SameKey => "key_same",
            Self::Limits => "limits",
        }
    }
}
