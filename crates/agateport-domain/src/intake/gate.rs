//! How many connections are accepted, and which ones give way.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Number of connections beyond the limit that may be closing at once, when new ones take
/// the place of silent ones.
const MAX_CLOSING: usize = 16;

/// Part of the limit from which on a node is not ready: `9 / 10`.
const NEARLY_FULL: (usize, usize) = (9, 10);

/// Number of a connection, in the order in which they were accepted.
pub type Ticket = u64;

/// Decision on a new connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission<T> {
    /// It is accepted.
    Accepted(Ticket),
    /// It is accepted, and another one that has sent nothing must be closed for it.
    Replacing(Ticket, T),
    /// It must be closed.
    Refused,
}

/// The connections to one address.
#[derive(Debug)]
pub struct Gate<T> {
    /// Maximum number of connections; none if unlimited.
    limit: Option<usize>,
    state: Mutex<State<T>>,
}

#[derive(Debug)]
struct State<T> {
    next: Ticket,
    open: usize,
    /// Connections that have sent nothing yet; the first one is the oldest.
    silent: BTreeMap<Ticket, T>,
}

impl<T: Clone> Gate<T> {
    /// Creates a gate for `limit` connections.
    #[must_use]
    pub fn new(limit: Option<usize>) -> Self {
        Self {
            limit,
            state: Mutex::new(State {
                next: 0,
                open: 0,
                silent: BTreeMap::new(),
            }),
        }
    }

    /// Decides on a new connection. One that is not refused must leave at its end.
    pub fn admit(&self, owner: T) -> Admission<T> {
        let mut state = self.lock();
        let limit = self.limit.unwrap_or(usize::MAX);
        let replaced = if state.open < limit {
            None
        } else if state.open < limit.saturating_add(MAX_CLOSING) {
            match state.silent.pop_first() {
                Some((_, replaced)) => Some(replaced),
                None => return Admission::Refused,
            }
        } else {
            return Admission::Refused;
        };
        let ticket = state.next;
        state.next += 1;
        state.open += 1;
        state.silent.insert(ticket, owner);
        match replaced {
            Some(replaced) => Admission::Replacing(ticket, replaced),
            None => Admission::Accepted(ticket),
        }
    }

    /// Records the first message of a connection, which no longer gives way.
    pub fn speak(&self, ticket: Ticket) {
        self.lock().silent.remove(&ticket);
    }

    /// Records the end of a connection.
    pub fn leave(&self, ticket: Ticket) {
        let mut state = self.lock();
        state.silent.remove(&ticket);
        state.open -= 1;
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open(&self) -> usize {
        self.lock().open
    }

    /// Returns whether the connections that do not give way use nine tenths of the limit.
    /// Silent ones do not count: whoever opens many would make each node unready.
    #[must_use]
    pub fn is_nearly_full(&self) -> bool {
        let Some(limit) = self.limit else {
            return false;
        };
        let state = self.lock();
        let established = state.open.saturating_sub(state.silent.len());
        established * NEARLY_FULL.1 >= limit * NEARLY_FULL.0
    }

    fn lock(&self) -> MutexGuard<'_, State<T>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
