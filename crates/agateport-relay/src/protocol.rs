//! What a protocol must offer to be spoken with callers and servers.

use crate::message::{Answer, Command, Message, Outcome, Part, State, Status};
use agateport_domain::prelude::*;
use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// Bytes that aren't a message.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The message is longer than allowed.
    #[error("a message is longer than {limit} bytes")]
    TooLong {
        /// Longest message that is taken.
        limit: usize,
    },
    /// The message can't be read.
    #[error("the message can't be read: {0}")]
    Malformed(&'static str),
}

/// The encoding of the messages with callers and servers.
///
/// It holds no state: what a message means is decided elsewhere.
pub trait Protocol: Send + Sync + 'static {
    /// Takes the next message of a caller out of `buffer`, if it is whole.
    ///
    /// # Errors
    ///
    /// [`enum@Error`] if the bytes aren't a message.
    fn decode_message(buffer: &mut BytesMut) -> Result<Option<Message>, Error>;

    /// Appends the sign that a caller may ask.
    fn encode_ready(state: State, watermark: Option<Watermark>, buffer: &mut BytesMut);

    /// Appends how a statement, or the opening of a session, ended.
    fn encode_outcome(outcome: &Outcome, buffer: &mut BytesMut);

    /// Appends a whole answer to a caller.
    fn encode_answer(answer: &Answer, buffer: &mut BytesMut);

    /// Appends an order to a server.
    fn encode_command(command: &Command, buffer: &mut BytesMut);

    /// Takes the next part of a server's answer out of `buffer`, if it is whole.
    ///
    /// # Errors
    ///
    /// [`enum@Error`] if the bytes aren't an answer.
    fn decode_part(buffer: &mut BytesMut) -> Result<Option<Part>, Error>;

    /// Reads what a server says of itself.
    ///
    /// # Errors
    ///
    /// [`enum@Error`] if the row isn't a status.
    fn decode_status(row: &Bytes) -> Result<Status, Error>;
}
