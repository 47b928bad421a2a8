//! The registered upstream servers.

use crate::source::Revision;
use agateport_domain::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

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
