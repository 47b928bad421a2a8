//! One VM, and what is said of it.

use crate::id::{NodeId, Zone};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Number by which a node overrules what others say of it.
pub type Incarnation = u64;

/// How a VM is thought to be; of two claims of the same incarnation the later
/// one here holds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Answers.
    Live,
    /// Hasn't answered lately.
    Suspect,
    /// Gets no new work.
    Leaving,
    /// Hasn't answered for long.
    Dead,
}

/// One VM with its node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name of the node.
    pub name: NodeId,
    /// Availability zone of the VM.
    pub zone: Zone,
    /// Address for peers.
    pub address: SocketAddr,
    /// How it is thought to be.
    pub state: State,
    /// Which of the node's own statements this goes by.
    pub incarnation: Incarnation,
}

impl Member {
    /// Tells whether this claim holds against `other` of the same node.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}

/// What rides along with each message between nodes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Gossip {
    /// The node that sends it.
    pub from: NodeId,
    /// What the sender thinks of a few members, itself among them.
    pub members: Vec<Member>,
}
