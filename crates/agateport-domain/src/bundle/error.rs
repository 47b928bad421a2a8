//! What can be wrong with a bundle.

use crate::id::{GroupId, PriorityId};
use thiserror::Error;

/// A text that isn't a bundle, or one that nobody signed.
#[derive(Debug, Error)]
pub enum Error {
    /// The text isn't TOML of the bundle's schema.
    #[error("the bundle can't be read")]
    Syntax(#[from] toml::de::Error),
    /// The default priority isn't declared.
    #[error("the default priority {0} is not declared")]
    UnknownPriority(PriorityId),
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
