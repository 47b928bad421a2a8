//! The operator's configuration: how the statements of each database are routed.

use crate::name;
use agateport_domain::prelude::*;
use agateport_domain::workspace::{Directory, Limits};
use serde::{Deserialize, Serialize};

/// Longest duration of a configuration. It can be added to any time.
pub const MAX_DURATION: Duration = Duration::from_hours(365 * 24);

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

    fn checked(self) -> Self {
        match self {
            Self::Primary => Self::Primary,
            Self::Bounded(staleness) => Self::Bounded(staleness.min(MAX_DURATION)),
            Self::ReadYourWrites(staleness) => Self::ReadYourWrites(staleness.min(MAX_DURATION)),
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
    /// Whether callers without a key may use it.
    pub is_public: bool,
}

impl Route {
    /// Returns the route with durations of at most [`MAX_DURATION`]; none if a name is
    /// not valid.
    fn checked(self) -> Option<Self> {
        let names = [&*self.database, &*self.group];
        let are_valid = names.into_iter().all(name::is_valid);
        are_valid.then(|| Self {
            consistency: self.consistency.checked(),
            timeout: self.timeout.min(MAX_DURATION),
            target: self.target.min(MAX_DURATION),
            ..self
        })
    }
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
    /// The workspaces; none if callers need no key.
    pub workspaces: Option<Arc<Directory>>,
}

impl Catalog {
    /// Returns the limits of a workspace; none if it is not limited. A workspace that is no
    /// longer listed may run nothing.
    #[must_use]
    pub fn limits(&self, workspace: &WorkspaceId) -> Option<Limits> {
        let directory = self.workspaces.as_deref()?;
        directory.limits(workspace)
    }

    /// Returns the configuration without the routes and groups whose names are not valid,
    /// which are logged, and with durations of at most [`MAX_DURATION`].
    #[must_use]
    pub fn checked(self) -> Self {
        let version = self.version;
        let (catalog, invalid) = self.check();
        for entry in invalid {
            entry.log(version);
        }
        catalog
    }

    /// Returns the configuration as [`Self::checked`] does, and what is left out of it.
    #[must_use]
    pub fn check(self) -> (Self, Vec<Invalid>) {
        let mut invalid = Vec::new();
        let mut routes = BTreeMap::new();
        for (database, route) in self.routes {
            let checked = Route::clone(&route).checked();
            if let Some(checked) = checked.filter(|route| route.database == database) {
                routes.insert(database, Arc::new(checked));
                continue;
            }
            let group = route.group.clone();
            invalid.push(Invalid::Route { database, group });
        }
        let mut connections = BTreeMap::new();
        for (group, count) in self.connections {
            if name::is_valid(&group) {
                connections.insert(group, count);
            } else {
                invalid.push(Invalid::Group(group));
            }
        }
        let idle_timeout = self.idle_transaction_timeout;
        let catalog = Self {
            version: self.version,
            routes,
            connections,
            idle_transaction_timeout: idle_timeout.map(|timeout| timeout.min(MAX_DURATION)),
            workspaces: self.workspaces.map(|directory| {
                let directory = Arc::unwrap_or_clone(directory);
                Arc::new(directory.checked(name::is_valid))
            }),
        };
        (catalog, invalid)
    }
}

/// A part of a configuration that is ignored, because a name is not valid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Invalid {
    /// The servers of a group.
    Group(GroupId),
    /// A route.
    Route {
        /// Its database.
        database: DatabaseId,
        /// Its group.
        group: GroupId,
    },
}

impl Invalid {
    /// Returns the reason for metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Group(_) => "group_name",
            Self::Route { .. } => "route_name",
        }
    }

    /// Logs the entry of a configuration of this version.
    pub fn log(&self, version: BundleVersion) {
        match self {
            Self::Group(group) => tracing::warn!(
                event = "group_odd",
                version,
                group = &**group,
                "a group whose name is not valid is ignored"
            ),
            Self::Route { database, group } => tracing::warn!(
                event = "route_odd",
                version,
                database = &**database,
                group = &**group,
                "a route whose names are not valid is ignored"
            ),
        }
    }
}
