//! A session's value or prepared statement that a server rejected.

use crate::message::{Answer, Code, Command, Outcome, State};
use crate::reply;
use crate::trace::excerpt;
use std::fmt;

/// How a server answered the commands that bring a connection into the state of a session.
#[derive(Clone, Debug, Default)]
pub struct Alignment {
    /// Commands that the server accepted.
    pub accepted: Vec<Command>,
    /// The first command that the server rejected, if any.
    pub rejection: Option<Rejection>,
}

impl Alignment {
    /// Creates the alignment in which the server gave `answers` to `commands`.
    #[must_use]
    pub fn new(commands: Vec<Command>, answers: Vec<Answer>) -> Self {
        let state = answers
            .last()
            .map(|answer| answer.state)
            .unwrap_or_default();
        let mut alignment = Self::default();
        for (command, answer) in commands.into_iter().zip(answers) {
            if answer.code().is_none() {
                alignment.accepted.push(command);
            } else if alignment.rejection.is_none() {
                let answer = Answer { state, ..answer };
                alignment.rejection = Some(Rejection { command, answer });
            }
        }
        alignment
    }
}

/// A session's value or prepared statement that a server rejected, so that the statement
/// that needed it was not sent.
#[derive(Clone, Debug)]
pub struct Rejection {
    command: Command,
    /// Answer of the server, with the transaction state after the alignment.
    answer: Answer,
}

impl Rejection {
    /// Returns whether the connection could not be reset. It is then of no use.
    #[must_use]
    pub fn is_of_reset(&self) -> bool {
        self.command == Command::Reset
    }

    /// Returns the name of the code for logs and metrics.
    #[must_use]
    pub fn code(&self) -> &'static str {
        self.answer.code().map_or("done", Code::name)
    }

    /// Returns the answer to the statement that was not sent, on a connection that was in
    /// `state` before.
    ///
    /// A transaction is rolled back: the session's later statements need the value too.
    /// Otherwise an error that does not depend on the value is passed on, so that the
    /// statement is tried elsewhere, and any other answer says what was rejected.
    #[must_use]
    pub fn into_answer(self, state: State) -> Answer {
        if !state.is_idle() {
            return reply::aborted(&format!("not run: {self}"));
        }
        let outcome = match self.answer.code() {
            Some(Code::Failed | Code::Malformed | Code::Other(_)) => {
                Outcome::error(Code::Malformed, format!("not run: {self}"))
            }
            Some(code) if reply::failure(code).is_some() => return self.answer,
            _ => Outcome::error(Code::Busy, format!("not run: {self}")),
        };
        Answer {
            outcome,
            ..self.answer
        }
    }
}

impl fmt::Display for Rejection {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the server rejected ")?;
        match &self.command {
            Command::Set { name, .. } => {
                write!(formatter, "the session's value \"{}\"", excerpt(name))?;
            }
            Command::Prepare { prepared, .. } => {
                let shape = excerpt(&prepared.shape);
                write!(formatter, "the prepared statement \"{shape}\"")?;
            }
            _ => formatter.write_str("a reset")?,
        }
        match &self.answer.outcome {
            Outcome::Done(_) => Ok(()),
            Outcome::Error { code, text } => {
                write!(formatter, " ({}: {})", code.name(), excerpt(text))
            }
        }
    }
}
