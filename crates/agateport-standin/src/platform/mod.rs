//! Simulated platform: table service, object store and list of VMs over HTTP.

mod fault;
mod store;

use crate::error::Error;
use agateport_wire::platform::{Operation, Row, Vm};
use axum::Json;
use axum::Router;
use axum::body::Bytes;
use axum::extract::{Path, Request, State};
use axum::http::StatusCode;
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post, put};
use fault::Fault;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use store::Store;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Settings of the platform.
#[derive(Debug)]
pub struct Config {
    /// Address of the service.
    pub address: SocketAddr,
    /// Address of the admin port, which sets faults and the list of VMs.
    pub admin: SocketAddr,
}

#[derive(Debug, Default)]
struct Platform {
    store: Mutex<Store>,
    fault: Mutex<Fault>,
}

impl Platform {
    fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn fault(&self) -> MutexGuard<'_, Fault> {
        self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Handle of a running platform, which stops when the handle is dropped.
#[derive(Debug)]
pub struct Running {
    /// Address of the service.
    pub address: SocketAddr,
    /// Address of the admin port, which sets faults and the list of VMs.
    pub admin: SocketAddr,
    tasks: JoinSet<Result<(), Error>>,
}

impl Running {
    /// Binds the sockets of the platform and starts its tasks. Port zero binds a free
    /// port.
    ///
    /// # Errors
    ///
    /// [`Error`] if an address cannot be bound.
    pub async fn start(config: Config) -> Result<Self, Error> {
        let listener = bind(config.address).await?;
        let admin_listener = bind(config.admin).await?;
        let (address, admin) = (listener.local_addr()?, admin_listener.local_addr()?);
        let platform = Arc::new(Platform::default());
        let mut tasks = JoinSet::new();
        tasks.spawn(serve(listener, service_router(&platform)));
        tasks.spawn(serve(admin_listener, admin_router(platform)));
        Ok(Self {
            address,
            admin,
            tasks,
        })
    }

    /// Waits until a task ends, which it does only on an error.
    ///
    /// # Errors
    ///
    /// [`Error`] of the task.
    pub async fn wait(mut self) -> Result<(), Error> {
        wait(&mut self.tasks).await
    }
}

/// Binds a listening socket.
///
/// # Errors
///
/// [`Error`] if the address cannot be bound.
pub(crate) async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(|source| Error::Bind { address, source })
}

/// Waits until the first task ends and returns its result.
pub(crate) async fn wait(tasks: &mut JoinSet<Result<(), Error>>) -> Result<(), Error> {
    match tasks.join_next().await {
        Some(Ok(result)) => result,
        Some(Err(error)) => Err(std::io::Error::other(error).into()),
        None => Ok(()),
    }
}

async fn serve(listener: TcpListener, router: Router) -> Result<(), Error> {
    Ok(axum::serve(listener, router).await?)
}

fn service_router(platform: &Arc<Platform>) -> Router {
    let faults = middleware::from_fn_with_state(Arc::clone(platform), inject_fault);
    Router::new()
        .route("/table/{*key}", get(row))
        .route("/transaction", post(commit))
        .route("/object/{*key}", get(object).put(put_object))
        .route("/vms", get(vms))
        .layer(faults)
        .with_state(Arc::clone(platform))
}

fn admin_router(platform: Arc<Platform>) -> Router {
    Router::new()
        .route("/faults", get(faults).put(put_faults))
        .route("/vms", put(put_vms))
        .with_state(platform)
}

async fn inject_fault(
    State(platform): State<Arc<Platform>>,
    request: Request,
    next: Next,
) -> Response {
    let fault = platform.fault().clone();
    if fault.outage {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    if !fault.delay.is_zero() {
        sleep(fault.delay).await;
    }
    let is_change = request.method() != axum::http::Method::GET;
    let response = next.run(request).await;
    if is_change && platform.fault().consume_lost_answer() {
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    response
}

async fn row(
    State(platform): State<Arc<Platform>>,
    Path(key): Path<String>,
) -> Result<Json<Row>, StatusCode> {
    let row = platform.store().row(&key);
    row.map(Json).ok_or(StatusCode::NOT_FOUND)
}

async fn commit(
    State(platform): State<Arc<Platform>>,
    Json(operations): Json<Vec<Operation>>,
) -> StatusCode {
    if platform.store().commit(operations) {
        StatusCode::OK
    } else {
        StatusCode::CONFLICT
    }
}

async fn object(
    State(platform): State<Arc<Platform>>,
    Path(key): Path<String>,
) -> Result<Bytes, StatusCode> {
    let object = platform.store().object(&key);
    object.ok_or(StatusCode::NOT_FOUND)
}

async fn put_object(
    State(platform): State<Arc<Platform>>,
    Path(key): Path<String>,
    bytes: Bytes,
) -> StatusCode {
    platform.store().put_object(key, bytes);
    StatusCode::OK
}

async fn vms(State(platform): State<Arc<Platform>>) -> Json<Vec<Vm>> {
    Json(platform.store().vms())
}

async fn put_vms(State(platform): State<Arc<Platform>>, Json(vms): Json<Vec<Vm>>) -> StatusCode {
    platform.store().put_vms(vms);
    StatusCode::OK
}

async fn faults(State(platform): State<Arc<Platform>>) -> Json<Fault> {
    Json(platform.fault().clone())
}

async fn put_faults(State(platform): State<Arc<Platform>>, Json(fault): Json<Fault>) -> StatusCode {
    *platform.fault() = fault;
    StatusCode::OK
}
