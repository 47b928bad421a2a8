//! Dissemination of a bundle to all nodes.
//!
//! Two nodes of each availability zone read the platform. Each node exchanges
//! revisions with one random peer per interval, and with a few at once when it
//! puts a new bundle in force. So the load on the platform and on each node
//! does not grow with the number of nodes.

use crate::id::{NodeId, Zone};
use crate::membership::{Member, View};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use sha2::{Digest, Sha256};
use std::time::{Duration, Instant};

/// Interval between two periodic exchanges of a node.
pub const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Peers that a node contacts at once when it has put a new bundle in force.
pub const FANOUT: usize = 4;

/// Nodes of each availability zone that read the platform.
const READERS_PER_ZONE: usize = 2;

/// Time without an answer from any peer after which a node reads the platform
/// itself.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(2);

/// Selects the peers that a node exchanges bundles with, and whether the node
/// reads the platform.
#[derive(Debug)]
pub struct Dissemination {
    own: NodeId,
    zone: Zone,
    seeds: Vec<Member>,
    started: Instant,
    last_answer: Option<Instant>,
    random: Pcg64Mcg,
}

impl Dissemination {
    /// Creates the state of the node `own`, whose settings list `seeds`.
    #[must_use]
    pub fn new(
        own: NodeId,
        zone: Zone,
        seeds: Vec<Member>,
        random: Pcg64Mcg,
        now: Instant,
    ) -> Self {
        Self {
            own,
            zone,
            seeds,
            started: now,
            last_answer: None,
            random,
        }
    }

    /// Records that a peer answered.
    pub fn record_answer(&mut self, now: Instant) {
        self.last_answer = self.last_answer.max(Some(now));
    }

    /// Returns whether this node reads the platform.
    ///
    /// A node that has just started waits for the answer of a peer first, if
    /// there is one, so that an outdated answer of the platform does not make it
    /// apply an older bundle.
    #[must_use]
    pub fn is_reader(&self, view: &View, now: Instant) -> bool {
        let since = self.last_answer.unwrap_or(self.started);
        if now.saturating_duration_since(since) >= ISOLATION_TIMEOUT {
            return true;
        }
        let is_bootstrapped = self.last_answer.is_some() || self.candidates(view).is_empty();
        is_bootstrapped && readers(view, &self.zone).contains(&self.own)
    }

    /// Returns up to `count` random peers; while no live members are known, they
    /// are chosen among the seeds.
    pub fn peers(&mut self, view: &View, count: usize) -> Vec<Member> {
        let mut peers: Vec<Member> = self.candidates(view).into_iter().cloned().collect();
        let mut chosen = Vec::new();
        while chosen.len() < count && !peers.is_empty() {
            let index = self.random.random_range(0..peers.len());
            chosen.push(peers.swap_remove(index));
        }
        chosen
    }

    fn candidates<'a>(&'a self, view: &'a View) -> Vec<&'a Member> {
        let is_peer = |member: &&Member| member.name != self.own;
        let members: Vec<_> = view.live().filter(is_peer).collect();
        if members.is_empty() {
            return self.seeds.iter().filter(is_peer).collect();
        }
        members
    }
}

/// Returns the nodes of a zone that read the platform: the live ones with the
/// lowest hashes of their names.
#[must_use]
pub fn readers(view: &View, zone: &Zone) -> Vec<NodeId> {
    let members = view.live().filter(|member| member.zone == *zone);
    let mut ranked: Vec<_> = members
        .map(|member| (Sha256::digest(member.name.as_bytes()), &member.name))
        .collect();
    ranked.sort();
    let first = ranked.into_iter().take(READERS_PER_ZONE);
    first.map(|(_, name)| name.clone()).collect()
}
