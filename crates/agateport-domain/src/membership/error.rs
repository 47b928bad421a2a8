//! Errors of the membership aggregate.

use crate::id::NodeId;
use thiserror::Error;

/// The view has no member of this name.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("no node named {name} is known")]
pub struct Error {
    /// Name of the requested node.
    pub name: NodeId,
}
