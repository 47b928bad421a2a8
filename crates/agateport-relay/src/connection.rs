//! A caller's connection, as a stream of decoded messages.

use crate::message::Message;
use crate::protocol::Protocol;
use agateport_domain::prelude::*;
use bytes::BytesMut;
use socket2::SockRef;
use std::io::{self, Read};
use std::marker::PhantomData;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Initial capacity of a connection's buffers in bytes; most messages fit.
const INITIAL_CAPACITY: usize = 1_024;

/// Maximum time for which a connection that the node closes stays half open, until the
/// caller has read the last answer.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(250);

/// A caller's TCP connection and its buffers.
#[derive(Debug)]
pub struct Connection<W> {
    stream: TcpStream,
    input: BytesMut,
    /// Encoded messages that have not been sent yet.
    pub output: BytesMut,
    protocol: PhantomData<fn() -> W>,
}

impl<W: Protocol> Connection<W> {
    /// Wraps an accepted TCP connection.
    ///
    /// # Errors
    ///
    /// [`io::Error`] if the connection is already broken.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            input: BytesMut::with_capacity(INITIAL_CAPACITY),
            output: BytesMut::with_capacity(INITIAL_CAPACITY),
            protocol: PhantomData,
        })
    }

    /// Returns whether part of a message has been received.
    #[must_use]
    pub fn is_receiving(&self) -> bool {
        !self.input.is_empty()
    }

    /// Returns the next message if the system has received it completely.
    ///
    /// The runtime learns of received data with a delay. A session that is about to be
    /// closed must not miss a message meanwhile, so this method asks the system.
    ///
    /// # Errors
    ///
    /// [`io::Error`] if the connection breaks.
    pub fn received(&mut self) -> io::Result<Option<Message>> {
        let mut chunk = [0; INITIAL_CAPACITY];
        loop {
            let read = (&*SockRef::from(&self.stream)).read(&mut chunk);
            match read {
                Ok(0) => break,
                Ok(length) => self.input.extend_from_slice(&chunk[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) => return Err(error),
            }
        }
        Ok(W::decode_message(&mut self.input).unwrap_or_default())
    }

    /// Closes the connection once the caller has read what was sent.
    ///
    /// If data of the caller is unread when a connection is closed, the system resets it,
    /// and an answer on its way may be lost. Whatever the caller sends or closes after the
    /// last answer shows that it has read that.
    ///
    /// # Errors
    ///
    /// [`io::Error`] if the connection breaks.
    pub async fn close(&mut self) -> io::Result<()> {
        self.stream.shutdown().await?;
        let _ = timeout(CLOSE_TIMEOUT, self.stream.peek(&mut [0])).await;
        Ok(())
    }

    /// Reads the next message; none if the caller closed the connection or sent a
    /// malformed message.
    ///
    /// This method is cancel safe.
    ///
    /// # Errors
    ///
    /// [`io::Error`] if the connection breaks.
    pub async fn message(&mut self) -> io::Result<Option<Message>> {
        loop {
            match W::decode_message(&mut self.input) {
                Ok(Some(message)) => return Ok(Some(message)),
                Ok(None) => {}
                Err(error) => {
                    tracing::info!(event = "caller_garbled", %error, "a caller sent a malformed message; closing its connection");
                    return Ok(None);
                }
            }
            if self.stream.read_buf(&mut self.input).await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Sends the contents of `output`.
    ///
    /// # Errors
    ///
    /// [`io::Error`] if the connection breaks.
    pub async fn flush(&mut self) -> io::Result<()> {
        let written = self.stream.write_all(&self.output).await;
        self.output.clear();
        written
    }
}
