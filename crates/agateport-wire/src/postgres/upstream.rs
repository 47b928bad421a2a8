//! Connection to an upstream server.

use super::codec::Client;
use super::{Backend, Frontend, LOG_POSITION};
use crate::Error;
use agateport_domain::session::Watermark;
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::{Authentication, BackendKeyData, Startup};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

/// A connection to an upstream server.
#[derive(Debug)]
pub struct Upstream {
    address: SocketAddr,
    framed: Framed<TcpStream, Client>,
    prepared: BTreeSet<String>,
    watermark: Option<Watermark>,
    settings: Vec<String>,
    key: Option<BackendKeyData>,
}

/// Maximum number of prepared statements that a connection keeps.
const MAX_PREPARED: usize = 200;

impl Upstream {
    /// Connects to the upstream and completes the startup.
    ///
    /// # Errors
    ///
    /// [`Error`] if the upstream is unreachable or refuses the connection.
    pub async fn connect(address: SocketAddr, user: &str, database: &str) -> Result<Self, Error> {
        let unreachable = |source| Error::Unreachable {
            peer: address.to_string(),
            source,
        };
        let stream = TcpStream::connect(address).await.map_err(unreachable)?;
        stream.set_nodelay(true)?;
        let mut upstream = Self {
            address,
            framed: Framed::new(stream, Client),
            prepared: BTreeSet::new(),
            watermark: None,
            settings: Vec::new(),
            key: None,
        };
        upstream.log_in(user, database).await?;
        Ok(upstream)
    }

    /// Sends encoded messages.
    ///
    /// # Errors
    ///
    /// [`Error`] if the connection is lost.
    pub async fn send(&mut self, messages: Bytes) -> Result<(), Error> {
        self.framed.send(messages).await
    }

    /// Receives one message. Reports of the log position update the watermark and
    /// are not returned.
    ///
    /// # Errors
    ///
    /// [`Error`] if the connection is lost.
    pub async fn receive(&mut self) -> Result<Backend, Error> {
        loop {
            let message = self.framed.next().await.unwrap_or(Err(Error::Ended))?;
            match message {
                Backend::ParameterStatus(status) if status.name == LOG_POSITION => {
                    self.watermark = status.value.parse().ok();
                }
                message => return Ok(message),
            }
        }
    }

    /// Runs a simple query and returns the first column of its rows as text.
    ///
    /// # Errors
    ///
    /// [`Error`] if the connection is lost or the upstream returns an error.
    pub async fn query(&mut self, sql: &str) -> Result<Vec<String>, Error> {
        let query = Query::new(sql.to_owned());
        self.framed.send(Frontend::Query(query)).await?;
        let mut rows = Vec::new();
        let mut failure = None;
        loop {
            match self.receive().await? {
                Backend::DataRow(row) => rows.push(first_column(&row.data)),
                Backend::ErrorResponse(error) => failure = Some(error_message(&error)),
                Backend::ReadyForQuery(_) => break,
                _ => {}
            }
        }
        match failure {
            Some(message) => Err(Error::Refused {
                address: self.address,
                message,
            }),
            None => Ok(rows),
        }
    }

    /// Returns the last log position that the upstream reported on this connection.
    #[must_use]
    pub fn watermark(&self) -> Option<Watermark> {
        self.watermark
    }

    /// Returns whether the connection is open and has no unread data.
    #[must_use]
    pub fn is_open(&self) -> bool {
        let mut byte = [0];
        let read = self.framed.get_ref().try_read(&mut byte);
        read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Resets the settings of the connection and runs `statements`, unless they are
    /// in force already.
    ///
    /// # Errors
    ///
    /// [`Error`] if the connection is lost or the upstream refuses a setting.
    pub async fn apply_settings(&mut self, statements: &[String]) -> Result<(), Error> {
        if self.settings == statements {
            return Ok(());
        }
        self.query("RESET ALL").await?;
        self.settings.clear();
        for statement in statements {
            self.query(statement).await?;
        }
        self.settings = statements.to_vec();
        Ok(())
    }

    /// Resets the session state of the connection.
    ///
    /// # Errors
    ///
    /// [`Error`] if the connection is lost.
    pub async fn reset(&mut self) -> Result<(), Error> {
        self.query("DISCARD ALL").await?;
        self.settings.clear();
        self.prepared.clear();
        Ok(())
    }

    /// Sends a cancel request for the statement that runs on this connection, over a
    /// connection of its own. Does nothing if the upstream has sent no cancel key.
    ///
    /// # Errors
    ///
    /// [`Error`] if the upstream is unreachable.
    pub async fn cancel(&self) -> Result<(), Error> {
        let Some(key) = &self.key else {
            return Ok(());
        };
        let stream = TcpStream::connect(self.address).await?;
        let request = CancelRequest::new(key.pid, key.secret_key.clone());
        let mut framed = Framed::new(stream, Client);
        framed.send(Frontend::CancelRequest(request)).await
    }

    /// If the connection has reached its maximum of prepared statements, removes the
    /// statement whose name sorts first from the record and returns the name, so that
    /// the statement can be closed at the upstream.
    pub fn evict_prepared(&mut self) -> Option<String> {
        if self.prepared.len() < MAX_PREPARED {
            return None;
        }
        self.prepared.pop_first()
    }

    /// Returns whether a statement is prepared on this connection.
    #[must_use]
    pub fn is_prepared(&self, name: &str) -> bool {
        self.prepared.contains(name)
    }

    /// Records that a statement is prepared on this connection.
    pub fn record_prepared(&mut self, name: String) {
        self.prepared.insert(name);
    }

    async fn log_in(&mut self, user: &str, database: &str) -> Result<(), Error> {
        let mut startup = Startup::new();
        let parameters = [("user", user), ("database", database)];
        for (name, value) in parameters {
            startup.parameters.insert(name.to_owned(), value.to_owned());
        }
        self.framed.send(Frontend::Startup(startup)).await?;
        loop {
            match self.receive().await? {
                Backend::ReadyForQuery(_) => return Ok(()),
                Backend::BackendKeyData(key) => self.key = Some(key),
                Backend::ErrorResponse(error) => {
                    return Err(Error::Refused {
                        address: self.address,
                        message: error_message(&error),
                    });
                }
                Backend::Authentication(method) if method != Authentication::Ok => {
                    return Err(Error::Refused {
                        address: self.address,
                        message: format!("authentication by {method:?} is not supported"),
                    });
                }
                _ => {}
            }
        }
    }
}

fn error_message(error: &pgwire::messages::response::ErrorResponse) -> String {
    let texts = error.fields.iter().filter(|(kind, _)| *kind == b'M');
    texts.map(|(_, text)| text.as_str()).collect()
}

fn first_column(data: &[u8]) -> String {
    let Some((length, rest)) = data.split_first_chunk::<4>() else {
        return String::new();
    };
    let length = usize::try_from(i32::from_be_bytes(*length)).unwrap_or(0);
    let bytes = rest.get(..length).unwrap_or_default();
    String::from_utf8_lossy(bytes).into_owned()
}
