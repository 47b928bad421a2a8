//! Text from outside that becomes part of a line.
//!
//! Lines consist of fields that are separated by blanks; only the last field may hold
//! blanks. A value of these types cannot become more fields, or more lines, than it was
//! meant to be, whether it comes from a caller, a server, the store or another node.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::Deref;
use thiserror::Error;

/// Why a text cannot be part of a line.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// A word must not be empty.
    #[error("the text is empty")]
    Empty,
    /// A word must not contain blanks.
    #[error("the text contains a blank")]
    Blank,
    /// No field may contain CR or LF: a reader may take either for the end of the line.
    #[error("the text contains a line end")]
    LineEnd,
}

/// A single field: not empty, without blanks and line ends.
#[derive(Clone, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "Bytes", try_from = "Bytes")]
pub struct Word(Bytes);

/// The last field of a line: without line ends, possibly empty.
#[derive(Clone, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "Bytes", try_from = "Bytes")]
pub struct Text(Bytes);

impl Word {
    /// Returns the word that stands for an absent value.
    #[must_use]
    pub fn absent() -> Self {
        Self(Bytes::from_static(b"-"))
    }

    /// Creates a word from a letter and a number: `s12`.
    #[must_use]
    pub fn numbered(number: u64) -> Self {
        Self(format!("s{number}").into())
    }

    /// Returns a copy out of the buffer of the connection that received it. The buffer is
    /// larger, and would not be freed while a part of it is in use.
    #[must_use]
    pub fn detached(&self) -> Self {
        Self(Bytes::copy_from_slice(&self.0))
    }
}

impl Text {
    /// Returns a copy out of the buffer of the connection that received it. The buffer is
    /// larger, and would not be freed while a part of it is in use.
    #[must_use]
    pub fn detached(&self) -> Self {
        Self(Bytes::copy_from_slice(&self.0))
    }
}

impl TryFrom<Bytes> for Word {
    type Error = Error;

    fn try_from(bytes: Bytes) -> Result<Self, Error> {
        if bytes.is_empty() {
            return Err(Error::Empty);
        }
        if bytes.contains(&b' ') {
            return Err(Error::Blank);
        }
        Text::try_from(bytes).map(|text| Self(text.0))
    }
}

impl TryFrom<Bytes> for Text {
    type Error = Error;

    fn try_from(bytes: Bytes) -> Result<Self, Error> {
        if bytes.iter().any(|byte| matches!(byte, b'\r' | b'\n')) {
            return Err(Error::LineEnd);
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<&str> for Word {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self, Error> {
        Bytes::copy_from_slice(text.as_bytes()).try_into()
    }
}

impl TryFrom<&str> for Text {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self, Error> {
        Bytes::copy_from_slice(text.as_bytes()).try_into()
    }
}

impl From<Word> for Bytes {
    fn from(word: Word) -> Self {
        word.0
    }
}

impl From<Text> for Bytes {
    fn from(text: Text) -> Self {
        text.0
    }
}

impl Deref for Word {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.0
    }
}

impl Deref for Text {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Word {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl fmt::Debug for Text {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl fmt::Display for Word {
    /// Writes the word for a log line; bytes that are not UTF-8 are replaced.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        String::from_utf8_lossy(&self.0).fmt(formatter)
    }
}

impl fmt::Display for Text {
    /// Writes the text for a log line; bytes that are not UTF-8 are replaced.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        String::from_utf8_lossy(&self.0).fmt(formatter)
    }
}
