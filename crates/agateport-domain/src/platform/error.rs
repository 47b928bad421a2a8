//! Why a request to the platform isn't sent.

use std::time::Duration;
use thiserror::Error;

/// A request that isn't sent, so that it has certainly no effect.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The platform has failed, and is given time.
    #[error("the platform has failed; it is not asked for another {0:?}")]
    BackingOff(Duration),
    /// Too many requests went out lately.
    #[error("the platform has been asked too often")]
    TooMany,
}
