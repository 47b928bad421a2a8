//! An error at a span of a bundle's text.

use miette::SourceSpan;
use std::ops::Range;
use thiserror::Error;

/// An error in a bundle's text, with the span that it refers to.
#[derive(Clone, Debug, miette::Diagnostic, Eq, Error, PartialEq)]
#[error("{message}")]
pub struct Diagnostic {
    /// Description of the error.
    pub message: String,
    /// Byte range of the text that the message refers to.
    #[label("here")]
    pub span: SourceSpan,
}

impl Diagnostic {
    /// Creates a diagnostic for the byte range `span` of the text.
    #[must_use]
    pub fn new(message: impl Into<String>, span: Range<usize>) -> Self {
        Self {
            message: message.into(),
            span: span.into(),
        }
    }

    /// Creates the diagnostic of a parser error.
    #[must_use]
    pub fn from_toml_error(error: &toml::de::Error) -> Self {
        Self::new(error.message(), error.span().unwrap_or_default())
    }
}
