//! Status and readiness over HTTP.

use crate::node::Node;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use axum::{Json, Router};
use serde::Serialize;
use std::sync::PoisonError;
use tokio::net::TcpListener;

/// What a node says of itself.
#[derive(Debug, Serialize)]
struct Report {
    name: NodeId,
    zone: Zone,
    bundle: Option<BundleVersion>,
    /// Nodes that may get new work.
    members: Vec<NodeId>,
    /// Primary of each group, as far as it is known.
    primaries: BTreeMap<GroupId, Option<ServerId>>,
    sessions: usize,
    counts: BTreeMap<String, u64>,
}

/// Serves the admin port until the node ends.
pub async fn run<P>(node: Arc<Node<P>>, listener: TcpListener)
where
    P: Policy + Send + Sync + 'static,
{
    let stopping = node.stopping.clone();
    let router = Router::new()
        .route("/status", get(status::<P>))
        .route("/ready", get(ready::<P>))
        .with_state(node);
    let serving = axum::serve(listener, router);
    if let Err(error) = serving
        .with_graceful_shutdown(stopping.cancelled_owned())
        .await
    {
        tracing::error!(%error, "the admin port failed");
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
    Json(Report {
        members,
        primaries,
        name: node.config.name.clone(),
        zone: node.config.zone.clone(),
        bundle: node.bundle().map(|bundle| bundle.version),
        sessions: node.sessions.len(),
        counts: node.metrics.counts(),
    })
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
