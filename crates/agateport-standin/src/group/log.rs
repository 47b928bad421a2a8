//! Log of committed transactions.

use super::value::Value;
use agateport_domain::id::{Position, Term};
use agateport_domain::session::Watermark;
use serde::{Deserialize, Serialize};
use std::time::SystemTime;

/// One statement with its parameters.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Statement {
    /// Text of the statement.
    pub sql: String,
    /// Parameters of the statement, in order.
    pub parameters: Vec<Value>,
}

/// One committed transaction.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Entry {
    /// Term of the primary that committed it.
    pub term: Term,
    /// Time of the commit.
    pub committed: SystemTime,
    /// Statements that made changes; none for the entry that opens a term.
    pub statements: Vec<Statement>,
}

/// The last watermark of each term in a log, in ascending order of terms.
pub type Terms = Vec<Watermark>;

/// The log of committed transactions. Positions start at one.
#[derive(Debug, Default)]
pub struct Log {
    entries: Vec<Entry>,
}

impl Log {
    /// Returns the watermark of the last entry.
    pub fn last(&self) -> Watermark {
        Watermark {
            term: self.entries.last().map_or(0, |entry| entry.term),
            position: to_position(self.entries.len()),
        }
    }

    /// Appends an entry.
    pub fn push(&mut self, entry: Entry) {
        self.entries.push(entry);
    }

    /// Returns whether the log contains the entry at `watermark`, and therefore all
    /// entries before it.
    pub fn contains(&self, watermark: Watermark) -> bool {
        match watermark.position.checked_sub(1) {
            None => true,
            Some(index) => self
                .entries
                .get(to_index(index))
                .is_some_and(|entry| entry.term == watermark.term),
        }
    }

    /// Returns at most `limit` entries after `position`.
    pub fn after(&self, position: Position, limit: usize) -> &[Entry] {
        let rest = self.entries.get(to_index(position)..).unwrap_or_default();
        &rest[..rest.len().min(limit)]
    }

    /// Returns the last watermark of each term.
    pub fn terms(&self) -> Terms {
        let mut terms = Terms::new();
        for (index, entry) in self.entries.iter().enumerate() {
            let watermark = Watermark {
                term: entry.term,
                position: to_position(index + 1),
            };
            match terms.last_mut() {
                Some(last) if last.term == entry.term => *last = watermark,
                _ => terms.push(watermark),
            }
        }
        terms
    }

    /// Returns the last position that this log shares with the log that has `other_terms`.
    pub fn common_position(&self, other_terms: &Terms) -> Position {
        let own_terms = self.terms();
        let mut common = 0;
        for (our, their) in own_terms.iter().zip(other_terms) {
            if our.term != their.term {
                break;
            }
            common = our.position.min(their.position);
            if our.position != their.position {
                break;
            }
        }
        common
    }

    /// Removes all entries after `position`.
    pub fn truncate(&mut self, position: Position) {
        self.entries.truncate(to_index(position));
    }

    /// Returns all entries.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }
}

fn to_position(length: usize) -> Position {
    Position::try_from(length).unwrap_or(Position::MAX)
}

fn to_index(position: Position) -> usize {
    usize::try_from(position).unwrap_or(usize::MAX)
}
