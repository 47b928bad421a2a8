//! HTTP server for status, readiness and drain orders.

use super::bundle;
use crate::node::Node;
use agateport_domain::bundle::{Drain, Revision};
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_domain::report::{self, Listed, MAX_SERVERS};
use agateport_wire::signed;
use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, State};
use axum::http::StatusCode;
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::Serialize;
use std::sync::PoisonError;
use tokio::net::TcpListener;

/// Response to a rejected order: the status code and the reason.
type Rejection = (StatusCode, String);

/// Status of a node, as the body of the answer to `/status`.
#[derive(Debug, Serialize)]
struct Report {
    name: NodeId,
    zone: Zone,
    bundle: Option<BundleVersion>,
    /// Digest of the bundle in force.
    digest: Option<String>,
    /// Operators whose signatures of the bundle in force are valid.
    signers: BTreeSet<String>,
    /// The last rejected bundle and the reason.
    rejected: Option<Rejected>,
    /// Servers that the bundle no longer declares but that still have work to
    /// finish.
    retiring: BTreeSet<ServerId>,
    /// Whether the node is leaving and accepts no callers.
    is_leaving: bool,
    /// Nodes that may receive new work.
    members: Vec<NodeId>,
    /// Primary of each group; `None` if it is unknown.
    primaries: BTreeMap<GroupId, Option<ServerId>>,
    sessions: usize,
    counts: BTreeMap<String, u64>,
}

/// A rejected bundle.
#[derive(Debug, Serialize)]
struct Rejected {
    revision: Option<Revision>,
    reason: String,
}

/// Maximum length of a request body, in bytes.
const MAX_BODY: usize = 4096;

/// Serves the admin port until the node ends.
pub async fn run<P>(node: Arc<Node<P>>, listener: TcpListener)
where
    P: Policy + Send + Sync + 'static,
{
    let stopping = node.stopping.clone();
    let router = Router::new()
        .route("/status", get(status::<P>))
        .route("/ready", get(ready::<P>))
        .route("/report", get(report::<P>))
        .route("/drain", post(drain::<P>))
        .layer(DefaultBodyLimit::max(MAX_BODY))
        .with_state(node);
    let server = axum::serve(listener, router);
    if let Err(error) = server
        .with_graceful_shutdown(stopping.cancelled_owned())
        .await
    {
        tracing::error!(%error, "HTTP server of the admin port failed");
    }
}

async fn status<P>(State(node): State<Arc<Node<P>>>) -> Json<Report>
where
    P: Policy + Send + Sync + 'static,
{
    let members = {
        let view = node.view.lock().unwrap_or_else(PoisonError::into_inner);
        view.live().map(|member| member.name.clone()).collect()
    };
    let mut primaries = BTreeMap::new();
    node.groups.for_each(|name, group| {
        primaries.insert(name.clone(), group.primary().cloned());
    });
    let active = active_bundle(&node);
    Json(Report {
        members,
        digest: active.digest,
        signers: active.signers,
        rejected: active.rejected,
        retiring: bundle::retiring(&node),
        is_leaving: node.leaving.is_cancelled(),
        primaries,
        name: node.config.name.clone(),
        zone: node.config.zone.clone(),
        bundle: node.bundle().map(|bundle| bundle.version),
        sessions: node.sessions.len(),
        counts: node.metrics.counts(),
    })
}

/// Counters of refusals, by the part of their names before the dot.
const REFUSALS: [&str; 4] = ["admin", "gate_refused", "owner_refused", "refused"];

/// Returns the report to operators. The deployments of this front end have no workspaces.
async fn report<P>(State(node): State<Arc<Node<P>>>) -> Json<report::Report>
where
    P: Policy + Send + Sync + 'static,
{
    let bundle = node.bundle();
    let mut groups = BTreeMap::new();
    for group in bundle.iter().flat_map(|bundle| &bundle.groups) {
        for server in &group.servers {
            groups.insert(server.name.clone(), group.name.clone());
        }
    }
    let mut servers = Vec::new();
    node.servers.for_each(|name, server| {
        // A server that the bundle no longer declares has no group.
        let group = groups.get(name).cloned().unwrap_or_else(|| "".into());
        servers.push(server.observe(name, &group));
    });
    servers.sort_by(|left, right| left.server.cmp(&right.server));
    let counts = node.metrics.counts().into_iter();
    let refusals = counts.filter(|(name, _)| {
        let kind = name.split('.').next();
        kind.is_some_and(|kind| REFUSALS.contains(&kind))
    });
    Json(report::Report {
        node: node.config.name.clone(),
        zone: node.config.zone.clone(),
        configuration: bundle.map(|bundle| bundle.version),
        configuration_age_ms: None,
        workspaces: Listed::first(Vec::new(), 0),
        servers: Listed::first(servers, MAX_SERVERS),
        handovers: Listed::default(),
        refusals: refusals.collect(),
    })
}

/// Details of the bundle in force and of the last rejected one.
struct ActiveBundle {
    digest: Option<String>,
    signers: BTreeSet<String>,
    rejected: Option<Rejected>,
}

fn active_bundle<P>(node: &Node<P>) -> ActiveBundle {
    let (accepted, rejected) = {
        let active = bundle::active(node);
        (active.accepted().cloned(), active.rejected().cloned())
    };
    let signed = accepted.as_ref().map(|accepted| &accepted.signed);
    ActiveBundle {
        signers: signed
            .map(|signed| signed.signers(&node.trust))
            .unwrap_or_default(),
        digest: accepted.map(|accepted| accepted.revision.digest),
        rejected: rejected.map(|(revision, reason)| Rejected { revision, reason }),
    }
}

/// Drains and ends the node on an operator's signed order.
async fn drain<P>(State(node): State<Arc<Node<P>>>, body: Bytes) -> Result<String, Rejection>
where
    P: Policy + Send + Sync + 'static,
{
    let refuse = |error: String| {
        node.metrics.count("admin", "refused");
        (StatusCode::FORBIDDEN, error)
    };
    let signed = signed::decode(&body).map_err(|error| refuse(error.to_string()))?;
    let now = SystemTime::now();
    let operator = Drain::check(
        &signed,
        &node.trust,
        &node.config.name,
        node.started_at,
        now,
    )
    .map_err(|error| refuse(error.to_string()))?;
    tracing::info!(%operator, "draining the node by order of an operator");
    node.draining.cancel();
    Ok(format!("{} is leaving\n", node.config.name))
}

async fn ready<P>(State(node): State<Arc<Node<P>>>) -> StatusCode
where
    P: Policy + Send + Sync + 'static,
{
    let is_ready = node.bundle().is_some() && !node.leaving.is_cancelled();
    if is_ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}
