//! Codecs for both ends of a PostgreSQL connection.

use super::{Backend, Frontend};
use crate::Error;
use bytes::{Bytes, BytesMut};
use pgwire::messages::{DecodeContext, ProtocolVersion};
use tokio_util::codec::{Decoder, Encoder};

/// Startup phase of a connection with a caller.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Phase {
    /// An encryption request or the startup message is expected.
    #[default]
    Negotiation,
    /// The startup message is expected.
    Startup,
    /// The startup message was received; any other message is expected.
    Ready,
}

/// Codec of the server: decodes messages of a caller and encodes responses.
#[derive(Debug, Default)]
pub struct Server {
    phase: Phase,
}

impl Server {
    /// Sets the phase, which determines how messages are decoded.
    pub fn set_phase(&mut self, phase: Phase) {
        self.phase = phase;
    }
}

impl Decoder for Server {
    type Error = Error;
    type Item = Frontend;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Frontend>, Error> {
        let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
        context.awaiting_frontend_ssl = self.phase == Phase::Negotiation;
        context.awaiting_frontend_startup = self.phase != Phase::Ready;
        Ok(Frontend::decode(buffer, &context)?)
    }
}

impl Encoder<Backend> for Server {
    type Error = Error;

    fn encode(&mut self, message: Backend, buffer: &mut BytesMut) -> Result<(), Error> {
        Ok(message.encode(buffer)?)
    }
}

impl Encoder<Bytes> for Server {
    type Error = Error;

    fn encode(&mut self, encoded: Bytes, buffer: &mut BytesMut) -> Result<(), Error> {
        buffer.extend_from_slice(&encoded);
        Ok(())
    }
}

/// Codec of the client: encodes messages to an upstream and decodes its responses.
#[derive(Debug, Default)]
pub struct Client;

impl Decoder for Client {
    type Error = Error;
    type Item = Backend;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Backend>, Error> {
        let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
        context.awaiting_frontend_ssl = false;
        context.awaiting_frontend_startup = false;
        Ok(Backend::decode(buffer, &context)?)
    }
}

impl Encoder<Frontend> for Client {
    type Error = Error;

    fn encode(&mut self, message: Frontend, buffer: &mut BytesMut) -> Result<(), Error> {
        Ok(message.encode(buffer)?)
    }
}

impl Encoder<Bytes> for Client {
    type Error = Error;

    fn encode(&mut self, encoded: Bytes, buffer: &mut BytesMut) -> Result<(), Error> {
        buffer.extend_from_slice(&encoded);
        Ok(())
    }
}
