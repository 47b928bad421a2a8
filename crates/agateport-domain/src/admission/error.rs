//! Errors in the configuration of a queue.

use thiserror::Error;

/// A configuration that no queue can enforce.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The share has no slot, so no request could ever start.
    #[error("a queue needs at least one slot")]
    NoSlot,
    /// The minimum shares add up to more than 100 percent.
    #[error("the minimum shares add up to {0} percent, more than 100")]
    Shares(u32),
}
