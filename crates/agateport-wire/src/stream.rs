//! A caller's connection, in clear text or by TLS.

use crate::Error;
use crate::tls::certificates;
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

/// The node's side of callers' TLS connections.
#[derive(Clone)]
pub struct Acceptor {
    acceptor: TlsAcceptor,
}

impl Acceptor {
    /// Reads certificate and key from PEM files.
    ///
    /// # Errors
    ///
    /// [`Error`] if a file can't be read or isn't of the right kind.
    pub fn load(certificate: &Path, key: &Path) -> Result<Self, Error> {
        let chain = certificates(certificate)?;
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

// The key must not get into logs.
impl Debug for Acceptor {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Acceptor").finish_non_exhaustive()
    }
}

/// A caller's connection, in clear text or by TLS.
#[derive(Debug)]
pub enum Stream {
    /// In clear text.
    Plain(TcpStream),
    /// By TLS.
    Tls(Box<TlsStream<TcpStream>>),
    /// Its handshake failed or is under way.
    Closed,
}

impl Stream {
    /// Goes on by TLS.
    ///
    /// # Errors
    ///
    /// An error if the handshake fails; the connection is closed then.
    pub async fn start_tls(&mut self, acceptor: &Acceptor) -> io::Result<()> {
        if let Self::Plain(stream) = std::mem::replace(self, Self::Closed) {
            let stream = acceptor.acceptor.accept(stream).await?;
            *self = Self::Tls(Box::new(stream));
        }
        Ok(())
    }

    /// Tells whether others on the way can't read it.
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
