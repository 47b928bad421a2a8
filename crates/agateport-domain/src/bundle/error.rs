//! What can be wrong with a bundle.

use crate::id::{GroupId, PriorityId};
use thiserror::Error;

/// A text that isn't a bundle, or one that nobody signed.
#[derive(Debug, Error)]
pub enum Error {
    /// The text isn't TOML of the bundle's schema.
    #[error("the bundle can't be read")]
    Syntax(#[from] toml::de::Error),
    /// A default or a rule names a priority that isn't declared.
    #[error("the priority {0} is not declared")]
    UnknownPriority(PriorityId),
    /// The minimum shares are more than the whole.
    #[error("the minimum shares add up to {0} percent")]
    Shares(u32),
    /// A group has no server.
    #[error("the group {0} has no server")]
    NoServer(GroupId),
    /// The bytes aren't text.
    #[error("the bundle is not UTF-8")]
    NotText(#[from] std::str::Utf8Error),
    /// No signature is by a known operator.
    #[error("no known operator signed the bundle")]
    NotSigned,
}
