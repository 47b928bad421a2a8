//! What can be wrong with what a caller says of its session.

use thiserror::Error;

/// A watermark that isn't one.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("the watermark {text:?} is not of the form term/position")]
pub struct Error {
    /// The text as the caller gave it.
    pub text: String,
}
