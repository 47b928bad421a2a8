//! Errors in the watermark that a caller sets for its session.

use super::Watermark;
use thiserror::Error;

/// A watermark that the session cannot use.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The text is not a watermark.
    #[error("the watermark {text:?} is not of the form term/position")]
    Malformed {
        /// Text that the caller sent.
        text: String,
    },
    /// The watermark is ahead of the group's log, so no server can have reached
    /// it.
    #[error("the watermark {watermark} is ahead of the group's log, which ends at {last}")]
    Ahead {
        /// Watermark that the caller sent.
        watermark: Watermark,
        /// Watermark that covers every acknowledged write.
        last: Watermark,
    },
}
