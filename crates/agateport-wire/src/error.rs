//! What can go wrong between this process and another.

use std::net::SocketAddr;
use thiserror::Error;

/// A failure to exchange messages with another process.
#[derive(Debug, Error)]
pub enum Error {
    /// The connection broke.
    #[error("the connection to {peer} broke")]
    Disconnected {
        /// Address or name of the other side.
        peer: String,
        /// What the operating system or the library said.
        source: std::io::Error,
    },
    /// The other side couldn't be reached.
    #[error("{peer} can't be reached")]
    Unreachable {
        /// Address or name of the other side.
        peer: String,
        /// What the operating system or the library said.
        source: std::io::Error,
    },
    /// The other side sent a frame that can't be read.
    #[error("a frame from a peer can't be read")]
    Frame(#[from] postcard::Error),
    /// The other side sent a PostgreSQL message that can't be read.
    #[error("a PostgreSQL message can't be read: {0}")]
    Postgres(String),
    /// The upstream refused the connection.
    #[error("the upstream {address} refused the connection: {message}")]
    Refused {
        /// Address of the upstream.
        address: SocketAddr,
        /// What it said.
        message: String,
    },
    /// The other side closed the connection in the middle of an exchange.
    #[error("the connection ended in the middle of an exchange")]
    Ended,
    /// Bytes hold no signed text, or one that is too long.
    #[error("the bytes are no signed text")]
    Signed,
    /// A peer's certificate doesn't name it.
    #[error("the certificate of the peer at {0} names no node")]
    Unnamed(SocketAddr),
    /// Certificates or keys can't be used.
    #[error("the certificates can't be used")]
    Tls(#[from] rustls::Error),
    /// A certificate or key file can't be read.
    #[error("{path} can't be read")]
    Certificate {
        /// Path of the file.
        path: String,
        /// What is wrong with it.
        source: rustls::pki_types::pem::Error,
    },
    /// The operating system refused.
    #[error("input or output failed")]
    Io(#[from] std::io::Error),
}

impl From<pgwire::error::PgWireError> for Error {
    fn from(error: pgwire::error::PgWireError) -> Self {
        Self::Postgres(error.to_string())
    }
}

impl Error {
    /// Tells whether the other side was never reached, so that nothing can have
    /// been sent to it.
    #[must_use]
    pub fn is_unreachable(&self) -> bool {
        matches!(self, Self::Refused { .. } | Self::Unreachable { .. })
    }
}
