//! Which VMs are live, suspect or leaving.

mod error;

pub use error::Error;

use crate::id::{NodeId, Zone};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How a VM is thought to be.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Answers.
    Live,
    /// Hasn't answered lately.
    Suspect,
    /// Gets no new work.
    Leaving,
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
}

/// What one node knows of the others.
#[derive(Clone, Debug, Default)]
pub struct View {
    members: BTreeMap<NodeId, Member>,
}

impl View {
    /// Takes in what the platform's list says.
    pub fn seed(&mut self, members: impl IntoIterator<Item = Member>) {
        for member in members {
            self.members.insert(member.name.clone(), member);
        }
    }

    /// Returns one member.
    ///
    /// # Errors
    ///
    /// [`Error`] if no such member is known.
    pub fn member(&self, name: &NodeId) -> Result<&Member, Error> {
        self.members
            .get(name)
            .ok_or_else(|| Error { name: name.clone() })
    }

    /// Returns the members that may get new work, by name.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(|member| member.state == State::Live)
    }
}
