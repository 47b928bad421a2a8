//! The trait that a wire protocol implements.

use crate::message::{Answer, Command, Message, Outcome, Part, State, Status};
use agateport_domain::prelude::*;
use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// Failure to decode a message.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The message is too long.
    #[error("message exceeds the limit of {limit} bytes")]
    TooLong {
        /// Maximum length of a message in bytes.
        limit: usize,
    },
    /// The message is malformed; the text describes the defect.
    #[error("malformed message: {0}")]
    Malformed(&'static str),
}

/// Codec for the messages exchanged with callers and servers.
///
/// Implementations are stateless and only encode and decode; the handling of messages
/// is independent of the protocol.
pub trait Protocol: Send + Sync + 'static {
    /// Removes the next message of a caller from `buffer`; none if it is incomplete.
    ///
    /// `searched` is the number of bytes at the start of `buffer` in which no message ends.
    /// It is zero for a new buffer and only changed by this method, so that input is
    /// searched once however it is split.
    ///
    /// # Errors
    ///
    /// [`enum@Error`] if the message is malformed.
    fn decode_message(
        buffer: &mut BytesMut,
        searched: &mut usize,
    ) -> Result<Option<Message>, Error>;

    /// Returns whether a message may end within `bytes`, which follow the byte `last` of it,
    /// or whether it is too long with its `length`. Only then is it decoded, if it is longer
    /// than a block.
    fn may_end(last: Option<u8>, bytes: &[u8], length: usize) -> bool;

    /// Appends the message that reports a session to be ready for its next statement.
    fn encode_ready(state: State, watermark: Option<Watermark>, buffer: &mut BytesMut);

    /// Appends the outcome of a statement or of opening a session.
    fn encode_outcome(outcome: &Outcome, buffer: &mut BytesMut);

    /// Appends a row of an answer to a caller.
    fn encode_row(row: &Bytes, buffer: &mut BytesMut);

    /// Appends a complete answer to a caller.
    fn encode_answer(answer: &Answer, buffer: &mut BytesMut);

    /// Appends a command to a server.
    fn encode_command(command: &Command, buffer: &mut BytesMut);

    /// Removes the next part of a server's answer from `buffer`; none if it is
    /// incomplete. `searched` is as for [`Protocol::decode_message`].
    ///
    /// # Errors
    ///
    /// [`enum@Error`] if the part is malformed.
    fn decode_part(buffer: &mut BytesMut, searched: &mut usize) -> Result<Option<Part>, Error>;

    /// Decodes the row with which a server reports its status.
    ///
    /// # Errors
    ///
    /// [`enum@Error`] if the row is not a status.
    fn decode_status(row: &Bytes) -> Result<Status, Error>;
}
