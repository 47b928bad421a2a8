//! Why a connection is closed or not accepted.

use thiserror::Error;

/// Why a connection is closed or not accepted.
#[derive(Clone, Copy, Debug, Eq, Error, Ord, PartialEq, PartialOrd)]
pub enum Reason {
    /// The client sent no first message in time.
    #[error("it sent no first message in time")]
    FirstMessage,
    /// The client did not complete a message in time.
    #[error("it did not complete a message in time")]
    Message,
    /// The client did not read an answer in time.
    #[error("it did not read an answer in time")]
    Unread,
    /// The memory for clients is used up, and this connection uses the most.
    #[error("the memory for clients is used up, and it uses the most")]
    Memory,
    /// An answer exceeds the limit.
    #[error("an answer to it is too large")]
    Answer,
    /// The node has the maximum number of connections, and all others have sent something.
    #[error("the node has too many connections")]
    Limit,
    /// The node has the maximum number of connections, and this one has sent nothing.
    #[error("the node has too many connections, and it has sent nothing")]
    Silent,
}

impl Reason {
    /// Returns the name for logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::FirstMessage => "first_message",
            Self::Message => "message",
            Self::Unread => "unread",
            Self::Memory => "memory",
            Self::Answer => "answer",
            Self::Limit => "limit",
            Self::Silent => "silent",
        }
    }
}
