//! Terms that two promoters never share.

use crate::id::Term;
use serde::{Deserialize, Serialize};
use std::fmt::{self, Display, Formatter};

/// Bits of a term that hold the promoter's number.
const PROMOTER_BITS: u32 = 47;

/// Largest number of a promoter.
const PROMOTER_MASK: u64 = (1 << PROMOTER_BITS) - 1;

/// Number of a promoter, drawn anew whenever its process starts.
pub type PromoterId = u64;

/// A term as a round and the number of the promoter that opened it.
///
/// Terms are compared as a whole, so a higher round always wins and a promoter's
/// number only settles two of the same round.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Ballot {
    round: u64,
    promoter: PromoterId,
}

impl Ballot {
    /// Returns the promoter's first ballot above `highest`.
    #[must_use]
    pub fn above(highest: Term, promoter: PromoterId) -> Self {
        Self {
            round: (highest >> PROMOTER_BITS) + 1,
            promoter: promoter & PROMOTER_MASK,
        }
    }

    /// Returns the term of this ballot.
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
