//! Errors of the communication with other processes.

use std::net::SocketAddr;
use thiserror::Error;

/// An error of the communication with another process.
#[derive(Debug, Error)]
pub enum Error {
    /// The connection was lost.
    #[error("lost the connection to {peer}")]
    Disconnected {
        /// Address or name of the peer.
        peer: String,
        /// Error of the operating system or the library.
        source: std::io::Error,
    },
    /// No connection or stream to the peer could be opened.
    #[error("cannot reach {peer}")]
    Unreachable {
        /// Address or name of the peer.
        peer: String,
        /// Error of the operating system or the library.
        source: std::io::Error,
    },
    /// A frame cannot be encoded or decoded.
    #[error("malformed frame")]
    Frame(#[from] postcard::Error),
    /// A PostgreSQL message or its content is malformed or unexpected.
    #[error("PostgreSQL protocol error: {0}")]
    Postgres(String),
    /// The upstream refused the connection or a statement.
    #[error("upstream {address} returned an error: {message}")]
    Refused {
        /// Address of the upstream.
        address: SocketAddr,
        /// Message of its error response.
        message: String,
    },
    /// An exchange ended early: the connection was closed, a time limit elapsed, or
    /// an answer was missing or of an unexpected kind.
    #[error("unexpected end of an exchange")]
    Ended,
    /// A signed text is malformed or exceeds the maximum length.
    #[error("the bytes are no signed text")]
    Signed,
    /// The certificate of a peer contains no node name.
    #[error("the certificate of the peer at {0} contains no node name")]
    Unnamed(SocketAddr),
    /// The TLS library rejects the certificates or keys.
    #[error("invalid certificate or key")]
    Tls(#[from] rustls::Error),
    /// A certificate or key file cannot be read or parsed.
    #[error("cannot read a certificate or key from {path}")]
    Certificate {
        /// Path of the file.
        path: String,
        /// Error of the PEM parser.
        source: rustls::pki_types::pem::Error,
    },
    /// Another operation on a socket failed.
    #[error("I/O error")]
    Io(#[from] std::io::Error),
}

impl From<pgwire::error::PgWireError> for Error {
    fn from(error: pgwire::error::PgWireError) -> Self {
        Self::Postgres(error.to_string())
    }
}

impl Error {
    /// Returns whether the peer is unreachable or refused the connection or a
    /// statement, so that it has not run a request.
    #[must_use]
    pub fn is_unreachable(&self) -> bool {
        matches!(self, Self::Refused { .. } | Self::Unreachable { .. })
    }
}
