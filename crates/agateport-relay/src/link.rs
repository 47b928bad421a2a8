//! A connection to an upstream server.

pub mod content;
pub mod names;
pub mod rejection;

use crate::buffer::{BLOCK, Input};
use crate::clock::uptime;
use crate::connection::decodable;
use crate::context::Context;
use crate::field::{self, Word};
use crate::intake::{HOLDING, Holding, Part as HeldPart};
use crate::message::{
    Answer, Code, Command, Outcome, Part, Prepared, Request, State, Values, Verb,
};
use crate::protocol::{self, Protocol};
use agateport_domain::intake::Reason;
use agateport_domain::prelude::*;
use bytes::BytesMut;
use content::Content;
use rejection::{Alignment, Rejection};
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::marker::PhantomData;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout for opening a connection: a few round trips, the server's work for a new
/// connection, and its queueing delay.
const OPEN_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which sent data may stay unacknowledged before the system closes the
/// connection: many round trips, even between regions.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(600);

/// Interval between keepalive probes of an idle connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Initial capacity of a connection's buffer in bytes; most answers fit.
const INITIAL_CAPACITY: usize = 2_048;

/// Memory in bytes that counts for each row of an answer besides its text.
const ROW_BYTES: usize = 64;

/// Failure of a connection, which makes it unusable.
#[derive(Debug, Error)]
pub enum Error {
    /// The server is unreachable, or the connection broke.
    #[error("I/O error: {0}")]
    Disconnected(#[from] io::Error),
    /// The server closed the connection.
    #[error("the server closed the connection")]
    Closed,
    /// The connection was not opened in time.
    #[error("the server did not open a connection in time")]
    TimedOut,
    /// The server refused the connection.
    #[error("the server refused the connection: {}", .0.name())]
    Refused(Code),
    /// The name of the server or of its group is not a single field.
    #[error("unusable name: {0}")]
    Unnamed(#[from] field::Error),
    /// A connection cannot be reset within a transaction, which has too many prepared
    /// statements.
    #[error("too many statements were prepared within a transaction")]
    Full,
    /// The server's answer is malformed or unexpected.
    #[error("invalid answer from the server: {0}")]
    Malformed(#[from] protocol::Error),
}

/// State that a connection needs for a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Setup<'a> {
    /// Values of the session by name; none if the command does not depend on them.
    pub values: Option<&'a Values>,
    /// The prepared statement that the command runs, if any.
    pub prepared: Option<Prepared>,
}

impl<'a> Setup<'a> {
    /// Returns the setup of a command that does not depend on the connection's state.
    #[must_use]
    pub fn any() -> Self {
        Self {
            values: None,
            prepared: None,
        }
    }

    /// Returns the setup of a session's statement, or, without a request, of a command
    /// that the node itself sends for the session.
    #[must_use]
    pub fn new(context: &'a Context, request: Option<&Request>) -> Self {
        Self {
            values: Some(context.values()),
            prepared: request.and_then(|request| context.prepared(request).cloned()),
        }
    }
}

/// A connection to an upstream server.
#[derive(Debug)]
pub struct Link<W> {
    /// Number of the connection, unique on this node.
    pub id: LinkId,
    /// Workspace that the connection was opened for.
    workspace: Option<WorkspaceId>,
    stream: TcpStream,
    buffer: Input,
    /// What is set and prepared on the connection.
    content: Content,
    /// When the connection was last released.
    pub idle_since: Uptime,
    protocol: PhantomData<fn() -> W>,
}

impl<W: Protocol> Link<W> {
    /// Opens a connection to a server; also returns the watermark of the server's log,
    /// if it reported one.
    ///
    /// # Errors
    ///
    /// [`enum@Error`] if the server is unreachable, is not the expected one, or has
    /// reached its connection limit.
    pub async fn open(
        id: LinkId,
        address: SocketAddr,
        group: &GroupId,
        server: &ServerId,
        workspace: Option<&WorkspaceId>,
    ) -> Result<(Self, Option<Watermark>), Error> {
        let opening = Self::connect(id, address, group, server, workspace);
        timeout(OPEN_TIMEOUT, opening)
            .await
            .map_err(|_| Error::TimedOut)?
    }

    async fn connect(
        id: LinkId,
        address: SocketAddr,
        group: &GroupId,
        server: &ServerId,
        workspace: Option<&WorkspaceId>,
    ) -> Result<(Self, Option<Watermark>), Error> {
        let name = workspace.map(|workspace| Word::try_from(&**workspace));
        let open = Command::Open {
            group: Word::try_from(&**group)?,
            workspace: name.transpose()?,
            server: Word::try_from(&**server)?,
        };
        let stream = TcpStream::connect(address).await?;
        configure_socket(&stream)?;
        let mut link = Self {
            id,
            workspace: workspace.cloned(),
            stream,
            buffer: Input::new(INITIAL_CAPACITY),
            content: Content::default(),
            idle_since: Uptime::ZERO,
            protocol: PhantomData,
        };
        let greeting = match link.send(&[open]).await {
            Ok(()) => link.part().await,
            Err(error) => Err(error),
        };
        match greeting {
            Ok(Part::Ready { watermark, .. }) => Ok((link, watermark)),
            Ok(Part::Outcome(Outcome::Error { code, .. })) => Err(Error::Refused(code)),
            Ok(_) => Err(protocol::Error::Malformed(
                "unexpected reply to the opening of a connection",
            )
            .into()),
            // A server at its connection limit accepts a connection and closes it.
            Err(Error::Disconnected(_) | Error::Closed) => Err(Error::Refused(Code::TooMany)),
            Err(error) => Err(error),
        }
    }

    /// Brings the connection into the state that a command needs. If the server rejects a
    /// part of that, the connection has another state, but stays usable.
    ///
    /// # Errors
    ///
    /// [`enum@Error`] if the connection is unusable; no statement was run.
    pub async fn align(&mut self, setup: &Setup<'_>) -> Result<Alignment, Error> {
        let commands = self.alignment(setup);
        if commands.is_empty() {
            return Ok(Alignment::default());
        }
        if commands.contains(&Command::Reset) && !self.state().is_idle() {
            return Err(Error::Full);
        }
        let answers = self.exchange(&commands).await?;
        let alignment = Alignment::new(commands, answers);
        if alignment
            .rejection
            .as_ref()
            .is_some_and(Rejection::is_of_reset)
        {
            return Err(protocol::Error::Malformed("error in reply to a reset").into());
        }
        Ok(alignment)
    }

    /// Returns the commands that bring the connection into the state of `setup`.
    #[must_use]
    pub fn alignment(&self, setup: &Setup<'_>) -> Vec<Command> {
        self.content.alignment(setup)
    }

    /// Sets the name under which a command executes the prepared statement of `setup`,
    /// which [`Link::align`] has prepared.
    #[must_use]
    pub fn bind(&self, setup: &Setup<'_>, command: Command) -> Command {
        self.content.bind(setup, command)
    }

    /// Returns the number of commands needed to set a session's values. The idle
    /// connection with the smallest number is preferred.
    #[must_use]
    pub fn distance(&self, values: &Values) -> usize {
        let setup = Setup {
            values: Some(values),
            prepared: None,
        };
        self.alignment(&setup).len()
    }

    /// Sends commands and returns the answer to each.
    ///
    /// # Errors
    ///
    /// [`enum@Error`] if the connection breaks; the commands may have been run.
    pub async fn exchange(&mut self, commands: &[Command]) -> Result<Vec<Answer>, Error> {
        self.send(commands).await?;
        let mut answers = Vec::with_capacity(commands.len());
        for command in commands {
            let answer = self.answer().await?;
            let is_done = matches!(answer.outcome, Outcome::Done(_));
            self.content.record(command, is_done, answer.state);
            answers.push(answer);
        }
        Ok(answers)
    }

    /// Returns whether an idle connection is still open and has no unexpected input.
    #[must_use]
    pub fn is_open(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Returns the workspace that the connection was opened for.
    #[must_use]
    pub fn workspace(&self) -> Option<&WorkspaceId> {
        self.workspace.as_ref()
    }

    /// Returns the transaction state after the last answer.
    #[must_use]
    pub fn state(&self) -> State {
        self.content.state()
    }

    /// Marks the connection as unused from now on.
    pub fn rest(&mut self) {
        self.idle_since = uptime();
        self.content.shed();
    }

    /// Marks all prepared statements as missing, after the server rejected one as
    /// unknown.
    pub fn forget_prepared(&mut self) {
        self.content.forget_prepared();
    }

    async fn send(&mut self, commands: &[Command]) -> Result<(), Error> {
        let mut bytes = BytesMut::with_capacity(INITIAL_CAPACITY);
        for command in commands {
            W::encode_command(command, &mut bytes);
        }
        self.stream.write_all(&bytes).await?;
        Ok(())
    }

    async fn answer(&mut self) -> Result<Answer, Error> {
        let holding = HOLDING.try_with(Arc::clone).ok();
        let mut rows = Vec::new();
        let mut size = 0;
        let mut outcome = None;
        loop {
            match self.held_part(holding.as_deref(), size).await? {
                Part::Row(row) => {
                    size += row.len() + ROW_BYTES;
                    rows.push(row);
                }
                Part::Outcome(received) => outcome = Some(received),
                Part::Ready { state, watermark } => {
                    let outcome =
                        outcome.ok_or(protocol::Error::Malformed("answer without an outcome"))?;
                    self.buffer.release();
                    return Ok(Answer {
                        rows,
                        outcome,
                        state,
                        watermark,
                        tries: Vec::new(),
                    });
                }
            }
        }
    }

    async fn part(&mut self) -> Result<Part, Error> {
        self.held_part(None, 0).await
    }

    /// Receives a part of an answer of which `size` bytes have been received. All of them
    /// count as held by the client that the statement is run for.
    async fn held_part(&mut self, holding: Option<&Holding>, size: usize) -> Result<Part, Error> {
        loop {
            let buffer = &mut self.buffer;
            if decodable::<W>(buffer)
                && let Some(part) = W::decode_part(&mut buffer.bytes, &mut buffer.searched)?
            {
                return Ok(part);
            }
            if buffer.allocated() > BLOCK {
                buffer.release();
            }
            buffer.make_room();
            if let Some(holding) = holding {
                hold(holding, size + buffer.allocated()).await;
            }
            if self.stream.read_buf(&mut buffer.bytes).await? == 0 {
                return Err(Error::Closed);
            }
        }
    }
}

/// Counts an answer of `size` bytes as held by a client. If the client is closed for it,
/// this never returns, and the task that serves the client is dropped: a failure would be
/// recorded as one of the server, and the statement would be run elsewhere.
async fn hold(holding: &Holding, size: usize) {
    if holding.limits().answer().is_some_and(|limit| size > limit) {
        holding.close(Reason::Answer);
        return std::future::pending().await;
    }
    if holding.set(HeldPart::Answer, size).is_err() {
        std::future::pending::<()>().await;
    }
}

/// Disables Nagle's algorithm, and makes the connection fail when its peer becomes
/// unreachable.
pub(crate) fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)
}

/// Returns the command that runs a caller's statement; none if it executes a prepared
/// statement that its session does not have.
#[must_use]
pub fn command(request: &Request, context: &Context, floor: Option<Watermark>) -> Option<Command> {
    let Verb::Execute { arguments, .. } = &request.verb else {
        return Some(Command::Pass {
            id: request.id.clone(),
            floor,
            text: request.text.clone(),
        });
    };
    context.prepared(request)?;
    Some(Command::Execute {
        id: request.id.clone(),
        floor,
        name: Word::absent(),
        arguments: arguments.clone(),
    })
}

impl State {
    /// Returns whether a connection in this state can be used by another session.
    #[must_use]
    pub fn is_idle(self) -> bool {
        self == Self::Idle
    }
}
