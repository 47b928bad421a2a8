//! Messages exchanged with callers and upstream servers, independent of the wire
//! protocol.

use crate::field::{Text, Word};
use agateport_domain::prelude::*;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A message from a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// Opens a session on a database.
    Open {
        /// Name of the database.
        database: String,
        /// What the caller presents to identify itself.
        credential: Credential,
    },
    /// Requests that a statement is run.
    Query(Request),
    /// Ends the session.
    Close,
}

/// What a caller presents to identify itself: a label, or the key of its workspace.
///
/// It is only readable through [`Credential::text`], so that no log line shows a key.
#[derive(Clone, Eq, PartialEq)]
pub struct Credential(String);

impl Credential {
    /// Wraps the text that a caller sent.
    #[must_use]
    pub fn new(text: String) -> Self {
        Self(text)
    }

    /// Returns the text, which may be a key.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Credential {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Credential")
    }
}

/// A statement from a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Id that the caller gave to the statement; it is forwarded unchanged.
    pub id: Word,
    /// The statement as the caller wrote it.
    pub text: Text,
    /// Kind of the statement.
    pub verb: Verb,
}

/// Whether a statement reads or writes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Access {
    /// Reads an item.
    Read,
    /// Writes an item.
    Write,
}

/// Values of a session, by name.
pub type Values = BTreeMap<Word, Text>;

/// What a caller prepared under a name.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Prepared {
    /// Whether the statement reads or writes.
    pub access: Access,
    /// Shape of the statement, which is opaque to the node.
    pub shape: Text,
}

/// Kind of a statement, with its parsed arguments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verb {
    /// Begins a transaction.
    Begin {
        /// Whether it only reads.
        is_read_only: bool,
    },
    /// Commits a transaction.
    Commit,
    /// Rolls a transaction back.
    Rollback,
    /// Reads an item.
    Read,
    /// Writes an item.
    Write,
    /// Sets a value of the session.
    Set {
        /// Name of the value.
        name: Word,
        /// New value.
        value: Text,
    },
    /// Prepares a statement.
    Prepare {
        /// The caller's name for the statement.
        name: Word,
        /// The statement.
        prepared: Prepared,
    },
    /// Executes a prepared statement.
    Execute {
        /// The caller's name for the statement.
        name: Word,
        /// Item and data.
        arguments: Text,
    },
    /// Deallocates a prepared statement.
    Deallocate {
        /// The caller's name for the statement.
        name: Word,
    },
    /// A statement that is not run, and why.
    Malformed(&'static str),
}

/// Transaction state of a session or of a connection to a server.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum State {
    /// Outside of any transaction.
    #[default]
    Idle,
    /// Within a transaction.
    Open,
    /// Within a failed transaction.
    Failed,
}

/// Error code of a statement.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Code {
    /// The transaction was rolled back.
    Aborted,
    /// Nothing was run: capacity was lacking, or no suitable server could be used.
    Busy,
    /// The statement ran and failed.
    Failed,
    /// The server's log has not reached the read's floor; nothing was run.
    Lagging,
    /// The statement is invalid, or not allowed in this state.
    Malformed,
    /// The server is not the requested one; nothing was run.
    Misdirected,
    /// No route exists for the database.
    NoDatabase,
    /// The prepared statement is unknown; nothing was run.
    NoStatement,
    /// The server is not the primary and rejects writes; nothing was written.
    ReadOnly,
    /// The statement timed out; it may have run.
    Timeout,
    /// The server has reached its connection limit; nothing was run.
    TooMany,
    /// It is unknown whether the statement ran.
    Unknown,
    /// Any other code, which is forwarded to the caller.
    Other(Word),
    /// The key of the caller identifies no workspace; nothing was run. It comes last, because
    /// nodes of the former version know the others by their number.
    NotAuthorized,
}

impl Code {
    /// Returns the name of the code for logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Aborted => "aborted",
            Self::Busy => "busy",
            Self::Failed => "failed",
            Self::Lagging => "lagging",
            Self::Malformed => "malformed",
            Self::Misdirected => "misdirected",
            Self::NoDatabase => "no_database",
            Self::NotAuthorized => "not_authorized",
            Self::NoStatement => "no_statement",
            Self::ReadOnly => "read_only",
            Self::Timeout => "timeout",
            Self::TooMany => "too_many",
            Self::Unknown => "unknown",
            Self::Other(_) => "other",
        }
    }
}

