//! One node's view of the fleet.

use super::{Error, Gossip, INDIRECT_PROBES, Member, SUSPICION_TIMEOUT, State};
use crate::id::{NodeId, Zone};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Bound;
use std::time::{Duration, Instant};

/// Maximum number of members in one message, so that its size is bounded.
const GOSSIP_SIZE: usize = 8;

/// Number of messages that carry each change, for each doubling of the number of
/// members.
const TRANSMISSIONS: u32 = 3;

/// One in this many probes goes to a dead member, so that partitioned nodes find
/// each other again.
const DEAD_PROBE_RATIO: u32 = 4;

/// Time after which a dead member that is not on the platform's list is removed.
const FORGET_AFTER: Duration = Duration::from_mins(1);

/// A member and the state of its gossip on this node.
#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    since: Instant,
    /// Number of messages that the last change still has to be sent with.
    transmissions: u32,
}

/// One node's view of all members.
#[derive(Clone, Debug)]
pub struct View {
    own: NodeId,
    entries: BTreeMap<NodeId, Entry>,
    /// Names of the nodes on the platform's list.
    listed: BTreeSet<NodeId>,
    /// Members still to probe in this round, in random order.
    round: Vec<NodeId>,
    /// Last member of the previous message; the members after it fill up the next
    /// one.
    filler: Option<NodeId>,
    random: Pcg64Mcg,
    generation: Generation,
}

/// Number of changes so far to the set of members that may get new work.
pub type Generation = u64;

impl View {
    /// Creates a view that contains only the node itself.
    #[must_use]
    pub fn new(name: NodeId, zone: Zone, address: SocketAddr, seed: u64, now: Instant) -> Self {
        let member = Member {
            name: name.clone(),
            zone,
            address,
            state: State::Live,
            incarnation: 0,
        };
        let mut view = Self {
            own: name,
            entries: BTreeMap::new(),
            listed: BTreeSet::new(),
            round: Vec::new(),
            filler: None,
            random: Pcg64Mcg::seed_from_u64(seed),
            generation: 0,
        };
        view.insert(member, now);
        view
    }

    /// Applies the platform's list: adds unknown members, and marks live members as
    /// leaving if the list does.
    pub fn seed(&mut self, members: impl IntoIterator<Item = Member>, now: Instant) {
        self.listed.clear();
        for member in members {
            self.listed.insert(member.name.clone());
            if member.name == self.own {
                self.seed_own(member.state, now);
                continue;
            }
            match self.entries.get(&member.name) {
                None => self.insert(member, now),
                Some(known) if member.state == State::Leaving && is_live(&known.member) => {
                    let member = Member {
                        state: State::Leaving,
                        ..known.member.clone()
                    };
                    self.insert(member, now);
                }
                Some(_) => {}
            }
        }
    }

    fn seed_own(&mut self, state: State, now: Instant) {
        if state == State::Leaving && self.own_member().state == State::Live {
            self.leave(now);
        }
    }

    /// Marks this node as leaving, which is spread to the other nodes.
    pub fn leave(&mut self, now: Instant) {
        let mut own = self.own_member();
        own.state = State::Leaving;
        own.incarnation += 1;
        self.insert(own, now);
    }

    /// Returns the next member to probe; none if no other member is known.
    pub fn next_probe(&mut self) -> Option<Member> {
        if self.random.random_ratio(1, DEAD_PROBE_RATIO)
            && let Some(dead) = self.sample(|member| member.state == State::Dead, 1).pop()
        {
            return Some(dead);
        }
        if let Some(member) = self.next_in_round() {
            return Some(member);
        }
        let own = &self.own;
        let others = self.entries.values().map(|entry| &entry.member);
        let others = others.filter(|member| member.name != *own && member.state != State::Dead);
        self.round = others.map(|member| member.name.clone()).collect();
        self.round.shuffle(&mut self.random);
        let next = self.next_in_round();
        next.or_else(|| self.sample(|member| member.state == State::Dead, 1).pop())
    }

    fn next_in_round(&mut self) -> Option<Member> {
        while let Some(name) = self.round.pop() {
            let entry = self.entries.get(&name);
            if let Some(entry) = entry.filter(|entry| entry.member.state != State::Dead) {
                return Some(entry.member.clone());
            }
        }
        None
    }

    /// Returns random members that can probe `target` on behalf of this node.
    pub fn relays(&mut self, target: &NodeId) -> Vec<Member> {
        let is_relay = |member: &Member| member.name != *target && is_live(member);
        self.sample(is_relay, INDIRECT_PROBES)
    }

    fn sample(&mut self, is_match: impl Fn(&Member) -> bool, count: usize) -> Vec<Member> {
        let own = &self.own;
        let others = self.entries.values().map(|entry| &entry.member);
        let matching = others.filter(|member| member.name != *own && is_match(member));
        let mut matching: Vec<Member> = matching.cloned().collect();
        matching.shuffle(&mut self.random);
        matching.truncate(count);
        matching
    }

    /// Records that neither a direct nor an indirect probe reached a member.
    pub fn suspect(&mut self, name: &NodeId, now: Instant) {
        let Some(entry) = self.entries.get(name) else {
            return;
        };
        let state = match entry.member.state {
            State::Live => State::Suspect,
            // It gets no new work, so nothing is lost by marking it dead at once.
            State::Leaving => State::Dead,
            State::Suspect | State::Dead => return,
        };
        let member = Member {
            state,
            ..entry.member.clone()
        };
        self.insert(member, now);
    }

