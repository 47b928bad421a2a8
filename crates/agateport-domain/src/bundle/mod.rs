//! The versioned bundle that operators sign and roll out.

pub mod active;
pub mod change;
mod check;
mod diagnostic;
pub mod dissemination;
pub mod drain;
mod error;
mod revision;
pub mod rollout;
mod signed;
mod span;
mod trust;
mod user;

pub use active::{Accepted, Active, Comparison};
pub use change::Change;
pub use diagnostic::Diagnostic;
pub use dissemination::Dissemination;
pub use drain::Drain;
pub use error::Error;
pub use revision::Revision;
pub use rollout::Rollout;
pub use signed::{Signature, Signed};
pub use trust::{Operator, Trust};
pub use user::{User, Verifier};

use crate::group::Acknowledge;
use crate::id::{BundleVersion, GroupId, PriorityId, ServerId, Zone};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// The configuration that operators declare.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Version of the bundle, from 1; a node never applies a lower one.
    pub version: BundleVersion,
    /// Priority of requests that name none and match no selector.
    pub default_priority: PriorityId,
    /// Database groups.
    #[serde(rename = "group")]
    pub groups: Vec<Group>,
    /// Priority classes of requests.
    #[serde(rename = "priority")]
    pub priorities: Vec<Priority>,
    /// Tables whose reads may be served with data up to a given age.
    #[serde(default, rename = "read")]
    pub reads: Vec<Read>,
    /// Tables with rules for their writes.
    #[serde(default, rename = "write")]
    pub writes: Vec<Write>,
    /// Users that may log in; if empty, any caller may, without a password.
    #[serde(default, rename = "user")]
    pub users: Vec<User>,
    /// Selectors that assign a priority to requests that name none.
    #[serde(default, rename = "rank")]
    pub ranks: Vec<Selector>,
    /// Limits of the queues.
    #[serde(default)]
    pub limits: Limits,
}

/// A rule that assigns a priority to requests; an omitted condition matches all
/// requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Selector {
    /// User that the caller logged in as.
    pub user: Option<String>,
    /// Database that the caller is connected to, which is the name of a group.
    pub database: Option<GroupId>,
    /// Table that the request names, in lower case.
    pub table: Option<String>,
    /// Priority of matching requests.
    pub priority: PriorityId,
}

impl Selector {
    /// Returns whether a request of this user and database that names these
    /// tables matches.
    #[must_use]
    pub fn matches(&self, user: &str, database: &str, tables: &BTreeSet<String>) -> bool {
        let is_user = self.user.as_deref().is_none_or(|name| name == user);
        let is_database = self.database.as_deref().is_none_or(|name| name == database);
        let is_table = self.table.as_ref().is_none_or(|name| tables.contains(name));
        is_user && is_database && is_table
    }
}

/// A database group: a primary and its replicas. Callers connect to it by using
/// its name as the database.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Name of the group.
    pub name: GroupId,
    /// Servers that must hold a write before it is acknowledged.
    #[serde(default)]
    pub acknowledge: Acknowledge,
    /// Servers of the group.
    #[serde(rename = "server")]
    pub servers: Vec<Server>,
}

/// An upstream server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Name of the server, unique in the bundle.
    pub name: ServerId,
    /// Availability zone of the server.
    pub zone: Zone,
    /// Address of the PostgreSQL port.
    pub address: SocketAddr,
    /// Statements that the server runs at once without slowing down.
    pub slots: usize,
    /// Connections that the server accepts at once.
    pub connections: usize,
}

/// A priority class of requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Priority {
    /// Name of the priority.
    pub name: PriorityId,
    /// Target latency; a later answer has no worth.
    #[serde(with = "humantime_serde")]
    pub target: Duration,
    /// Worth of an answer within the target, relative to other priorities.
    pub worth: u32,
    /// Share of the slots guaranteed to this priority while others overload the
    /// server, in percent.
    #[serde(default)]
    pub minimum_share: u32,
}

/// A table whose reads may be served with data up to a given age.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Read {
    /// Name of the table, in lower case.
    pub table: String,
    /// Maximum age of the data.
    #[serde(with = "humantime_serde")]
    pub maximum_staleness: Duration,
}

/// A table with a rule for its writes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Write {
    /// Name of the table, in lower case.
    pub table: String,
    /// Whether a write to the table may be sent again when its answer is lost.
    pub repeatable: bool,
}

/// Limits of the queues.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Requests of each priority that may wait for one server.
    pub queue: usize,
}

/// Default of [`Limits::queue`].
const DEFAULT_QUEUE: usize = 256;

impl Default for Limits {
    fn default() -> Self {
        Self {
            queue: DEFAULT_QUEUE,
        }
    }
}

impl Bundle {
    /// Parses a bundle from TOML and validates it.
    ///
    /// # Errors
    ///
    /// [`Error::Invalid`] with all diagnostics if the text is not a bundle or
    /// contradicts itself.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let diagnostics = match toml::from_str::<Self>(text) {
            Ok(bundle) => match check::rules(&bundle, text) {
                diagnostics if diagnostics.is_empty() => return Ok(bundle),
                diagnostics => diagnostics,
            },
            Err(error) => check::schema(text, &error),
        };
        Err(Error::Invalid {
            text: text.to_owned(),
            diagnostics,
        })
    }

    /// Returns the group named `name`.
    #[must_use]
    pub fn group(&self, name: &str) -> Option<&Group> {
        self.groups.iter().find(|group| &*group.name == name)
    }

    /// Returns the server named `name`, and its group.
    #[must_use]
    pub fn server(&self, name: &str) -> Option<(&Group, &Server)> {
        let mut servers = self
            .groups
            .iter()
            .flat_map(|group| group.servers.iter().map(move |server| (group, server)));
        servers.find(|(_, server)| &*server.name == name)
    }

    /// Returns the priority named `name`.
    #[must_use]
    pub fn priority(&self, name: &str) -> Option<&Priority> {
        self.priorities
            .iter()
            .find(|priority| &*priority.name == name)
    }

    /// Returns the priority of a request that names none: that of the first
    /// selector that matches, or the default.
    #[must_use]
    pub fn classify(&self, user: &str, database: &str, tables: &BTreeSet<String>) -> &PriorityId {
        let selector = self
            .ranks
            .iter()
            .find(|selector| selector.matches(user, database, tables));
        selector.map_or(&self.default_priority, |selector| &selector.priority)
    }

    /// Returns the maximum age of the data for a read that names these tables;
    /// none if there are no tables or one of them has no rule.
    pub fn maximum_staleness<'a>(
        &self,
        tables: impl IntoIterator<Item = &'a String>,
    ) -> Option<Duration> {
        let limits = tables.into_iter().map(|table| {
            let rule = self.reads.iter().find(|read| read.table == *table)?;
            Some(rule.maximum_staleness)
        });
        limits.collect::<Option<Vec<_>>>()?.into_iter().min()
    }
}
