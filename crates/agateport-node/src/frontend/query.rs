//! A batch of a caller's messages, with what is known of its statements.

use agateport_domain::request::key::{Key, Use};
use agateport_domain::request::statement::{Control, Kind, Statement};
use agateport_wire::frame::Batch;
use agateport_wire::postgres::{Backend, Client, is_last_answer};
use bytes::{Bytes, BytesMut};
use pgwire::messages::extendedquery::{CloseComplete, ParseComplete};
use std::collections::VecDeque;
use tokio_util::codec::Decoder;

/// What answers one message of the batch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expected {
    /// The upstream answers.
    Upstream,
    /// The upstream answers that parameters are bound.
    Bound,
    /// The upstream describes a statement or a portal.
    Described {
        /// Whether it is a statement, whose parameters are described too.
        is_statement: bool,
    },
    /// The upstream runs a portal.
    Executed,
    /// A statement was prepared: the frontend answers.
    Parsed,
    /// A statement was closed: the frontend answers.
    Closed,
}

impl Expected {
    /// Tells whether the frontend itself answers.
    pub fn is_local(self) -> bool {
        matches!(self, Self::Closed | Self::Parsed)
    }
}

/// A batch with what is known of its statements.
#[derive(Clone, Debug)]
pub struct Query {
    /// What goes to the owner.
    pub batch: Batch,
    /// What is known of the statements that run.
    pub statement: Statement,
    /// What is known of the last statement that is prepared, described or run.
    pub described: Statement,
    /// Whether it came as a simple query.
    pub is_simple: bool,
    /// What answers each message, in order.
    pub expected: VecDeque<Expected>,
}

impl Query {
    /// Tells whether it holds nothing that needs an answer but its end.
    pub fn is_empty(&self) -> bool {
        !self.is_simple && self.expected.is_empty()
    }

    /// Tells whether a statement runs, and isn't only prepared or described.
    pub fn runs(&self) -> bool {
        self.is_simple || self.expected.contains(&Expected::Executed)
    }

    /// Tells whether it only prepares a statement that ends a transaction.
    pub fn only_describes_end(&self) -> bool {
        self.statement.count == 0 && ends_transaction(&self.described)
    }

    /// Tells whether it may run as a read outside of a transaction.
    pub fn is_read(&self) -> bool {
        self.statement.kind == Kind::Read
    }

    /// Tells whether it is nothing but one statement that ends a transaction.
    pub fn ends_transaction(&self) -> bool {
        ends_transaction(&self.statement)
    }

    /// Returns the key of the write that the batch consists of; `session` is
    /// the one set for the session.
    pub fn key(&self, session: Option<&str>) -> Option<Use> {
        if self.statement.kind != Kind::Write {
            return None;
        }
        let name = self.statement.key.as_deref().or(session)?;
        let prepared = self.batch.statements.iter().map(|one| &*one.parse);
        let parts = prepared.chain([&*self.batch.messages]);
        Some(Use::Record(Key::new(name.to_owned(), parts)))
    }

    /// Tells whether the batch may run under a key: one write and nothing else.
    pub fn may_have_key(&self) -> bool {
        let statement = &self.statement;
        statement.count == 1 && statement.controls.is_empty() && self.batch.flush.is_none()
    }

    /// Adds the frontend's own answers to a part of the upstream's.
    ///
    /// # Errors
    ///
    /// An error if the part isn't made of whole messages.
    pub fn complete(&mut self, part: Bytes) -> Result<Bytes, agateport_wire::Error> {
        if !self.expected.iter().any(|one| one.is_local()) {
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

    /// Answers the messages before the next one that the upstream answers.
    fn answer_local(&mut self, answers: &mut BytesMut) {
        while let Some(expected) = self.expected.front() {
            let answer = match expected {
                Expected::Parsed => Backend::ParseComplete(ParseComplete::new()),
                Expected::Closed => Backend::CloseComplete(CloseComplete::new()),
                _ => return,
            };
            self.expected.pop_front();
            // Encoding fails only for messages over a gigabyte.
            let _ = answer.encode(answers);
        }
    }
}

fn ends_transaction(statement: &Statement) -> bool {
    let ends = [Control::Commit, Control::Rollback];
    statement.count == 1 && matches!(statement.controls.as_slice(), [one] if ends.contains(one))
}
