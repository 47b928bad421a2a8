//! What can be wrong with a queue's limits.

use thiserror::Error;

/// A queue without slots.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("a queue needs at least one slot")]
pub struct Error;