    /// Marks suspects dead that did not refute the suspicion in time, and removes
    /// members that have been dead for long.
    pub fn expire(&mut self, now: Instant) {
        let late = self.entries.values().filter(|entry| {
            let age = now.saturating_duration_since(entry.since);
            entry.member.state == State::Suspect && age >= SUSPICION_TIMEOUT
        });
        let dead = late.map(|entry| Member {
            state: State::Dead,
            ..entry.member.clone()
        });
        let dead: Vec<Member> = dead.collect();
        for member in dead {
            self.insert(member, now);
        }
        let listed = &self.listed;
        self.entries.retain(|name, entry| {
            let age = now.saturating_duration_since(entry.since);
            entry.member.state != State::Dead || age < FORGET_AFTER || listed.contains(name)
        });
    }

    /// Returns the gossip to attach to a message to `to`: the claims about this
    /// node and the receiver, the changes that have been sent the least, and other
    /// members in turn.
    pub fn gossip(&mut self, to: &NodeId) -> Gossip {
        let mut names = vec![self.own.clone()];
        if self.entries.contains_key(to) {
            names.push(to.clone());
        }
        let changed = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.transmissions > 0);
        let mut changed: Vec<_> = changed
            .map(|(name, entry)| (u32::MAX - entry.transmissions, name.clone()))
            .collect();
        changed.sort();
        let changed = changed.into_iter().map(|(_, name)| name);
        for name in changed.chain(self.next_fillers()) {
            if names.len() < GOSSIP_SIZE && !names.contains(&name) {
                names.push(name);
            }
        }
        self.filler = names.last().cloned();
        let members = names.iter().filter_map(|name| {
            let entry = self.entries.get_mut(name)?;
            entry.transmissions = entry.transmissions.saturating_sub(1);
            Some(entry.member.clone())
        });
        Gossip {
            members: members.collect(),
            from: self.own.clone(),
        }
    }

    /// Returns the members that follow the last filler, in cyclic order.
    fn next_fillers(&self) -> Vec<NodeId> {
        let after = match &self.filler {
            Some(name) => Bound::Excluded(name.clone()),
            None => Bound::Unbounded,
        };
        let rest = self.entries.range((after, Bound::Unbounded));
        let names = rest.chain(&self.entries).map(|(name, _)| name.clone());
        names.take(GOSSIP_SIZE).collect()
    }

    /// Merges the gossip of a received message into the view.
    pub fn merge(&mut self, gossip: Gossip, now: Instant) {
        for member in gossip.members {
            if member.name == self.own {
                self.refute(&member, now);
                continue;
            }
            let known = self.entries.get(&member.name);
            if known.is_none_or(|known| member.supersedes(&known.member)) {
                self.insert(member, now);
            }
        }
    }

    /// Records that a peer reported itself as leaving.
    pub fn set_leaving(&mut self, name: &NodeId, now: Instant) {
        let Some(entry) = self.entries.get(name) else {
            return;
        };
        let member = Member {
            state: State::Leaving,
            ..entry.member.clone()
        };
        if member.supersedes(&entry.member) {
            self.insert(member, now);
        }
    }

    /// Refutes a claim of other nodes about this node.
    fn refute(&mut self, claim: &Member, now: Instant) {
        let mut own = self.own_member();
        if claim.supersedes(&own) {
            own.incarnation = claim.incarnation + 1;
            self.insert(own, now);
        }
    }

    fn own_member(&self) -> Member {
        // `new` inserts the node's own entry, and it is never removed.
        self.entries[&self.own].member.clone()
    }

    fn insert(&mut self, member: Member, now: Instant) {
        let count = u32::try_from(self.entries.len()).unwrap_or(u32::MAX);
        let doublings = count.checked_ilog2().unwrap_or_default() + 1;
        let entry = Entry {
            since: now,
            transmissions: doublings * TRANSMISSIONS,
            member,
        };
        let zone = |member: &Member| is_eligible(member).then(|| member.zone.clone());
        let after = zone(&entry.member);
        let known = self.entries.insert(entry.member.name.clone(), entry);
        let before = known.and_then(|known| zone(&known.member));
        if before != after {
            self.generation += 1;
        }
    }

    /// Returns the generation of the set of members that may get new work, so that
    /// callers can cache what they derive from it.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the member called `name`.
    ///
    /// # Errors
    ///
    /// [`Error`] if no such member is known.
    pub fn member(&self, name: &NodeId) -> Result<&Member, Error> {
        let entry = self.entries.get(name);
        let entry = entry.ok_or_else(|| Error { name: name.clone() })?;
        Ok(&entry.member)
    }

    /// Returns the members that may get new work, ordered by name. Suspects are
    /// included until they are dead, so that a lost probe does not change owners.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|member| is_eligible(member))
    }

    /// Returns all members, including dead ones, ordered by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|entry| &entry.member)
    }

    /// Returns whether the node is known to be part of the fleet: other members
    /// are known, or the platform lists this node.
    #[must_use]
    pub fn is_joined(&self) -> bool {
        self.entries.len() > 1 || self.listed.contains(&self.own)
    }
}

fn is_eligible(member: &Member) -> bool {
    matches!(member.state, State::Live | State::Suspect)
}

fn is_live(member: &Member) -> bool {
    member.state == State::Live
}
