//! The upstream servers that are registered.

use agateport_domain::prelude::*;
use std::net::SocketAddr;

/// One registered server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listing {
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
    pub born: Option<u64>,
}

/// All registered servers, by name.
pub type Registry = BTreeMap<ServerId, Listing>;
