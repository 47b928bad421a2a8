//! A simulated server with a log.

use agateport_domain::group::{Role, Status};
use agateport_domain::prelude::*;

/// One entry of a log.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Entry {
    /// Term of the primary that wrote it.
    pub term: Term,
    /// Value that was written; zero for the entry that starts a term.
    pub value: u64,
}

/// A simulated server of a group.
#[derive(Clone, Debug)]
pub struct Server {
    /// Highest term that it has received.
    pub term: Term,
    /// Server whose log it replicates.
    pub follow: Option<ServerId>,
    /// Whether orders and replication reach it; callers always do.
    pub is_reachable: bool,
    /// Entries written or replicated so far.
    pub log: Vec<Entry>,
    role: Role,
}

impl Server {
    /// Creates the primary of the first term.
    pub fn primary() -> Self {
        Self {
            term: 1,
            follow: None,
            is_reachable: true,
            log: Vec::new(),
            role: Role::Primary,
        }
    }

    /// Creates a replica of `primary`.
    pub fn replica(primary: &str) -> Self {
        Self {
            follow: Some(primary.into()),
            role: Role::Replica,
            ..Self::primary()
        }
    }

    /// Returns whether it has the role of the primary.
    pub fn is_primary(&self) -> bool {
        self.role == Role::Primary
    }

    /// Returns the status that it reports.
    pub fn status(&self) -> Status {
        Status {
            term: self.term,
            last: self.last(),
            role: self.role,
            age: None,
        }
    }

    /// Appends a caller's write; none if the server is not a primary.
    pub fn write(&mut self, value: u64) -> Option<Watermark> {
        if !self.is_primary() {
            return None;
        }
        let term = self.term;
        self.log.push(Entry { term, value });
        Some(self.last())
    }

    /// Accepts a higher term and stops accepting writes; none if it refuses.
    pub fn fence(&mut self, term: Term) -> Option<Status> {
        let is_repeated = term == self.term && self.role == Role::Fenced;
        if !self.is_reachable || (term <= self.term && !is_repeated) {
            return None;
        }
        self.term = term;
        self.role = Role::Fenced;
        self.follow = None;
        Some(self.status())
    }

    /// Becomes the primary of the term that it is fenced at; none if it refuses.
    pub fn promote(&mut self, term: Term) -> Option<()> {
        if !self.is_reachable || term != self.term || self.role == Role::Replica {
            return None;
        }
        if self.role == Role::Fenced {
            self.role = Role::Primary;
            self.log.push(Entry { term, value: 0 });
        }
        Some(())
    }

    /// Becomes a replica of the primary of `term`.
    pub fn follow(&mut self, primary: &ServerId, term: Term) {
        let is_own_term = term == self.term && self.is_primary();
        if self.is_reachable && term >= self.term && !is_own_term {
            self.term = term;
            self.role = Role::Replica;
            self.follow = Some(primary.clone());
        }
    }

    /// Returns this replica after it truncated its log where that differs from
    /// the log of `source`, or copied one entry.
    pub fn replicated(mut self, source: &Self) -> Self {
        let shared = self.log.iter().zip(&source.log);
        let common = shared.take_while(|(ours, theirs)| ours == theirs).count();
        if common < self.log.len() {
            self.log.truncate(common);
        } else if let Some(entry) = source.log.get(common) {
            self.log.push(*entry);
        }
        self
    }

    fn last(&self) -> Watermark {
        Watermark {
            term: self.log.last().map_or(0, |entry| entry.term),
            position: self.log.len() as Position,
        }
    }
}
