//! The operator's configuration: how the statements of each database are routed.

use agateport_domain::prelude::*;
use serde::{Deserialize, Serialize};

/// Consistency of reads.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Consistency {
    /// Reads reflect all acknowledged writes.
    Primary,
    /// Reads reflect all writes acknowledged at least this long ago.
    Bounded(Duration),
    /// As `Bounded`, and reads also reflect all writes of their own session.
    ReadYourWrites(Duration),
}

impl Consistency {
    /// Returns the maximum staleness of the data.
    #[must_use]
    pub fn staleness(self) -> Duration {
        match self {
            Self::Primary => Duration::ZERO,
            Self::Bounded(staleness) | Self::ReadYourWrites(staleness) => staleness,
        }
    }
}

/// Routing of a database's statements.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Name of the database.
    pub database: DatabaseId,
    /// Group of servers that runs the statements.
    pub group: GroupId,
    /// Consistency of its reads.
    pub consistency: Consistency,
    /// Timeout of a single statement.
    pub timeout: Duration,
    /// Target latency of a statement.
    pub target: Duration,
    /// Priority of its statements.
    pub priority: PriorityId,
}

/// One version of the operator's configuration.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Catalog {
    /// Version; a node never replaces its configuration with one of a lower version.
    pub version: BundleVersion,
    /// Routes by database.
    pub routes: BTreeMap<DatabaseId, Arc<Route>>,
    /// Connection limit of each server of a group, shared by all nodes.
    pub connections: BTreeMap<GroupId, usize>,
    /// Time after which an idle transaction is rolled back; none disables this.
    pub idle_transaction_timeout: Option<Duration>,
}
