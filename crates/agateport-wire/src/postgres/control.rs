//! What a database group offers for its own control, as SQL functions.

use super::Upstream;
use crate::Error;
use agateport_domain::group::Status;
use agateport_domain::id::Term;
use std::net::SocketAddr;

/// User whose connections don't count against an upstream's limit.
pub const USER: &str = "agateport_control";

/// Database that control connections name.
pub const DATABASE: &str = "agateport";

/// A connection for status and promotion.
#[derive(Debug)]
pub struct Control {
    upstream: Upstream,
}

impl Control {
    /// Connects to the upstream server at `address`.
    ///
    /// # Errors
    ///
    /// [`Error`] if it can't be reached.
    pub async fn connect(address: SocketAddr) -> Result<Self, Error> {
        let upstream = Upstream::connect(address, USER, DATABASE).await?;
        Ok(Self { upstream })
    }

    /// Asks the server for its status.
    ///
    /// # Errors
    ///
    /// [`Error`] if the connection broke or the answer can't be read.
    pub async fn status(&mut self) -> Result<Status, Error> {
        self.call("SELECT agateport_status()").await
    }

    /// Tells the server a new term; from then on it takes nothing of an older.
    ///
    /// # Errors
    ///
    /// [`Error`] if the connection broke or the server knows a higher term.
    pub async fn fence(&mut self, term: Term) -> Result<Status, Error> {
        self.call(&format!("SELECT agateport_fence({term})")).await
    }

    /// Makes the server, fenced at `term`, the primary.
    ///
    /// # Errors
    ///
    /// [`Error`] if the connection broke or the server isn't fenced at `term`.
    pub async fn promote(&mut self, term: Term) -> Result<Status, Error> {
        self.call(&format!("SELECT agateport_promote({term})"))
            .await
    }

    /// Makes the server follow the primary of `term` at `primary`.
    ///
    /// # Errors
    ///
    /// [`Error`] if the connection broke or the server knows a higher term.
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
