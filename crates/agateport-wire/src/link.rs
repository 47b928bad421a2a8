//! Bidirectional exchange of frames, within this process or with a peer.

use crate::Error;
use crate::frame::{Codec, Frame};
use futures::{SinkExt, StreamExt};
use quinn::{RecvStream, SendStream};
use std::future::Future;
use tokio::io::Join;
use tokio::sync::mpsc;
use tokio_util::codec::Framed;

/// Number of frames that each direction of a local link buffers.
const LOCAL_CAPACITY: usize = 16;

/// Sends frames to a peer and receives frames from it.
pub trait Exchange: Send {
    /// Sends one frame.
    ///
    /// # Errors
    ///
    /// [`Error`] if the link is closed.
    fn send(&mut self, frame: Frame) -> impl Future<Output = Result<(), Error>> + Send;

    /// Receives one frame.
    ///
    /// # Errors
    ///
    /// [`Error`] if the link is closed or the frame is malformed.
    fn receive(&mut self) -> impl Future<Output = Result<Frame, Error>> + Send;
}

/// An exchange over one QUIC stream.
#[derive(Debug)]
pub struct Remote {
    framed: Framed<Join<RecvStream, SendStream>, Codec>,
}

impl Remote {
    /// Creates an exchange from both halves of a stream.
    #[must_use]
    pub fn new(send: SendStream, receive: RecvStream) -> Self {
        let framed = Framed::new(tokio::io::join(receive, send), Codec::default());
        Self { framed }
    }
}

impl Exchange for Remote {
    async fn send(&mut self, frame: Frame) -> Result<(), Error> {
        self.framed.send(frame).await
    }

    async fn receive(&mut self) -> Result<Frame, Error> {
        self.framed.next().await.unwrap_or(Err(Error::Ended))
    }
}

/// An exchange within this process.
#[derive(Debug)]
pub struct Local {
    sender: mpsc::Sender<Frame>,
    receiver: mpsc::Receiver<Frame>,
}

impl Local {
    /// Creates both ends of an exchange.
    #[must_use]
    pub fn pair() -> (Self, Self) {
        let (request_sender, request_receiver) = mpsc::channel(LOCAL_CAPACITY);
        let (answer_sender, answer_receiver) = mpsc::channel(LOCAL_CAPACITY);
        let near = Self {
            sender: request_sender,
            receiver: answer_receiver,
        };
        let far = Self {
            sender: answer_sender,
            receiver: request_receiver,
        };
        (near, far)
    }
}

impl Exchange for Local {
    async fn send(&mut self, frame: Frame) -> Result<(), Error> {
        self.sender.send(frame).await.map_err(|_| Error::Ended)
    }

    async fn receive(&mut self) -> Result<Frame, Error> {
        self.receiver.recv().await.ok_or(Error::Ended)
    }
}

/// An exchange of either kind.
#[derive(Debug)]
pub enum Link {
    /// An exchange within this process.
    Local(Local),
    /// An exchange with a peer.
    Remote(Box<Remote>),
}

impl Exchange for Link {
    async fn send(&mut self, frame: Frame) -> Result<(), Error> {
        match self {
            Self::Local(local) => local.send(frame).await,
            Self::Remote(remote) => remote.send(frame).await,
        }
    }

    async fn receive(&mut self) -> Result<Frame, Error> {
        match self {
            Self::Local(local) => local.receive().await,
            Self::Remote(remote) => remote.receive().await,
        }
    }
}
