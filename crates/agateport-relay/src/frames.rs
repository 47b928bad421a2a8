//! Frames between nodes: each has its length in four bytes before it.

use crate::buffer::BLOCK;
use crate::intake::{Holding, Part};
use agateport_domain::intake::Reason;
use agateport_domain::prelude::*;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use futures::StreamExt;
use std::io;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Decoder, Encoder, Framed};

/// Maximum length of a frame in bytes. The largest ones are updates with a whole
/// configuration, and commands with all values of a session.
const MAX_LENGTH: usize = 8 << 20;

/// Size of the length before a frame in bytes.
const HEADER: usize = 4;

/// Time without a query after which a node's connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Splits a connection into frames. Memory is used as a frame arrives, not as its length
/// is announced, and counts as held by the client.
#[derive(Debug, Default)]
pub struct Frames {
    /// Length of the frame that is being received.
    length: Option<usize>,
    /// What has been received of a frame that is longer than a block.
    blocks: Vec<BytesMut>,
    received: usize,
    /// None for connections that this node opened.
    holding: Option<Arc<Holding>>,
}

impl Frames {
    /// Creates the codec of a connection that a client opened.
    #[must_use]
    pub fn new(holding: Arc<Holding>) -> Self {
        Self {
            holding: Some(holding),
            ..Self::default()
        }
    }

    /// Returns whether a frame has begun.
    #[must_use]
    pub fn is_receiving(&self) -> bool {
        self.length.is_some()
    }

    /// Moves what there is of a frame into blocks.
    fn store(&mut self, source: &mut BytesMut, length: usize) {
        let mut left = (length - self.received).min(source.len());
        self.received += left;
        while left > 0 {
            let free = match self.blocks.last() {
                Some(block) => block.capacity() - block.len(),
                None => 0,
            };
            if free == 0 {
                self.blocks.push(BytesMut::with_capacity(BLOCK));
            }
            let count = left.min(if free == 0 { BLOCK } else { free });
            if let Some(block) = self.blocks.last_mut() {
                block.extend_from_slice(&source[..count]);
            }
            source.advance(count);
            left -= count;
        }
    }

    fn join(&mut self, length: usize) -> BytesMut {
        let mut frame = BytesMut::with_capacity(length);
        for block in std::mem::take(&mut self.blocks) {
            frame.extend_from_slice(&block);
        }
        self.received = 0;
        frame
    }

    /// Counts what has been received and `joined`.
    fn hold(&self, joined: usize) -> io::Result<()> {
        let Some(holding) = &self.holding else {
            return Ok(());
        };
        // An earlier answer was sent before the next frame is received.
        let answer = holding.set(Part::Answer, 0);
        let input = holding.set(Part::Input, self.blocks.len() * BLOCK + joined);
        answer.and(input).map_err(io::Error::other)
    }
}

impl Decoder for Frames {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, source: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        let length = match self.length {
            Some(length) => length,
            None if source.len() < HEADER => return Ok(None),
            None => usize::try_from(source.get_u32()).unwrap_or(usize::MAX),
        };
        if length > MAX_LENGTH {
            let text = "a frame exceeds the limit of its length";
            return Err(io::Error::new(io::ErrorKind::InvalidData, text));
        }
        self.length = Some(length);
        let frame = if length > BLOCK {
            self.store(source, length);
            self.hold(0)?;
            if self.received < length {
                return Ok(None);
            }
            self.hold(length)?;
            self.join(length)
        } else {
            if source.len() < length {
                return Ok(None);
            }
            self.hold(0)?;
            source.split_to(length)
        };
        self.length = None;
        Ok(Some(frame))
    }
}

impl Encoder<Bytes> for Frames {
    type Error = io::Error;

    fn encode(&mut self, frame: Bytes, target: &mut BytesMut) -> io::Result<()> {
        let length = u32::try_from(frame.len()).unwrap_or(u32::MAX);
        if frame.len() > MAX_LENGTH {
            let text = "a frame exceeds the limit of its length";
            return Err(io::Error::new(io::ErrorKind::InvalidInput, text));
        }
        target.reserve(HEADER + frame.len());
        target.put_u32(length);
        target.extend_from_slice(&frame);
        Ok(())
    }
}

/// Receives the next frame of a node; none if there is none in time or the node closed the
/// connection. The node has the time for a first message if it has sent none.
pub async fn next_frame(
    connection: &mut Framed<TcpStream, Frames>,
    holding: &Holding,
    has_spoken: bool,
) -> Option<io::Result<BytesMut>> {
    let limit = if has_spoken {
        IDLE_TIMEOUT
    } else {
        holding.limits().first_message
    };
    if let Ok(frame) = timeout(limit, connection.next()).await {
        if !has_spoken && matches!(frame, Some(Ok(_))) {
            holding.speak();
        }
        return frame;
    }
    if connection.codec().is_receiving() || !connection.read_buffer().is_empty() {
        holding.close(Reason::Message);
    } else if !has_spoken {
        holding.close(Reason::FirstMessage);
    }
    None
}
