//! A caller's connection, in whole messages.

use crate::message::Message;
use crate::protocol::Protocol;
use bytes::BytesMut;
use std::io;
use std::marker::PhantomData;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// First size of a connection's buffers, in bytes; most messages fit.
const INITIAL_CAPACITY: usize = 1_024;

/// A caller's connection, in whole messages.
#[derive(Debug)]
pub struct Connection<D> {
    stream: TcpStream,
    input: BytesMut,
    /// What is to be sent.
    pub output: BytesMut,
    protocol: PhantomData<fn() -> D>,
}

impl<D: Protocol> Connection<D> {
    /// Takes a connection over.
    ///
    /// # Errors
    ///
    /// [`io::Error`] if it is broken already.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            input: BytesMut::with_capacity(INITIAL_CAPACITY),
            output: BytesMut::with_capacity(INITIAL_CAPACITY),
            protocol: PhantomData,
        })
    }

    /// Reads the next message; none if the caller left, or can't be understood.
    ///
    /// The read may be given up at any time; nothing is lost by it.
    ///
    /// # Errors
    ///
    /// [`io::Error`] if the connection breaks.
    pub async fn message(&mut self) -> io::Result<Option<Message>> {
        loop {
            match D::decode_message(&mut self.input) {
                Ok(Some(message)) => return Ok(Some(message)),
                Ok(None) => {}
                Err(error) => {
                    tracing::info!(event = "caller_garbled", %error, "a caller's bytes can't be read");
                    return Ok(None);
                }
            }
            if self.stream.read_buf(&mut self.input).await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Sends what is to be sent.
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
