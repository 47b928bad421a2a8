//! The registered upstream servers.

use crate::name;
use crate::source::Revision;
use agateport_domain::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use thiserror::Error;

/// Maximum number of slots of a server. A larger number is not a number of statements
/// that a server runs concurrently.
const MAX_SLOTS: usize = 1 << 16;

/// A registered server.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Entry {
    /// Name of the server.
    pub server: ServerId,
    /// Group that it belongs to.
    pub group: GroupId,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Availability zone that it runs in.
    pub zone: Zone,
    /// Maximum number of statements that it runs concurrently.
    pub slots: usize,
    /// Whether it is being drained and will leave the registry.
    pub is_leaving: bool,
    /// Whether it reports that it is the primary of its group.
    pub is_primary: bool,
    /// Start of the server process, as Unix time in milliseconds; a different value
    /// means a different process.
    pub incarnation: Option<u64>,
}

/// Why an entry describes no server that could be used.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Unusable {
    /// Nothing can listen at the address.
    #[error("the address has no port, or is not that of one host")]
    Address,
    /// The name of the server or of its group is no word of a message.
    #[error("a name is empty, too long, or contains blanks or control characters")]
    Name,
    /// The number of slots is zero or too large.
    #[error("the number of slots is zero or too large")]
    Slots,
}

impl Entry {
    /// Returns the entry if its server can be used.
    ///
    /// # Errors
    ///
    /// [`Unusable`] if a field has a value that no server has.
    pub fn checked(self) -> Result<Self, Unusable> {
        let ip = self.address.ip();
        if self.address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
            return Err(Unusable::Address);
        }
        // Names are sent to servers as words of a line.
        if ![&*self.server, &*self.group]
            .into_iter()
            .all(name::is_valid)
        {
            return Err(Unusable::Name);
        }
        if !(1..=MAX_SLOTS).contains(&self.slots) {
            return Err(Unusable::Slots);
        }
        Ok(self)
    }
}

/// All registered servers, by name.
pub type Registry = BTreeMap<ServerId, Entry>;

/// The registry at one revision of the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// The registered servers.
    pub registry: Registry,
    /// Revision of the store that the registry was read at; a node never goes back
    /// to a lower one.
    pub revision: Revision,
}

impl Snapshot {
    /// Returns the snapshot without the entries that describe no server, which are logged.
    #[must_use]
    pub fn checked(mut self) -> Self {
        self.registry.retain(|server, entry| {
            let checked = entry.clone().checked().map(|_| entry.server == *server);
            let is_usable = checked == Ok(true);
            if !is_usable {
                tracing::warn!(
                    event = "entry_odd",
                    server = &**server,
                    ?checked,
                    "an entry of the registry describes no server; ignored"
                );
            }
            is_usable
        });
        self
    }
}

/// The registry as read from the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Observation {
    /// The servers whose rows describe them.
    pub snapshot: Snapshot,
    /// Servers whose rows are missing or describe no server, but may be written again
    /// shortly. What is known of them remains valid.
    pub held: BTreeSet<ServerId>,
}

impl Observation {
    /// Returns the registry that follows `known`.
    #[must_use]
    pub fn over(mut self, known: &Registry) -> Snapshot {
        let held = self.held.into_iter();
        let entries = held.filter_map(|server| known.get_key_value(&server));
        let entries = entries.map(|(server, entry)| (server.clone(), entry.clone()));
        self.snapshot.registry.extend(entries);
        self.snapshot
    }
}
