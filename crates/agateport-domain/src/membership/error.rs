//! What can be wrong with a question about members.

use crate::id::NodeId;
use thiserror::Error;

/// A node that nobody told of.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("no node named {name} is known")]
pub struct Error {
    /// The name asked for.
    pub name: NodeId,
}
