//! The HTTP endpoints of a node: its readiness and its metrics.

use crate::clock::uptime;
use crate::control::snapshot::Snapshot;
use crate::error::Error;
use crate::metrics::{Metrics, millis};
use crate::protocol::Protocol;
use crate::readiness::Readiness;
use crate::upstreams::Upstreams;
use agateport_domain::prelude::*;
use axum::Router;
use axum::http::StatusCode;
use axum::routing::get;
use std::net::SocketAddr;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Serves the readiness check at `path`.
///
/// # Errors
///
/// [`enum@Error`] if the address cannot be bound.
pub async fn serve_ready<W: Protocol>(
    address: SocketAddr,
    path: &'static str,
    readiness: Readiness<W>,
) -> Result<(), Error> {
    let answer = move || {
        let status = if readiness.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        std::future::ready(status)
    };
    let router = Router::new().route(path, get(answer));
    spawn_http(address, router).await
}

/// Serves the metrics of a node.
///
/// # Errors
///
/// [`enum@Error`] if the address cannot be bound.
pub async fn serve_metrics<W: Protocol>(
    address: SocketAddr,
    upstreams: Arc<Upstreams<W>>,
    snapshots: watch::Receiver<Option<Snapshot>>,
    metrics: Arc<Metrics>,
) -> Result<(), Error> {
    let answer = move || {
        let gauges = gauges(&upstreams, snapshots.borrow().as_ref());
        std::future::ready(metrics.render(&gauges))
    };
    let router = Router::new().route("/metrics", get(answer));
    spawn_http(address, router).await
}

/// Returns the version of the configuration, the size of what the sessions set and
/// prepared, and the ages of what the node knows, in milliseconds; the age of something
/// that is not known yet is omitted.
fn gauges<W: Protocol>(
    upstreams: &Upstreams<W>,
    snapshot: Option<&Snapshot>,
) -> BTreeMap<&'static str, u64> {
    let currencies = upstreams.currencies();
    let ages = [
        ("configuration_age_milliseconds", currencies.catalog.age()),
        ("registry_age_milliseconds", currencies.registry.age()),
        ("records_age_milliseconds", snapshot.map(Snapshot::age)),
    ];
    let ages = ages
        .into_iter()
        .filter_map(|(name, age)| Some((name, millis(age?))));
    let version = ("configuration_version", upstreams.catalog().version);
    let context_bytes = upstreams.context_usage().bytes();
    let context_bytes = u64::try_from(context_bytes).unwrap_or(u64::MAX);
    let context_bytes = ("session_context_bytes", context_bytes);
    ages.chain([version, context_bytes]).collect()
}

async fn spawn_http(address: SocketAddr, router: Router) -> Result<(), Error> {
    let listener = TcpListener::bind(address).await?;
    tokio::spawn(async move {
        if let Err(error) = axum::serve(listener, router).await {
            tracing::error!(event = "http_ended", %address, %error, "an HTTP server ended with an error");
        }
    });
    let started = uptime();
    tracing::debug!(%address, ?started, "an HTTP server has started");
    Ok(())
}
