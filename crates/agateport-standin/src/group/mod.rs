//! One server of a database group: SQL over the PostgreSQL protocol, a log, and
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

/// Settings of a server.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the server.
    pub name: String,
    /// Address of its PostgreSQL port.
    pub address: SocketAddr,
    /// Address on which faults are switched.
    pub admin: SocketAddr,
    /// Server to follow; none starts as the primary.
    pub follow: Option<SocketAddr>,
    /// Statements that run at once.
    pub slots: usize,
    /// Connections taken at once.
    pub connections: usize,
    /// Time that a new connection takes.
    pub connect_cost: Duration,
    /// Time that a statement takes.
    pub statement_time: Duration,
    /// Time by which a replica lags.
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

/// A server that has started; it ends when this is dropped.
#[derive(Debug)]
pub struct Running {
    /// Address of its PostgreSQL port.
    pub address: SocketAddr,
    /// Address on which faults are switched.
    pub admin: SocketAddr,
    tasks: JoinSet<Result<(), Error>>,
}

impl Running {
    /// Opens the server's sockets and starts its tasks; port zero takes any.
    ///
    /// # Errors
    ///
    /// [`Error`] if an address is taken or the database can't be opened.
    pub async fn start(config: Config) -> Result<Self, Error> {
        let listener = platform::bind(config.address).await?;
        let admin_listener = platform::bind(config.admin).await?;
        let (address, admin) = (listener.local_addr()?, admin_listener.local_addr()?);
        let server = Arc::new(Server::open(config)?);
        let mut tasks = JoinSet::new();
        tasks.spawn(replication::follow(Arc::clone(&server)));
        tasks.spawn(session::serve(listener, Arc::clone(&server)));
        tasks.spawn(admin::serve(admin_listener, server));
        Ok(Self {
            address,
            admin,
            tasks,
        })
    }

    /// Waits until a task fails.
    ///
    /// # Errors
    ///
    /// [`Error`] of the task.
    pub async fn wait(mut self) -> Result<(), Error> {
        platform::wait(&mut self.tasks).await
    }
}
