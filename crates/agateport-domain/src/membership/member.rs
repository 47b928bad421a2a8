//! Members of the fleet and the gossip about them.

use crate::id::{NodeId, Zone};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Counter that a node increases to refute claims of other nodes about it.
pub type Incarnation = u64;

/// State of a VM in a claim. Of two claims with the same incarnation, the state
/// that is listed later wins.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Answers probes.
    Live,
    /// Did not answer the last probe.
    Suspect,
    /// Is shutting down and gets no new work.
    Leaving,
    /// Is considered down.
    Dead,
}

/// A claim about one VM and its node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name of the node.
    pub name: NodeId,
    /// Availability zone of the VM.
    pub zone: Zone,
    /// Address at which other nodes reach it.
    pub address: SocketAddr,
    /// State that the claim reports.
    pub state: State,
    /// Incarnation of the node that the claim refers to.
    pub incarnation: Incarnation,
}

impl Member {
    /// Returns whether this claim replaces `other`, a claim about the same node.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}

/// Membership claims that are attached to each message between nodes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Gossip {
    /// Name of the node that sends it.
    pub from: NodeId,
    /// The sender's claims about a few members, including itself.
    pub members: Vec<Member>,
}
