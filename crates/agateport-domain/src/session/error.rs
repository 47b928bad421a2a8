//! What can be wrong with what a caller says of its session.

use super::Watermark;
use thiserror::Error;

/// A watermark that can't be taken.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The text isn't a watermark.
    #[error("the watermark {text:?} is not of the form term/position")]
    Malformed {
        /// The text as the caller gave it.
        text: String,
    },
    /// No server of the group can have got that far.
    #[error("the watermark {watermark} is ahead of the group's log, which ends at {last}")]
    Ahead {
        /// The watermark as the caller gave it.
        watermark: Watermark,
        /// The place that covers every acknowledged write.
        last: Watermark,
    },
}
