//! A simulated database group with logs and terms; replication happens one entry
//! at a time, on request.

use agateport_domain::group::{Role, Status};
use agateport_domain::prelude::*;

/// Number that identifies a write.
pub type WriteId = u32;

/// One entry of a log. The first entry of a term holds no write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Entry {
    pub term: Term,
    pub write: Option<WriteId>,
}

/// A simulated server.
#[derive(Clone, Debug)]
pub struct Server {
    pub term: Term,
    pub role: Role,
    pub log: Vec<Entry>,
    /// Whether the other servers and promoters cannot reach it; callers still can.
    pub is_isolated: bool,
}

impl Server {
    pub fn last(&self) -> Watermark {
        Watermark {
            term: self.log.last().map_or(0, |entry| entry.term),
            position: self.log.len() as Position,
        }
    }

    pub fn status(&self) -> Status {
        Status {
            term: self.term,
            last: self.last(),
            role: self.role,
            age: Some(Duration::ZERO),
        }
    }

    pub fn writes(&self) -> BTreeSet<WriteId> {
        self.log.iter().filter_map(|entry| entry.write).collect()
    }

    /// Commits a write; none if the server is not a primary. A write with a key that
    /// is already recorded does not run again.
    pub fn commit(&mut self, write: WriteId, is_keyed: bool) -> Option<Watermark> {
        if self.role != Role::Primary {
            return None;
        }
        if !is_keyed || !self.writes().contains(&write) {
            let term = self.term;
            let write = Some(write);
            self.log.push(Entry { term, write });
        }
        Some(self.last())
    }
}

/// A group of three servers.
#[derive(Clone, Debug)]
pub struct Servers {
    pub all: Vec<Server>,
    highest: Term,
}

impl Servers {
    pub fn new() -> Self {
        let server = |role| Server {
            term: 1,
            role,
            log: vec![Entry {
                term: 1,
                write: None,
            }],
            is_isolated: false,
        };
        Self {
            all: vec![
                server(Role::Primary),
                server(Role::Replica),
                server(Role::Replica),
            ],
            highest: 1,
        }
    }

    /// Returns the primary of a term, if the other servers can reach it.
    fn primary(&self, term: Term) -> Option<&Server> {
        let mut primaries = self.all.iter();
        primaries.find(|server| {
            server.role == Role::Primary && server.term == term && !server.is_isolated
        })
    }

    /// Copies one entry from the primary to a replica.
    pub fn replicate(&mut self, index: usize) {
        let replica = &self.all[index];
        if replica.role != Role::Replica || replica.is_isolated {
            return;
        }
        let next = self
            .primary(replica.term)
            .and_then(|primary| primary.log.get(replica.log.len()).copied());
        self.all[index].log.extend(next);
    }

    /// Reconnects a server and makes it a replica of the current primary.
    pub fn rejoin(&mut self, index: usize) {
        self.all[index].is_isolated = false;
        let Some(primary) = self.primary(self.highest).cloned() else {
            return;
        };
        if self.all[index].term < primary.term {
            self.follow(index, &primary);
        }
    }

    fn follow(&mut self, index: usize, primary: &Server) {
        let server = &mut self.all[index];
        let pairs = server.log.iter().zip(&primary.log);
        let common = pairs.take_while(|(ours, theirs)| ours == theirs).count();
        server.log.truncate(common);
        server.term = primary.term;
        server.role = Role::Replica;
    }

    /// Fences all reachable servers and promotes the most advanced one. Returns
    /// false if they are no majority.
    pub fn promote(&mut self) -> bool {
        let reachable = (0..3).filter(|index| !self.all[*index].is_isolated);
        let reachable: Vec<usize> = reachable.collect();
        if reachable.len() < 2 {
            return false;
        }
        self.highest += 1;
        let chosen = reachable
            .iter()
            .copied()
            .max_by_key(|index| self.all[*index].last());
        let chosen = chosen.unwrap_or_default();
        let primary = &mut self.all[chosen];
        primary.term = self.highest;
        primary.role = Role::Primary;
        primary.log.push(Entry {
            term: self.highest,
            write: None,
        });
        let primary = primary.clone();
        for index in reachable {
            if index != chosen {
                self.follow(index, &primary);
            }
        }
        true
    }
}
