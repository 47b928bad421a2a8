//! One thing that is wrong with a bundle's text.

use miette::SourceSpan;
use std::ops::Range;
use thiserror::Error;

/// One thing that is wrong with a bundle's text, and where.
#[derive(Clone, Debug, miette::Diagnostic, Eq, Error, PartialEq)]
#[error("{message}")]
pub struct Diagnostic {
    /// What is wrong.
    pub message: String,
    /// Bytes of the text that are wrong.
    #[label("here")]
    pub span: SourceSpan,
}

impl Diagnostic {
    /// Creates a fault at the bytes `span` of the text.
    #[must_use]
    pub fn new(message: impl Into<String>, span: Range<usize>) -> Self {
        Self {
            message: message.into(),
            span: span.into(),
        }
    }

    /// Creates the fault of a text that can't be read.
    #[must_use]
    pub fn unreadable(error: &toml::de::Error) -> Self {
        Self::new(error.message(), error.span().unwrap_or_default())
    }
}
