//! Why an operation is refused.

use std::time::Duration;
use thiserror::Error;

/// Why the allowance of a workspace permits no operation.
#[derive(Clone, Copy, Debug, Eq, Error, Ord, PartialEq, PartialOrd)]
pub enum Cause {
    /// The allowance is used up, or the rest of it is at other nodes.
    #[error("the allowance of the workspace is used up")]
    Exhausted,
    /// The limits of the workspace permit no operation.
    #[error("the limits of the workspace permit no operation")]
    Forbidden,
    /// The list of members is unknown or was not confirmed for too long.
    #[error("the allowance of the workspace cannot be confirmed")]
    Unconfirmed,
}

impl Cause {
    /// Returns the name for logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Exhausted => "exhausted",
            Self::Forbidden => "forbidden",
            Self::Unconfirmed => "unconfirmed",
        }
    }
}

/// An operation that was not run, because of its workspace's allowance.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("not run: {cause}")]
pub struct Refusal {
    /// Reason of the refusal.
    pub cause: Cause,
    /// Time to wait before a retry.
    pub retry_after: Duration,
}
