//! A connection with a caller, in plain text or encrypted with TLS.

use crate::Error;
use crate::tls::load_certificates;
use rustls::ServerConfig;
use rustls::crypto::ring;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::pem::PemObject;
use std::fmt::{self, Debug, Formatter};
use std::io;
use std::path::Path;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::server::TlsStream;

/// Performs the server's side of the TLS handshake with callers.
#[derive(Clone)]
pub struct Acceptor {
    acceptor: TlsAcceptor,
}

impl Acceptor {
    /// Reads the certificate chain and the key from PEM files.
    ///
    /// # Errors
    ///
    /// [`Error`] if a file cannot be read or parsed, or the key does not match.
    pub fn load(certificate: &Path, key: &Path) -> Result<Self, Error> {
        let chain = load_certificates(certificate)?;
        let key = PrivateKeyDer::from_pem_file(key).map_err(|source| Error::Certificate {
            path: key.display().to_string(),
            source,
        })?;
        let config = ServerConfig::builder_with_provider(Arc::new(ring::default_provider()))
            .with_safe_default_protocol_versions()?
            .with_no_client_auth()
            .with_single_cert(chain, key)?;
        Ok(Self {
            acceptor: TlsAcceptor::from(Arc::new(config)),
        })
    }
}

// Omits the key so that it does not appear in logs.
impl Debug for Acceptor {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Acceptor").finish_non_exhaustive()
    }
}

/// A connection with a caller, in plain text or encrypted with TLS.
#[derive(Debug)]
pub enum Stream {
    /// Plain text.
    Plain(TcpStream),
    /// Encrypted with TLS.
    Tls(Box<TlsStream<TcpStream>>),
    /// The TLS handshake failed or is in progress.
    Closed,
}

impl Stream {
    /// Performs the TLS handshake and continues with encryption.
    ///
    /// # Errors
    ///
    /// An error if the handshake fails, after which the connection is closed.
    pub async fn start_tls(&mut self, acceptor: &Acceptor) -> io::Result<()> {
        if let Self::Plain(stream) = std::mem::replace(self, Self::Closed) {
            let stream = acceptor.acceptor.accept(stream).await?;
            *self = Self::Tls(Box::new(stream));
        }
        Ok(())
    }

    /// Returns whether the connection is encrypted.
    #[must_use]
    pub fn is_encrypted(&self) -> bool {
        matches!(self, Self::Tls(_))
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_read(context, buffer),
            Self::Tls(stream) => Pin::new(stream).poll_read(context, buffer),
            Self::Closed => Poll::Ready(Ok(())),
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_write(context, bytes),
            Self::Tls(stream) => Pin::new(stream).poll_write(context, bytes),
            Self::Closed => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_flush(context),
            Self::Tls(stream) => Pin::new(stream).poll_flush(context),
            Self::Closed => Poll::Ready(Ok(())),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_shutdown(context),
            Self::Tls(stream) => Pin::new(stream).poll_shutdown(context),
            Self::Closed => Poll::Ready(Ok(())),
        }
    }
}
