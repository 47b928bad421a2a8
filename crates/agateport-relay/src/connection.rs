//! A caller's connection, as a stream of decoded messages.

use crate::buffer::{BLOCK, Input};
use crate::intake::{Holding, Part};
use crate::message::{Answer, Message};
use crate::protocol::{self, Protocol};
use agateport_domain::intake::Reason;
use agateport_domain::prelude::*;
use bytes::BytesMut;
use socket2::SockRef;
use std::io::{self, Read};
use std::marker::PhantomData;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant as Deadline, timeout, timeout_at};

/// Initial capacity of a connection's buffers in bytes; most messages fit.
const INITIAL_CAPACITY: usize = 1_024;

/// Maximum time for which a connection that the node closes stays half open, until the
/// caller has read the last answer.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(250);

/// Number of bytes of an answer that a caller must read within the timeout for an unread
/// answer.
const WRITE_CHUNK: usize = 64 << 10;

/// A caller's TCP connection and its buffers.
#[derive(Debug)]
pub struct Connection<W> {
    stream: TcpStream,
    input: Input,
    /// Encoded messages that have not been sent yet.
    pub output: BytesMut,
    /// When the message that is awaited must be complete; none if it has not begun.
    deadline: Option<Deadline>,
    /// Whether a message has been received.
    has_spoken: bool,
    /// What the caller makes this node hold.
    holding: Arc<Holding>,
    protocol: PhantomData<fn() -> W>,
}

impl<W: Protocol> Connection<W> {
    /// Wraps an accepted TCP connection.
    ///
    /// # Errors
    ///
    /// [`io::Error`] if the connection is already broken.
    pub fn new(stream: TcpStream, holding: Arc<Holding>) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            input: Input::new(INITIAL_CAPACITY),
            output: BytesMut::with_capacity(INITIAL_CAPACITY),
            deadline: Some(Deadline::now() + holding.limits().first_message),
            has_spoken: false,
            holding,
            protocol: PhantomData,
        })
    }

    /// Returns the TCP connection.
    #[must_use]
    pub fn stream(&self) -> &TcpStream {
        &self.stream
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
            // Decoding first bounds what is received to one message.
            match self.decode() {
                Ok(None) => {}
                decoded => return Ok(decoded.unwrap_or_default()),
            }
            self.input.make_room();
            let bytes = &mut self.input.bytes;
            let free = chunk.len().min(bytes.capacity() - bytes.len());
            let read = (&*SockRef::from(&self.stream)).read(&mut chunk[..free]);
            match read {
                Ok(0) => return Ok(None),
                Ok(length) => bytes.extend_from_slice(&chunk[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                Err(error) => return Err(error),
            }
        }
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

    /// Reads the next message; none if the caller closed the connection, sent a malformed
    /// message, took too long, or uses too much memory.
    ///
    /// This method is cancel safe.
    ///
    /// # Errors
    ///
    /// [`io::Error`] if the connection breaks.
    pub async fn message(&mut self) -> io::Result<Option<Message>> {
        self.input.release();
        loop {
            match self.decode() {
                Ok(Some(message)) => return Ok(Some(message)),
                Ok(None) => {}
                Err(error) => {
                    tracing::info!(event = "caller_garbled", %error, "a caller sent a malformed message; closing its connection");
                    return Ok(None);
                }
            }
            self.input.make_room();
            let is_held = self.holding.set(Part::Input, self.input.allocated());
            if is_held.is_err() || self.receive().await? == 0 {
                return Ok(None);
            }
        }
    }

    fn decode(&mut self) -> Result<Option<Message>, protocol::Error> {
        let message = decode::<W>(&mut self.input)?;
        if message.is_some() {
            self.deadline = None;
            if !std::mem::replace(&mut self.has_spoken, true) {
                self.holding.speak();
            }
        }
        Ok(message)
    }

    /// Receives more of a message; returns the number of bytes, which is zero if there are
    /// none in time.
    async fn receive(&mut self) -> io::Result<usize> {
        if self.has_spoken && self.deadline.is_none() && self.is_receiving() {
            self.deadline = Some(Deadline::now() + self.holding.limits().message);
        }
        let is_first = !self.has_spoken && !self.is_receiving();
        let receiving = self.stream.read_buf(&mut self.input.bytes);
        let Some(deadline) = self.deadline else {
            return receiving.await;
        };
        if let Ok(received) = timeout_at(deadline, receiving).await {
            if is_first {
                self.deadline = Some(Deadline::now() + self.holding.limits().message);
            }
            return received;
        }
        self.holding.close(if is_first {
            Reason::FirstMessage
        } else {
            Reason::Message
        });
        Ok(0)
    }

    /// Sends an answer, a part of its rows at a time.
    ///
    /// # Errors
    ///
    /// [`io::Error`] if the connection breaks, or the caller does not read.
    pub async fn answer(&mut self, mut answer: Answer) -> io::Result<()> {
        for row in std::mem::take(&mut answer.rows) {
            W::encode_row(&row, &mut self.output);
            drop(row);
            if self.output.len() >= WRITE_CHUNK {
                self.send().await?;
            }
        }
        W::encode_answer(&answer, &mut self.output);
        self.flush().await
    }

    /// Sends the contents of `output`.
    ///
    /// # Errors
    ///
    /// [`io::Error`] if the connection breaks, or the caller does not read.
    pub async fn flush(&mut self) -> io::Result<()> {
        self.send().await?;
        if self.output.capacity() > BLOCK {
            self.output = BytesMut::with_capacity(INITIAL_CAPACITY);
        }
        let answer = self.holding.set(Part::Answer, 0);
        let output = self.holding.set(Part::Output, self.output.capacity());
        answer.and(output).map_err(io::Error::other)
    }

    async fn send(&mut self) -> io::Result<()> {
        let output = self.holding.set(Part::Output, self.output.capacity());
        output.map_err(io::Error::other)?;
        let written = self.write().await;
        self.output.clear();
        written
    }

    async fn write(&mut self) -> io::Result<()> {
        let limit = self.holding.limits().unread;
        for chunk in self.output.chunks(WRITE_CHUNK) {
            let Ok(written) = timeout(limit, self.stream.write_all(chunk)).await else {
                self.holding.close(Reason::Unread);
                return Err(io::ErrorKind::TimedOut.into());
            };
            written?;
        }
        Ok(())
    }
}

/// Removes the next message of a caller from its input; none if it is incomplete.
///
/// # Errors
///
/// [`protocol::Error`] if the message is malformed.
pub fn decode<W: Protocol>(input: &mut Input) -> Result<Option<Message>, protocol::Error> {
    if !decodable::<W>(input) {
        return Ok(None);
    }
    W::decode_message(&mut input.bytes, &mut input.searched)
}

/// Returns whether a buffer can be decoded: whether its message is in one piece, or is
/// joined because it may be complete.
pub(crate) fn decodable<W: Protocol>(input: &mut Input) -> bool {
    if !input.is_split() {
        return true;
    }
    let start = input.searched.min(input.bytes.len());
    let last = input.byte_before(start);
    if W::may_end(last, &input.bytes[start..], input.len()) {
        input.join();
        return true;
    }
    input.searched = input.bytes.len();
    false
}
