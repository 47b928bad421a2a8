//! Terms that are unique to one promoter.

use crate::id::Term;
use serde::{Deserialize, Serialize};
use std::fmt::{self, Display, Formatter};

/// Number of low bits of a term that hold the promoter's id.
const PROMOTER_BITS: u32 = 47;

/// Largest promoter id, and the mask of its bits.
const PROMOTER_MASK: u64 = (1 << PROMOTER_BITS) - 1;

/// Id of a promoter, drawn at random each time its process starts.
pub type PromoterId = u64;

/// A term, split into a round and the id of the promoter that opened it.
///
/// Terms are compared as a whole: a higher round always wins, and the promoter
/// id only breaks ties within a round.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Ballot {
    round: u64,
    promoter: PromoterId,
}

impl Ballot {
    /// Returns the promoter's lowest ballot in a round above `highest`.
    #[must_use]
    pub fn above(highest: Term, promoter: PromoterId) -> Self {
        Self {
            round: (highest >> PROMOTER_BITS) + 1,
            promoter: promoter & PROMOTER_MASK,
        }
    }

    /// Returns the ballot encoded as a term.
    #[must_use]
    pub fn term(self) -> Term {
        (self.round << PROMOTER_BITS) | self.promoter
    }
}

impl From<Term> for Ballot {
    fn from(term: Term) -> Self {
        Self {
            round: term >> PROMOTER_BITS,
            promoter: term & PROMOTER_MASK,
        }
    }
}

impl Display for Ballot {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.round, self.promoter)
    }
}
