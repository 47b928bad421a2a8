//! The upstream servers that are registered.

use agateport_domain::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One registered server.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Entry {
    /// Name of the server.
    pub server: ServerId,
    /// Group that it belongs to.
    pub group: GroupId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Availability zone that it runs in.
    pub zone: Zone,
    /// Statements that it runs at once.
    pub slots: usize,
    /// Whether it is about to leave.
    pub is_leaving: bool,
    /// Whether it says that it leads its group.
    pub is_primary: bool,
    /// When it started, in its own words; another value is another process.
    pub incarnation: Option<u64>,
}

/// All registered servers, by name.
pub type Registry = BTreeMap<ServerId, Entry>;

/// A list of servers, and the store's version that it goes back to.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// The servers.
    pub registry: Registry,
    /// Version of the store; a node never goes to a lower one.
    pub version: u64,
}
