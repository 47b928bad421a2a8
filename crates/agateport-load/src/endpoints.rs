//! Where a deployment's nodes are, and what they say of themselves.

use crate::error::Error;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Time after which a node's status is given up.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Counter of reads with a rule that a replica served.
const REPLICA_READS: &str = "read.replica";

/// Counter of reads with a rule that the primary served.
const PRIMARY_READS: &str = "read.primary";

/// What `scripts/up` writes of a deployment.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Endpoints {
    /// All nodes.
    pub nodes: Vec<Node>,
    /// All database groups.
    pub groups: Vec<Group>,
}

/// One node.
#[derive(Clone, Debug, Deserialize)]
pub struct Node {
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for status.
    pub admin: Option<SocketAddr>,
}

/// One database group.
#[derive(Clone, Debug, Deserialize)]
pub struct Group {
    /// Name of the group.
    pub name: String,
}

/// What a node says of itself, as far as it is used here.
#[derive(Clone, Debug, Deserialize)]
struct Status {
    counts: BTreeMap<String, u64>,
}

/// Reads with a rule, by who served them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Reads {
    /// Served by a replica.
    pub replica: u64,
    /// Served by the primary.
    pub primary: u64,
}

impl Endpoints {
    /// Reads the file that `scripts/up` writes.
    ///
    /// # Errors
    ///
    /// [`Error`] if it can't be read.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(|source| Error::File {
            path: path.to_owned(),
            source,
        })?;
        serde_json::from_str(&text).map_err(|source| Error::Json {
            path: path.to_owned(),
            source,
        })
    }
}

/// Returns the sum of all nodes' counters of reads; none if no node tells.
pub async fn fetch_reads(admins: &[SocketAddr]) -> Option<Reads> {
    let client = reqwest::Client::builder()
        .no_proxy()
        .timeout(TIMEOUT)
        .build();
    let client = client.ok()?;
    let requests = admins.iter().map(|admin| fetch_status(&client, *admin));
    let responses = futures::future::join_all(requests).await;
    let statuses: Vec<Status> = responses.into_iter().flatten().collect();
    if statuses.is_empty() {
        return None;
    }
    let sum = |name: &str| statuses.iter().filter_map(|one| one.counts.get(name)).sum();
    Some(Reads {
        replica: sum(REPLICA_READS),
        primary: sum(PRIMARY_READS),
    })
}

async fn fetch_status(client: &reqwest::Client, admin: SocketAddr) -> Option<Status> {
    let response = client.get(format!("http://{admin}/status")).send().await;
    response.ok()?.json().await.ok()
}

impl Reads {
    /// Returns what was counted after `before`.
    #[must_use]
    pub fn since(self, before: Self) -> Self {
        // A node that was started anew counts from zero.
        Self {
            replica: self.replica.saturating_sub(before.replica),
            primary: self.primary.saturating_sub(before.primary),
        }
    }
}
