//! Simulated server of a database group: SQL over the PostgreSQL protocol, a log and
//! asynchronous replication.

mod admin;
mod command;
mod database;
mod log;
mod replication;
mod server;
mod session;
mod value;

use crate::error::Error;
use crate::platform;
use server::Server;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio_util::task::TaskTracker;

/// Settings of a server.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the server.
    pub name: String,
    /// Address of the PostgreSQL port.
    pub address: SocketAddr,
    /// Address of the admin port, which reports the status and sets faults.
    pub admin: SocketAddr,
    /// Address of the primary to replicate. The server starts as the primary if
    /// `None`.
    pub follow: Option<SocketAddr>,
    /// Maximum number of concurrent statements.
    pub slots: usize,
    /// Maximum number of connections, except control connections.
    pub connections: usize,
    /// Duration of opening a connection.
    pub connect_cost: Duration,
    /// Duration of a statement.
    pub statement_time: Duration,
    /// Replication lag of a replica.
    pub lag: Duration,
}

impl Default for Config {
    fn default() -> Self {
        let unspecified = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            name: String::new(),
            address: unspecified,
            admin: unspecified,
            follow: None,
            slots: 3,
            connections: 20,
            connect_cost: Duration::from_millis(10),
            statement_time: Duration::from_millis(1),
            lag: Duration::ZERO,
        }
    }
}

/// Handle of a running server, which stops when the handle is dropped.
#[derive(Debug)]
pub struct Running {
    /// Address of the PostgreSQL port.
    pub address: SocketAddr,
    /// Address of the admin port, which reports the status and sets faults.
    pub admin: SocketAddr,
    tasks: JoinSet<Result<(), Error>>,
    sessions: TaskTracker,
}

impl Running {
    /// Binds the sockets of the server and starts its tasks. Port zero binds a free
    /// port.
    ///
    /// # Errors
    ///
    /// [`Error`] if an address cannot be bound or the database cannot be opened.
    pub async fn start(config: Config) -> Result<Self, Error> {
        let listener = platform::bind(config.address).await?;
        let admin_listener = platform::bind(config.admin).await?;
        let (address, admin) = (listener.local_addr()?, admin_listener.local_addr()?);
        let server = Arc::new(Server::open(config)?);
        let mut tasks = JoinSet::new();
        let sessions = TaskTracker::new();
        tasks.spawn(replication::follow(Arc::clone(&server)));
        tasks.spawn(session::serve(
            listener,
            Arc::clone(&server),
            sessions.clone(),
        ));
        tasks.spawn(admin::serve(admin_listener, server));
        Ok(Self {
            address,
            admin,
            tasks,
            sessions,
        })
    }

    /// Stops the server without warning, and waits until its last session has ended.
    /// Without that wait, a session may still answer a statement.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
        self.sessions.close();
        self.sessions.wait().await;
    }

    /// Waits until a task ends, which it does only on an error.
    ///
    /// # Errors
    ///
    /// [`Error`] of the task.
    pub async fn wait(mut self) -> Result<(), Error> {
        platform::wait(&mut self.tasks).await
    }
}
