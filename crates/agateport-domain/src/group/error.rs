//! What can be wrong with a group.

use thiserror::Error;

/// A group without servers.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("a group needs at least one server")]
pub struct Error;
