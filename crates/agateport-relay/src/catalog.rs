//! The configuration in force: which database goes where, and how.

use agateport_domain::prelude::*;
use serde::{Deserialize, Serialize};

/// What a read may see.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Consistency {
    /// Everything that was acknowledged.
    Primary,
    /// Everything that was acknowledged this long ago.
    Bounded(Duration),
    /// The same, and everything that its own session has written.
    ReadYourWrites(Duration),
}

impl Consistency {
    /// Returns how old the data may be.
    #[must_use]
    pub fn staleness(self) -> Duration {
        match self {
            Self::Primary => Duration::ZERO,
            Self::Bounded(staleness) | Self::ReadYourWrites(staleness) => staleness,
        }
    }
}

/// How one database's statements are served.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Name of the database.
    pub database: DatabaseId,
    /// Group that serves it.
    pub group: GroupId,
    /// What its reads may see.
    pub consistency: Consistency,
    /// Limit of a single statement.
    pub timeout: Duration,
    /// Time within which an operation is to be answered.
    pub target: Duration,
    /// Rank of its work.
    pub priority: PriorityId,
}

/// The configuration in force.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Catalog {
    /// Version; a node never goes to a lower one.
    pub version: BundleVersion,
    /// Routes by database.
    pub routes: BTreeMap<DatabaseId, Arc<Route>>,
    /// Connections that each server of a group takes from all callers.
    pub connections: BTreeMap<GroupId, usize>,
    /// Time after which an idle transaction is ended; none is never.
    pub transaction_idle: Option<Duration>,
}
