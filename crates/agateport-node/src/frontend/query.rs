//! A batch of a caller's messages with its parsed statements.

use agateport_domain::request::key::{Key, Operation};
use agateport_domain::request::statement::{Control, Kind, Statement};
use agateport_wire::frame::Batch;
use agateport_wire::postgres::{Backend, Client, is_last_answer};
use bytes::{Bytes, BytesMut};
use pgwire::messages::extendedquery::{CloseComplete, ParseComplete};
use std::collections::VecDeque;
use tokio_util::codec::Decoder;

/// The expected answer to one message of a batch, and the side that sends it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expected {
    /// An answer of none of the following kinds, by the upstream.
    Upstream,
    /// `BindComplete`, by the upstream.
    Bound,
    /// The description of a statement or portal, by the upstream.
    Described {
        /// Whether it is a statement, whose description includes its parameters.
        is_statement: bool,
    },
    /// The result of a portal's execution, by the upstream.
    Executed,
    /// `ParseComplete`, by the frontend.
    Parsed,
    /// `CloseComplete` of a statement, by the frontend.
    Closed,
}

impl Expected {
    /// Returns whether the frontend itself answers.
    pub fn is_local(self) -> bool {
        matches!(self, Self::Closed | Self::Parsed)
    }
}

/// A batch of a caller's messages with its parsed statements.
#[derive(Clone, Debug)]
pub struct Query {
    /// Messages for the owner.
    pub batch: Batch,
    /// Properties of the statements that the batch runs.
    pub statement: Statement,
    /// Properties of the last statement that is prepared, described or run.
    pub described: Statement,
    /// Whether the batch is a simple query.
    pub is_simple: bool,
    /// Expected answers to the messages, in order.
    pub expected: VecDeque<Expected>,
}

impl Query {
    /// Returns whether only the final `ReadyForQuery` is due as an answer.
    pub fn is_empty(&self) -> bool {
        !self.is_simple && self.expected.is_empty()
    }

    /// Returns whether a statement runs, rather than only being prepared or described.
    pub fn runs(&self) -> bool {
        self.is_simple || self.expected.contains(&Expected::Executed)
    }

    /// Returns whether the batch only prepares or describes a statement that ends a
    /// transaction.
    pub fn only_describes_end(&self) -> bool {
        self.statement.count == 0 && ends_transaction(&self.described)
    }

    /// Returns whether the batch may run as a read, outside of a transaction.
    pub fn is_read(&self) -> bool {
        self.statement.kind == Kind::Read
    }

    /// Returns whether the batch consists of one statement, which ends a transaction.
    pub fn ends_transaction(&self) -> bool {
        ends_transaction(&self.statement)
    }

    /// Returns the operation on the idempotency key, if the batch is a write with a key.
    /// The key of the statement takes precedence over `session`, the key that is set
    /// for the session.
    pub fn key(&self, session: Option<&str>) -> Option<Operation> {
        if self.statement.kind != Kind::Write {
            return None;
        }
        let name = self.statement.key.as_deref().or(session)?;
        let prepared = self
            .batch
            .statements
            .iter()
            .map(|statement| &*statement.parse);
        let parts = prepared.chain([&*self.batch.messages]);
        Some(Operation::Record(Key::new(name.to_owned(), parts)))
    }

    /// Returns whether a write may have a key: it must be a single statement without
    /// transaction control or a flush.
    pub fn may_have_key(&self) -> bool {
        let statement = &self.statement;
        statement.count == 1 && statement.controls.is_empty() && self.batch.flush.is_none()
    }

    /// Inserts the frontend's own answers into a part of the upstream's answer.
    ///
    /// # Errors
    ///
    /// An error if a message of the part is malformed.
    pub fn complete(&mut self, part: Bytes) -> Result<Bytes, agateport_wire::Error> {
        if !self.expected.iter().any(|expected| expected.is_local()) {
            return Ok(part);
        }
        let mut rest = BytesMut::from(part);
        let mut completed = BytesMut::new();
        self.answer_local(&mut completed);
        while let Some(message) = Client.decode(&mut rest)? {
            message.encode(&mut completed)?;
            if matches!(message, Backend::ErrorResponse(_)) {
                self.expected.clear();
            }
            if is_last_answer(&message) {
                self.expected.pop_front();
                self.answer_local(&mut completed);
            }
        }
        Ok(completed.freeze())
    }

    /// Appends the frontend's answers that are due before the next one of the upstream.
    fn answer_local(&mut self, answers: &mut BytesMut) {
        while let Some(expected) = self.expected.front() {
            let answer = match expected {
                Expected::Parsed => Backend::ParseComplete(ParseComplete::new()),
                Expected::Closed => Backend::CloseComplete(CloseComplete::new()),
                _ => return,
            };
            self.expected.pop_front();
            // Encoding fails only for messages over a gigabyte, which these are not.
            let _ = answer.encode(answers);
        }
    }
}

fn ends_transaction(statement: &Statement) -> bool {
    let ends = [Control::Commit, Control::Rollback];
    statement.count == 1
        && matches!(statement.controls.as_slice(), [control] if ends.contains(control))
}
