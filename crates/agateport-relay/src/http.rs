//! The HTTP endpoints of a node: its readiness and its metrics.

use crate::clock::uptime;
use crate::control::snapshot::Snapshot;
use crate::error::Error;
use crate::intake::{Intake, Kind};
use crate::metrics::{Metrics, millis};
use crate::overview;
use crate::pacing;
use crate::pending;
use crate::protocol::Protocol;
use crate::readiness::Readiness;
use crate::statement::Runner;
use crate::upstreams::Upstreams;
use agateport_domain::explanation::Explanation;
use agateport_domain::prelude::*;
use axum::body::Body;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::{get, post};
use axum::{Json, Router};
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Timeout for the header of a request. The platform checks readiness once a second, so a
/// connection that it keeps open is not closed.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size in bytes of what is received of a request and of what is sent at once.
const MAX_BUFFER: usize = 16 << 10;

/// Maximum size in bytes of the body of a question; its names are far shorter.
const MAX_QUESTION: usize = 4 << 10;

/// Timeout for the body of a question, within the time limit of `agatectl`.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after a failure to accept a connection, which avoids a busy loop.
const RETRY_DELAY: Duration = Duration::from_millis(10);

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
    let intake = readiness.upstreams.intake().clone();
    let answer = move || {
        let status = if readiness.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        std::future::ready(status)
    };
    let router = Router::new().route(path, get(answer));
    spawn_http(address, router, intake, Kind::Ready).await
}

/// Serves the metrics of a node, its report to operators, and explanations of requests.
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
    let intake = upstreams.intake().clone();
    let runner = Runner::new(upstreams.clone(), metrics.clone());
    let (reported, counted) = (upstreams.clone(), metrics.clone());
    let report = move || std::future::ready(Json(overview::report(&reported, &counted)));
    let answer = move || {
        let gauges = gauges(&upstreams, snapshots.borrow().as_ref());
        let paces = pacing::render(&upstreams);
        let handovers = pending::render(&upstreams, uptime());
        std::future::ready(metrics.render(&gauges) + &paces + &handovers)
    };
    let router = Router::new()
        .route("/metrics", get(answer))
        .route("/report", get(report))
        .route("/explain", post(explain))
        .with_state(runner);
    spawn_http(address, router, intake, Kind::Metrics).await
}

/// Explains what would happen to the request in the body. The body is limited in size and time,
/// because anybody who reaches the address may send it.
async fn explain<W: Protocol>(
    State(runner): State<Runner<W>>,
    body: Body,
) -> Result<Json<Explanation>, StatusCode> {
    let body = tokio::time::timeout(QUESTION_TIMEOUT, axum::body::to_bytes(body, MAX_QUESTION));
    let body = body.await.map_err(|_| StatusCode::REQUEST_TIMEOUT)?;
    let body = body.map_err(|_| StatusCode::PAYLOAD_TOO_LARGE)?;
    let question = serde_json::from_slice(&body).map_err(|_| StatusCode::BAD_REQUEST)?;
    Ok(Json(runner.explain(&question)))
}

/// Returns the version of the configuration, the size of what the sessions set and
/// prepared, the number of callers and what clients hold, and the ages of what the node
/// knows, in milliseconds; the age of something that is not known yet is omitted.
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
    let intake = upstreams.intake();
    let gauge = |value: usize| u64::try_from(value).unwrap_or(u64::MAX);
    let held = ("client_bytes", gauge(intake.held()));
    let callers = ("callers", gauge(intake.callers()));
    ages.chain([version, context_bytes, held, callers])
        .collect()
}

async fn spawn_http(
    address: SocketAddr,
    router: Router,
    intake: Arc<Intake>,
    kind: Kind,
) -> Result<(), Error> {
    let listener = TcpListener::bind(address).await?;
    tokio::spawn(accept(listener, router, intake, kind));
    let started = uptime();
    tracing::debug!(%address, ?started, "an HTTP server has started");
    Ok(())
}

/// Accepts connections for as long as the node runs. Beyond the limit the oldest one is
/// closed, so that connections that are held open keep nobody out.
async fn accept(listener: TcpListener, router: Router, intake: Arc<Intake>, kind: Kind) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                if let Some(holding) = intake.admit(kind, address) {
                    let router = router.clone();
                    tokio::spawn(async move {
                        tokio::select! {
                            () = holding.closed() => {}
                            () = serve(stream, router) => {}
                        }
                    });
                }
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error, "an HTTP connection could not be accepted");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, router: Router) {
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_BUFFER)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(router))
        .await;
    if let Err(error) = served {
        tracing::debug!(%error, "an HTTP connection ended with an error");
    }
}
