//! The messages between nodes.

use crate::Error;
use agateport_domain::bundle::Revision;
use agateport_domain::group::Status;
use agateport_domain::id::{GroupId, NodeId, ServerId};
use agateport_domain::membership::Gossip;
use agateport_domain::request::key::Outcome;
use agateport_domain::request::{Command, Completion, Refusal};
use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Maximum length of a frame, in bytes.
const MAX_FRAME_LENGTH: usize = 16 * 1024 * 1024;

/// A prepared statement that a batch uses.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Prepared {
    /// Name at the upstream, derived from the text of the statement, so that equal
    /// texts have equal names.
    pub name: String,
    /// Parse message, as the PostgreSQL protocol encodes it.
    pub parse: Bytes,
}

/// Messages of a caller up to the point where it waits for an answer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Batch {
    /// Statements that must be prepared before the messages are sent.
    pub statements: Vec<Prepared>,
    /// Messages, as the PostgreSQL protocol encodes them.
    pub messages: Bytes,
    /// Statements that apply the session's settings to the connection.
    pub settings: Vec<String>,
    /// Whether the messages may leave session state on the connection, which must
    /// then be reset.
    pub leaves_state: bool,
    /// Number of answers that the caller waits for after a Flush message; `None`
    /// if the batch ends with a Sync or a simple query.
    pub flush: Option<usize>,
}

/// A message between nodes.
///
/// The stream of a request or transaction carries `Open`, then batches and their
/// answers in turn until an answer reports that no transaction is open.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Frame {
    /// Requests a connection of the owner's server for a command.
    Open(Command),
    /// Runs a batch.
    Batch(Batch),
    /// A part of the answer, as the PostgreSQL protocol encodes it.
    Answer(Bytes),
    /// The end of the answer.
    Finished(Completion),
    /// The batch was not run.
    Refused(Refusal),
    /// The batch was sent to the upstream, but its answer was lost.
    Unknown,
    /// Requests the current status of a server from its owner.
    Locate(GroupId, ServerId),
    /// Status of the server, queried after the `Locate` frame was received.
    Located(Status),
    /// Cancels the running statement of the caller with this secret key.
    CancelCaller(i32),
    /// Outcome of an idempotency key.
    Settled(Outcome),
    /// Queries whether a server is unreachable from the receiver as well.
    Suspect(ServerId),
    /// Whether the suspected server is unreachable from the sender.
    Verdict(bool),
    /// Revision of the bundle in force at the sender, if any.
    Revision(Option<Revision>),
    /// A signed bundle, as `signed` encodes it.
    Bundle(Bytes),
    /// The sender accepts no new work from now on.
    Leaving,
    /// Checks that the receiver is alive.
    Probe(Gossip),
    /// Requests that the receiver probe another node.
    ProbeFor(NodeId, Gossip),
    /// The sender, or the node that it probed, is alive.
    Alive(Gossip),
    /// The first frame of the stream is not supported by this version.
    Unsupported,
}

/// Encodes a frame as its length followed by its postcard encoding.
#[derive(Debug)]
pub struct Codec {
    length: LengthDelimitedCodec,
}

impl Default for Codec {
    fn default() -> Self {
        let length = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_LENGTH)
            .new_codec();
        Self { length }
    }
}

impl Decoder for Codec {
    type Error = Error;
    type Item = Frame;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Frame>, Error> {
        let Some(bytes) = self.length.decode(buffer)? else {
            return Ok(None);
        };
        Ok(Some(postcard::from_bytes(&bytes)?))
    }
}

impl Encoder<Frame> for Codec {
    type Error = Error;

    fn encode(&mut self, frame: Frame, buffer: &mut BytesMut) -> Result<(), Error> {
        let bytes = Bytes::from(postcard::to_stdvec(&frame)?);
        self.length.encode(bytes, buffer)?;
        Ok(())
    }
}
