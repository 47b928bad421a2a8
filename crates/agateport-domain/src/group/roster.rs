//! The servers of a group that may be promoted, as listed in its leadership record.
//!
//! A node without access to the store confirms a primary by querying the servers of the
//! last record that it read, for at most [`VALIDITY`] after that read. A server that has
//! been listed for that long is therefore queried by every node that may still confirm
//! another primary.

use crate::id::{Fence, ServerId, Term, Uptime};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time after a read of the leadership record for which its roster counts as complete.
pub const VALIDITY: Duration = Duration::from_secs(8);

/// What a server answers to a node that confirms a primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Whether it is the primary.
    pub is_primary: bool,
    /// Highest term that it has received.
    pub term: Term,
}

/// Returns whether the answers of a primary and of all other servers of the roster show
/// that no other one has been promoted.
///
/// A server that was promoted and demoted since is a replica again, but it has received a
/// later term.
#[must_use]
pub fn is_only_primary(primary: Answer, others: &[Answer]) -> bool {
    let is_earlier = |other: &Answer| !other.is_primary && other.term <= primary.term;
    primary.is_primary && others.iter().all(is_earlier)
}

/// Whether all nodes know that a server may be promoted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// Nodes without access to the store may not know the server.
    New,
    /// Every node that may confirm a primary queries the server.
    Eligible,
}

/// The servers of a group that may be promoted.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Roster {
    servers: BTreeMap<ServerId, Standing>,
}

impl Roster {
    /// Returns the roster of a group's first record. Without a record no node confirms a
    /// primary, so all its servers are eligible.
    #[must_use]
    pub fn first(servers: impl IntoIterator<Item = ServerId>) -> Self {
        servers
            .into_iter()
            .map(|server| (server, Standing::Eligible))
            .collect()
    }

    /// Returns the names of the servers.
    pub fn servers(&self) -> impl Iterator<Item = &ServerId> {
        self.servers.keys()
    }

    /// Returns the standing of a server; none if it is not listed.
    #[must_use]
    pub fn standing(&self, server: &ServerId) -> Option<Standing> {
        self.servers.get(server).copied()
    }
}

impl FromIterator<(ServerId, Standing)> for Roster {
    fn from_iter<T: IntoIterator<Item = (ServerId, Standing)>>(servers: T) -> Self {
        Self {
            servers: servers.into_iter().collect(),
        }
    }
}

/// How long a coordinator has seen the servers of a roster listed, and missed them.
///
/// The times are valid for the term of one coordinator: only its own writes change the
/// record during it, so a server that it has seen throughout was never removed.
#[derive(Clone, Debug, Default)]
pub struct Tenure {
    fence: Option<Fence>,
    /// Since when each new server has been listed.
    listed: BTreeMap<ServerId, Uptime>,
    /// Since when each listed server has been unusable.
    missed: BTreeMap<ServerId, Uptime>,
}

impl Tenure {
    /// Records that the record with `roster` had been read by `now`, under the coordinator
    /// with this fencing token. `usable` are the registered servers that are not leaving.
    pub fn observe(
        &mut self,
        fence: Option<Fence>,
        roster: &Roster,
        usable: &BTreeSet<ServerId>,
        now: Uptime,
    ) {
        if self.fence != fence {
            *self = Self {
                fence,
                ..Self::default()
            };
        }
        let is_new = |server: &ServerId| roster.standing(server) == Some(Standing::New);
        let is_missed =
            |server: &ServerId| roster.standing(server).is_some() && !usable.contains(server);
        self.listed.retain(|server, _| is_new(server));
        self.missed.retain(|server, _| is_missed(server));
        for server in roster.servers() {
            if is_new(server) {
                self.listed.entry(server.clone()).or_insert(now);
            }
            if is_missed(server) {
                self.missed.entry(server.clone()).or_insert(now);
            }
        }
    }

    /// Returns whether every node that may confirm a primary knows the server.
    #[must_use]
    pub fn is_eligible(&self, roster: &Roster, server: &ServerId, now: Uptime) -> bool {
        let is_due = |listed: &Uptime| now >= *listed + VALIDITY;
        match roster.standing(server) {
            Some(Standing::Eligible) => true,
            Some(Standing::New) => self.listed.get(server).is_some_and(is_due),
            None => false,
        }
    }

    /// Returns the roster of the next record, which names `primary`.
    ///
    /// A server that was unusable for [`VALIDITY`] is removed. Until then it stays listed,
    /// so a registry entry that expires for a moment does not make it unknown.
    #[must_use]
    pub fn next(
        &self,
        roster: &Roster,
        usable: &BTreeSet<ServerId>,
        primary: &ServerId,
        now: Uptime,
    ) -> Roster {
        let is_lost = |server: &ServerId| {
            let missed = self.missed.get(server);
            missed.is_some_and(|missed| now >= *missed + VALIDITY)
        };
        let listed = roster.servers();
        let kept = listed.filter(|server| *server == primary || !is_lost(server));
        let servers: BTreeSet<_> = kept.chain(usable).chain([primary]).collect();
        servers
            .into_iter()
            .map(|server| {
                let standing = if self.is_eligible(roster, server, now) {
                    Standing::Eligible
                } else {
                    Standing::New
                };
                (server.clone(), standing)
            })
            .collect()
    }
}
