//! What callers ask, and what upstream servers are asked and answer.

use agateport_domain::prelude::*;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A message of a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// Opens a session on a database.
    Open {
        /// Name of the database.
        database: String,
        /// Who calls.
        caller: String,
    },
    /// Asks for one statement.
    Query(Request),
    /// Ends the session.
    Close,
}

/// One statement of a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// The caller's name for this statement; it goes to the server unchanged.
    pub id: Bytes,
    /// The statement as the caller wrote it.
    pub text: Bytes,
    /// What it asks for.
    pub verb: Verb,
}

/// What a prepared statement does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Access {
    /// Reads an item.
    Read,
    /// Writes an item.
    Write,
}

/// What a statement asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verb {
    /// Begins a transaction.
    Begin {
        /// Whether it only reads.
        is_read_only: bool,
    },
    /// Ends a transaction and keeps its writes.
    Commit,
    /// Ends a transaction and drops its writes.
    Rollback,
    /// Reads an item.
    Read,
    /// Writes an item.
    Write,
    /// Sets a value of the session.
    Set {
        /// Name of the value.
        name: Bytes,
        /// The value.
        value: Bytes,
    },
    /// Names a statement.
    Prepare {
        /// The caller's name for it.
        name: Bytes,
        /// What it does.
        access: Access,
        /// Its shape.
        shape: Bytes,
    },
    /// Runs a named statement.
    Execute {
        /// The caller's name for it.
        name: Bytes,
        /// Item and data.
        arguments: Bytes,
    },
    /// Forgets a named statement.
    Deallocate {
        /// The caller's name for it.
        name: Bytes,
    },
    /// A statement that nobody understands.
    Unknown,
}

/// State of a session or of a server's connection.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum State {
    /// Outside of any transaction.
    #[default]
    Idle,
    /// Inside a transaction.
    Open,
    /// Inside a transaction that failed.
    Failed,
}

/// Why a statement failed.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Code {
    /// The transaction was ended, and nothing of it is kept.
    Aborted,
    /// Nothing was run, for want of room.
    Busy,
    /// The statement ran and failed.
    Failed,
    /// The server's log lacks what the read asks for; nothing was run.
    Lagging,
    /// The statement isn't allowed in this state, or can't be read.
    Malformed,
    /// The server is another one than was asked for; nothing was run.
    Misdirected,
    /// No route has that database.
    NoDatabase,
    /// The prepared statement isn't known; nothing was run.
    NoStatement,
    /// The server takes no writes; nothing is kept.
    ReadOnly,
    /// The statement took too long; it may have run.
    Timeout,
    /// The server has no connection left; nothing was run.
    TooMany,
    /// Whether the statement ran isn't known.
    Unknown,
    /// A code that only callers understand.
    Other(Bytes),
}

impl Code {
    /// Returns the code's name in logs and counters.
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
            Self::NoStatement => "no_statement",
            Self::ReadOnly => "read_only",
            Self::Timeout => "timeout",
            Self::TooMany => "too_many",
            Self::Unknown => "unknown",
            Self::Other(_) => "other",
        }
    }
}

/// How a statement ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// It ran; the server's receipt, or none for what needs no server.
    Done(Option<Bytes>),
    /// It didn't, or not in whole.
    Error {
        /// Why.
        code: Code,
        /// The same for people.
        text: Bytes,
    },
}

impl Outcome {
    /// Returns an error with a text for people.
    #[must_use]
    pub fn error(code: Code, text: impl Into<String>) -> Self {
        let text = Bytes::from(text.into());
        Self::Error { code, text }
    }
}

/// A whole answer to one statement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Rows, as they came.
    pub rows: Vec<Bytes>,
    /// How the statement ended.
    pub outcome: Outcome,
    /// State after it.
    pub state: State,
    /// Place of the server's log, if it was told.
    pub watermark: Option<Watermark>,
    /// Servers that did not run the statement, for the log.
    pub tries: Vec<Tried>,
}

/// Why one server did not run a statement, and what was known then.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Tried {
    /// Name of the server.
    pub server: ServerId,
    /// Why.
    pub reason: &'static str,
    /// Requests of this node that used the server or waited for it.
    pub load: usize,
    /// Last place of its log that was heard.
    pub place: Option<Watermark>,
    /// How long the proof of the group's primary still held; zero if it didn't.
    pub proof_left: Duration,
    /// Time since the statement came in.
    pub waited: Duration,
}

impl Answer {
    /// Returns an answer that needs no server.
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

    /// Returns the code of an answer that is an error.
    #[must_use]
    pub fn code(&self) -> Option<&Code> {
        match &self.outcome {
            Outcome::Done(_) => None,
            Outcome::Error { code, .. } => Some(code),
        }
    }
}

/// One message of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Part {
    /// A row.
    Row(Bytes),
    /// How the statement ended.
    Outcome(Outcome),
    /// The end of the answer.
    Ready {
        /// State after it.
        state: State,
        /// Place of the server's log, if it was told.
        watermark: Option<Watermark>,
    },
}

/// What a server is asked.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// Opens the connection.
    Open {
        /// Group that the server is to belong to.
        group: GroupId,
        /// Server that it is to be.
        server: ServerId,
    },
    /// Begins a transaction.
    Begin {
        /// Whether it only reads.
        is_read_only: bool,
        /// What the server's log must hold.
        floor: Option<Watermark>,
    },
    /// Drops a transaction.
    Rollback,
    /// Runs a caller's statement unchanged.
    Pass {
        /// The caller's name for it.
        id: Bytes,
        /// What the server's log must hold.
        floor: Option<Watermark>,
        /// The statement.
        text: Bytes,
    },
    /// Runs a prepared statement under the connection's name for it.
    Execute {
        /// The caller's name for this run.
        id: Bytes,
        /// What the server's log must hold.
        floor: Option<Watermark>,
        /// The connection's name for the statement.
        name: Bytes,
        /// Item and data.
        arguments: Bytes,
    },
    /// Sets a value of the connection.
    Set {
        /// Name of the value.
        name: Bytes,
        /// The value.
        value: Bytes,
    },
    /// Names a statement.
    Prepare {
        /// The connection's name for it.
        name: Bytes,
        /// What it does.
        access: Access,
        /// Its shape.
        shape: Bytes,
    },
    /// Forgets all values and prepared statements.
    Reset,
    /// Asks the server what it is.
    Status,
    /// Makes a primary of a lower term a replica.
    Demote(Term),
}

/// What a server says of itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Whether it leads its group.
    pub is_primary: bool,
    /// Term that it goes by.
    pub term: Term,
    /// Last entry of its log.
    pub last: Watermark,
}