/// Outcome of a statement.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The statement succeeded, with the server's receipt; none if no server was
    /// involved or the server sent none.
    Done(Option<Bytes>),
    /// The statement failed, or its outcome is unknown.
    Error {
        /// Error code.
        code: Code,
        /// Message for humans.
        text: Bytes,
    },
}

impl Outcome {
    /// Creates an error with a message for humans.
    #[must_use]
    pub fn error(code: Code, text: impl Into<String>) -> Self {
        let text = Bytes::from(text.into());
        Self::Error { code, text }
    }
}

/// The complete answer to a statement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Rows as the server sent them.
    pub rows: Vec<Bytes>,
    /// Outcome of the statement.
    pub outcome: Outcome,
    /// Transaction state after the statement.
    pub state: State,
    /// Watermark of the server's log, if the server reported one.
    pub watermark: Option<Watermark>,
    /// Failed attempts at servers, for the log.
    pub tries: Vec<Tried>,
}

/// A failed attempt to run a statement at a server, with the state known at that time.
///
/// The fields are logged under their names.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Tried {
    /// Name of the server.
    pub server: ServerId,
    /// Reason of the failure.
    pub reason: &'static str,
    /// Number of requests that used the server or waited for it, as known to this node.
    pub load: usize,
    /// Last reported watermark of the server's log.
    pub place: Option<Watermark>,
    /// Remaining duration of the lease of the group's primary; zero if it had expired.
    pub proof_left: Duration,
    /// Time since the statement was received.
    pub waited: Duration,
}

impl Answer {
    /// Creates an answer that no server was involved in.
    #[must_use]
    pub fn local(outcome: Outcome, state: State) -> Self {
        Self {
            rows: Vec::new(),
            outcome,
            state,
            watermark: None,
            tries: Vec::new(),
        }
    }

    /// Returns the error code; none for a successful statement.
    #[must_use]
    pub fn code(&self) -> Option<&Code> {
        match &self.outcome {
            Outcome::Done(_) => None,
            Outcome::Error { code, .. } => Some(code),
        }
    }
}

/// A message that is part of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Part {
    /// A row.
    Row(Bytes),
    /// Outcome of the statement.
    Outcome(Outcome),
    /// End of the answer.
    Ready {
        /// Transaction state after the statement.
        state: State,
        /// Watermark of the server's log, if the server reported one.
        watermark: Option<Watermark>,
    },
}

/// A command to a server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// Opens the connection.
    Open {
        /// Group that the server must belong to.
        group: Word,
        /// Workspace that the connection is for; none for a deployment without workspaces.
        workspace: Option<Word>,
        /// Id that the server must have.
        server: Word,
    },
    /// Begins a transaction.
    Begin {
        /// Whether it only reads.
        is_read_only: bool,
        /// Watermark that the server's log must have reached.
        floor: Option<Watermark>,
    },
    /// Rolls a transaction back.
    Rollback,
    /// Forwards a caller's statement unchanged.
    Pass {
        /// Id that the caller gave to the statement.
        id: Word,
        /// Watermark that the server's log must have reached.
        floor: Option<Watermark>,
        /// The statement.
        text: Text,
    },
    /// Executes a prepared statement.
    Execute {
        /// Id that the caller gave to the statement.
        id: Word,
        /// Watermark that the server's log must have reached.
        floor: Option<Watermark>,
        /// Name of the prepared statement on the connection, which the connection sets.
        name: Word,
        /// Item and data.
        arguments: Text,
    },
    /// Sets a value of the connection.
    Set {
        /// Name of the value.
        name: Word,
        /// New value.
        value: Text,
    },
    /// Prepares a statement.
    Prepare {
        /// Name of the prepared statement on the connection.
        name: Word,
        /// The statement.
        prepared: Prepared,
    },
    /// Clears all values and prepared statements of the connection.
    Reset,
    /// Requests the server's status.
    Status,
    /// Demotes the server to a replica if it is a primary of a lower term than this.
    Demote(Term),
}

impl Command {
    /// Returns the id of the caller's statement that the command forwards, if it does.
    #[must_use]
    pub fn id(&self) -> Option<&Word> {
        match self {
            Self::Pass { id, .. } | Self::Execute { id, .. } => Some(id),
            _ => None,
        }
    }
}

/// Status that a server reports.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Whether the server is the primary of its group.
    pub is_primary: bool,
    /// Election term that the server has reached.
    pub term: Term,
    /// Watermark of the last entry in its log.
    pub last: Watermark,
}
