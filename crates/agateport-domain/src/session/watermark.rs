//! Positions in a group's replicated log.

use super::Error;
use crate::id::{Position, Term};
use serde::{Deserialize, Serialize};
use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

/// A position in a group's log, identified by the term and the position of the
/// last entry seen.
///
/// Watermarks are ordered by term first: a server whose last entry is of a lower
/// term is behind, whatever its position.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Watermark {
    /// Term of the last entry.
    pub term: Term,
    /// Position of the last entry.
    pub position: Position,
}

impl Display for Watermark {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.term, self.position)
    }
}

impl FromStr for Watermark {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let parsed = text.split_once('/').and_then(|(term, position)| {
            Some(Self {
                term: term.parse().ok()?,
                position: position.parse().ok()?,
            })
        });
        parsed.ok_or_else(|| Error::Malformed {
            text: text.to_owned(),
        })
    }
}
