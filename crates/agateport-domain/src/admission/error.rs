//! What can be wrong with a queue's limits.

use thiserror::Error;

/// Limits that no queue can keep.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// Nothing could ever run.
    #[error("a queue needs at least one slot")]
    NoSlot,
    /// More than the whole is promised.
    #[error("the minimum shares add up to {0} percent")]
    Shares(u32),
}
