//! How current a node's copy of a store table is.

use crate::clock::uptime;
use agateport_domain::prelude::*;
use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Time after its last confirmation for which a copy is taken as current: the intervals
/// between reads of the store and between nodes, and the time in which a copy catches up.
pub const VALIDITY: Duration = Duration::from_millis(1_500);

/// Where a node received a copy from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// Another node, with its address.
    Node(SocketAddr),
    /// The store.
    Store,
}

impl Display for Origin {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Node(address) => write!(formatter, "node {address}"),
            Self::Store => formatter.write_str("store"),
        }
    }
}

/// The latest time at which a copy is known to have matched the store.
#[derive(Debug, Default)]
pub struct Currency {
    latest: Mutex<Option<(Uptime, Origin)>>,
}

impl Currency {
    /// Records that the copy from `origin` matched the store at `read_at` or later.
    pub fn confirm(&self, read_at: Uptime, origin: Origin) {
        let mut latest = self.lock();
        if latest.is_none_or(|(known, _)| known < read_at) {
            *latest = Some((read_at, origin));
        }
    }

    /// Returns the time since the copy last matched the store; none if that never was.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        let (read_at, _) = (*self.lock())?;
        Some(uptime().saturating_sub(read_at))
    }

    /// Returns where the latest confirmation came from.
    #[must_use]
    pub fn origin(&self) -> Option<Origin> {
        self.lock().map(|(_, origin)| origin)
    }

    fn lock(&self) -> MutexGuard<'_, Option<(Uptime, Origin)>> {
        self.latest.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The currency of each copy that nodes receive from the store or from each other.
#[derive(Debug, Default)]
pub struct Currencies {
    /// That of the configuration.
    pub catalog: Currency,
    /// That of the registered servers.
    pub registry: Currency,
}
