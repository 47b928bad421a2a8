//! Addresses of a deployment's nodes, and the counters that the nodes report.

use crate::error::Error;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Time limit of a status request to a node.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Counter of the reads of tables with a read rule that a replica served.
const REPLICA_READS: &str = "read.replica";

/// Counter of the reads of tables with a read rule that the primary served.
const PRIMARY_READS: &str = "read.primary";

/// Content of `endpoints.json`, which `scripts/up` writes for a deployment.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Endpoints {
    /// Nodes of the deployment.
    pub nodes: Vec<Node>,
    /// Database groups of the deployment.
    pub groups: Vec<Group>,
}

/// Addresses of one node.
#[derive(Clone, Debug, Deserialize)]
pub struct Node {
    /// Address for callers.
    pub address: SocketAddr,
    /// Admin address, which serves the status.
    pub admin: Option<SocketAddr>,
}

/// One database group.
#[derive(Clone, Debug, Deserialize)]
pub struct Group {
    /// Name of the group, used as the database name by callers.
    pub name: String,
}

/// Part of a node's status that is used here.
#[derive(Clone, Debug, Deserialize)]
struct Status {
    counts: BTreeMap<String, u64>,
}

/// Numbers of reads of tables with a read rule, by the role of the server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Reads {
    /// Reads served by a replica.
    pub replica: u64,
    /// Reads served by the primary.
    pub primary: u64,
}

impl Endpoints {
    /// Reads `endpoints.json`, as written by `scripts/up`.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the file cannot be read or is malformed.
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

/// Returns the sums of the nodes' read counters, or `None` if no node responds.
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
    let sum = |name: &str| {
        statuses
            .iter()
            .filter_map(|status| status.counts.get(name))
            .sum()
    };
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
    /// Returns the reads counted since `before`.
    #[must_use]
    pub fn since(self, before: Self) -> Self {
        // The counters of a restarted node begin at zero.
        Self {
            replica: self.replica.saturating_sub(before.replica),
            primary: self.primary.saturating_sub(before.primary),
        }
    }
}
