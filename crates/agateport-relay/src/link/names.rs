//! Names of the statements that are prepared on a connection.

use crate::field::Word;
use crate::message::Prepared;
use agateport_domain::prelude::*;

/// Number of a name, unique on its connection.
type NameId = u64;

/// Names of the statements that are prepared on a connection.
///
/// A name is a number that is never used again on the connection. It holds no text of
/// a caller, and two statements never share one.
#[derive(Debug, Default)]
pub struct Names {
    prepared: BTreeMap<Prepared, NameId>,
    last: NameId,
}

impl Names {
    /// Returns the name of a statement; none if it is not prepared.
    #[must_use]
    pub fn get(&self, prepared: &Prepared) -> Option<Word> {
        self.prepared.get(prepared).copied().map(Word::numbered)
    }

    /// Returns the name of the next statement to be prepared.
    #[must_use]
    pub fn next(&self) -> Word {
        Word::numbered(self.last + 1)
    }

    /// Records that a statement was prepared under the next name, or, if the server
    /// rejected it, that the name may be in use.
    pub fn record(&mut self, prepared: Prepared, is_done: bool) {
        self.last += 1;
        if is_done {
            self.prepared.insert(prepared, self.last);
        }
    }

    /// Records that no statement is prepared any more.
    pub fn clear(&mut self) {
        self.prepared.clear();
    }
}
