//! Reasons why a request to the platform is not sent.

use std::time::Duration;
use thiserror::Error;

/// A request to the platform was not sent, so it certainly has no effect.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// Recent requests failed; the next one may be sent after this time.
    #[error("the platform has failed; the next request may be sent in {0:?}")]
    BackingOff(Duration),
    /// The request exceeds the rate limit.
    #[error("too many requests to the platform in a short time")]
    TooMany,
}
