//! HTTP admin port, which reports the status and sets faults.

use super::server::{Fault, Server};
use crate::error::Error;
use agateport_domain::group::Status;
use axum::extract::State;
use axum::routing::get;
use axum::{Json, Router};
use std::sync::Arc;
use tokio::net::TcpListener;

/// Serves the admin port until the task is aborted.
///
/// # Errors
///
/// [`Error`] if the listener fails.
pub async fn serve(listener: TcpListener, server: Arc<Server>) -> Result<(), Error> {
    let router = Router::new()
        .route("/status", get(status))
        .route("/faults", get(faults).put(put_faults))
        .with_state(server);
    Ok(axum::serve(listener, router).await?)
}

async fn status(State(server): State<Arc<Server>>) -> Json<Status> {
    Json(server.status())
}

async fn faults(State(server): State<Arc<Server>>) -> Json<Fault> {
    Json(server.fault())
}

async fn put_faults(State(server): State<Arc<Server>>, Json(fault): Json<Fault>) {
    server.set_fault(fault);
}
