//! The nodes that a node follows to learn what was read from the store.

use crate::clock::uptime;
use crate::record::Records;
use crate::source::Revision;
use agateport_domain::prelude::*;
use agateport_domain::tree::Tree;
use std::net::SocketAddr;

/// Time for which a node that refused the connection is not queried again: its process may
/// be starting, and another refusal costs little.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(50);

/// Time for which a node that did not answer is not queried again: about the time of a
/// restart.
const SILENCE_BACKOFF: Duration = Duration::from_secs(1);

/// Time for which a node whose update was too old is not queried again.
const OUTDATED_BACKOFF: Duration = Duration::from_millis(300);

/// Why a node is not queried for some time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// It refused or closed the connection.
    Refused,
    /// It did not answer.
    Silent,
    /// Its update was too old.
    Outdated,
}

/// The nodes that a node may follow, in the order in which it tries them.
#[derive(Debug, Default)]
pub struct Sources {
    /// Revision of the records that the sources follow from.
    revision: Option<Revision>,
    addresses: Vec<SocketAddr>,
    is_reader: bool,
    /// Nodes that are not queried until the given time.
    backoffs: BTreeMap<SocketAddr, Uptime>,
}

impl Sources {
    /// Applies the members of `records` for `node` in `zone`.
    pub fn update(&mut self, node: &NodeId, zone: &Zone, records: &Records) {
        if self.revision == Some(records.revision) {
            return;
        }
        let members = records.members.iter();
        let tree = Tree::new(members.map(|(node, member)| (node, &member.zone, member.capacity)));
        let sources = tree.sources(node, zone).into_iter();
        let members = sources.filter_map(|source| records.members.get(source));
        self.addresses = members.map(|member| member.address).collect();
        self.is_reader = tree.is_reader(node, zone);
        self.revision = Some(records.revision);
    }

    /// Returns the nodes to query now, in this order.
    #[must_use]
    pub fn due(&mut self) -> Vec<SocketAddr> {
        let now = uptime();
        self.backoffs.retain(|_, until| now < *until);
        let addresses = self.addresses.iter();
        let due = addresses.filter(|address| !self.backoffs.contains_key(*address));
        due.copied().collect()
    }

    /// Returns whether the node reads the store as soon as no node can be followed.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        self.is_reader
    }

    /// Records that a node could not be followed.
    pub fn back_off(&mut self, address: SocketAddr, fault: Fault) {
        let delay = match fault {
            Fault::Refused => REFUSAL_BACKOFF,
            Fault::Silent => SILENCE_BACKOFF,
            Fault::Outdated => OUTDATED_BACKOFF,
        };
        self.backoffs.insert(address, uptime() + delay);
    }
}
