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

/// Longest frame, in bytes.
const MAXIMUM_FRAME: usize = 16 * 1024 * 1024;

/// A prepared statement that a batch uses.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Prepared {
    /// Name at the upstream, the same for the same text.
    pub name: String,
    /// Parse message, as the PostgreSQL protocol encodes it.
    pub parse: Bytes,
}

/// Messages of a caller up to where it waits for an answer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Batch {
    /// Statements that must be prepared before the messages are sent.
    pub statements: Vec<Prepared>,
    /// Messages, as the PostgreSQL protocol encodes them.
    pub messages: Bytes,
    /// Statements that bring the connection to the session's settings.
    pub settings: Vec<String>,
    /// Whether something may be left behind on the connection.
    pub leaves_state: bool,
    /// Number of answers that the caller waits for without an end of the
    /// batch; none if the batch ends.
    pub flush: Option<usize>,
}

/// A message between nodes.
///
/// A stream carries one request, or one transaction: `Open`, then a `Batch` and
/// its answer in turn until the answer says that no transaction is open.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Frame {
    /// Asks an owner for its server.
    Open(Command),
    /// Asks for a batch to be run.
    Batch(Batch),
    /// A part of the answer, as the PostgreSQL protocol encodes it.
    Answer(Bytes),
    /// The end of the answer.
    Finished(Completion),
    /// The batch certainly did not run.
    Refused(Refusal),
    /// The batch was sent, and the answer is lost.
    Unknown,
    /// Asks an owner what its server says of itself now.
    Locate(GroupId, ServerId),
    /// What the server says of itself, asked after the question came in.
    Located(Status),
    /// Asks a node to cancel what the caller with this secret runs.
    CancelCaller(i32),
    /// What became of a key.
    Settled(Outcome),
    /// Asks whether a server can't be reached from here either.
    Suspect(GroupId, ServerId),
    /// Whether the suspected server can't be reached.
    Verdict(bool),
    /// The revision of the bundle in force at the sender; none if it has none.
    Revision(Option<Revision>),
    /// A signed bundle, as `signed` encodes it.
    Bundle(Bytes),
    /// The sender takes no new work from now on.
    Leaving,
    /// Asks whether the peer is live.
    Probe(Gossip),
    /// Asks the peer to probe another node.
    ProbeFor(NodeId, Gossip),
    /// The peer, or the node that it probed, is live.
    Alive(Gossip),
    /// The first frame of a stream isn't one that this version serves.
    Unsupported,
}

/// Encodes frames: a length, then the frame in postcard.
#[derive(Debug)]
pub struct Codec {
    length: LengthDelimitedCodec,
}

impl Default for Codec {
    fn default() -> Self {
        let length = LengthDelimitedCodec::builder()
            .max_frame_length(MAXIMUM_FRAME)
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
