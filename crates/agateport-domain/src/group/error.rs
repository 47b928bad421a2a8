//! Errors of the group aggregate.

use thiserror::Error;

/// The group was declared without servers.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("a group needs at least one server")]
pub struct Error;
