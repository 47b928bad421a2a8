//! Client of the SQL functions that control the servers of a database group.

use super::Upstream;
use crate::Error;
use agateport_domain::group::Status;
use agateport_domain::id::Term;
use std::net::SocketAddr;

/// User whose connections do not count towards an upstream's connection limit.
pub const USER: &str = "agateport_control";

/// Database name of control connections.
pub const DATABASE: &str = "agateport";

/// A control connection to an upstream server.
#[derive(Debug)]
pub struct Control {
    upstream: Upstream,
}

impl Control {
    /// Connects to the upstream server at `address`.
    ///
    /// # Errors
    ///
    /// [`Error`] if it is unreachable or refuses the connection.
    pub async fn connect(address: SocketAddr) -> Result<Self, Error> {
        let upstream = Upstream::connect(address, USER, DATABASE).await?;
        Ok(Self { upstream })
    }

    /// Queries the status of the server.
    ///
    /// # Errors
    ///
    /// [`Error`] if the connection is lost or the response is malformed.
    pub async fn status(&mut self) -> Result<Status, Error> {
        self.call("SELECT agateport_status()").await
    }

    /// Fences the server at a new term, after which it rejects requests of older
    /// terms.
    ///
    /// # Errors
    ///
    /// [`Error`] if the connection is lost, or if the term of the server is not lower
    /// than `term`, unless the server is fenced at `term` already.
    pub async fn fence(&mut self, term: Term) -> Result<Status, Error> {
        self.call(&format!("SELECT agateport_fence({term})")).await
    }

    /// Promotes the server, which must be fenced at `term`, to primary.
    ///
    /// # Errors
    ///
    /// [`Error`] if the connection is lost, or if the server is neither fenced at
    /// `term` nor its primary already.
    pub async fn promote(&mut self, term: Term) -> Result<Status, Error> {
        self.call(&format!("SELECT agateport_promote({term})"))
            .await
    }

    /// Makes the server a replica of the primary of `term` at address `primary`.
    ///
    /// # Errors
    ///
    /// [`Error`] if the connection is lost, or if the server has a higher term or is
    /// itself the primary of `term`.
    pub async fn follow(&mut self, primary: SocketAddr, term: Term) -> Result<Status, Error> {
        self.call(&format!("SELECT agateport_follow({term}, '{primary}')"))
            .await
    }

    async fn call(&mut self, sql: &str) -> Result<Status, Error> {
        let rows = self.upstream.query(sql).await?;
        let row = rows.first().ok_or(Error::Ended)?;
        serde_json::from_str(row).map_err(|error| Error::Postgres(error.to_string()))
    }
}
