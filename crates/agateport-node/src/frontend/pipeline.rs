//! Collects a caller's messages into batches.
//!
//! Prepared statements live in the session, not at an upstream: their names are
//! made from their texts, so that any pooled connection can have them.

use agateport_domain::prelude::*;
use agateport_domain::request::statement::{Kind, Statement};
use agateport_domain::request::tag;
use agateport_wire::frame::{Batch, Prepared};
use agateport_wire::postgres::{Backend, Frontend};
use bytes::{Bytes, BytesMut};
use pgwire::messages::extendedquery::{
    CloseComplete, Parse, ParseComplete, TARGET_TYPE_BYTE_STATEMENT,
};
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

/// One message of the batch that has an answer of its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Expected {
    /// The upstream answers.
    Upstream,
    /// A statement was prepared: the frontend answers.
    Parsed,
    /// A statement was closed: the frontend answers.
    Closed,
}

/// What is known of a prepared statement.
#[derive(Clone, Debug)]
struct Known {
    prepared: Prepared,
    statement: Statement,
    priority: Option<PriorityId>,
}

/// A batch with what is known of its statements.
#[derive(Clone, Debug)]
pub struct Work {
    /// What goes to the owner.
    pub batch: Batch,
    /// The strongest of the statements' kinds.
    pub kind: Kind,
    /// Tables that the statements name.
    pub tables: BTreeSet<String>,
    /// Priority that a tag in the statements names.
    pub priority: Option<PriorityId>,
    expected: VecDeque<Expected>,
}

/// Collects a caller's messages into batches.
#[derive(Debug, Default)]
pub struct Pipeline {
    statements: BTreeMap<String, Known>,
    messages: BytesMut,
    used: BTreeMap<String, Prepared>,
    kind: Option<Kind>,
    tables: BTreeSet<String>,
    priority: Option<PriorityId>,
    expected: VecDeque<Expected>,
}

impl Pipeline {
    /// Takes one message; returns a batch when the caller waits for its answer.
    pub fn push(&mut self, message: Frontend) -> Option<Work> {
        match message {
            Frontend::Query(query) => {
                self.note(&Statement::parse(&query.query), tagged(&query.query));
                self.encode(&Frontend::Query(query));
                Some(self.take())
            }
            Frontend::Sync(sync) => {
                self.encode(&Frontend::Sync(sync));
                Some(self.take())
            }
            Frontend::Parse(parse) => {
                self.parse(parse);
                None
            }
            message => {
                self.extended(message);
                None
            }
        }
    }

    fn parse(&mut self, mut parse: Parse) {
        let caller_name = parse.name.take().unwrap_or_default();
        let mut hasher = DefaultHasher::new();
        (&parse.query, &parse.type_oids).hash(&mut hasher);
        let name = format!("agateport_{:016x}", hasher.finish());
        let statement = Statement::parse(&parse.query);
        let priority = tagged(&parse.query);
        parse.name = Some(name.clone());
        let mut encoded = BytesMut::new();
        // Encoding fails only for a message too long to have been read.
        let _ = Frontend::Parse(parse).encode(&mut encoded);
        let prepared = Prepared {
            name: name.clone(),
            parse: encoded.freeze(),
        };
        self.used.insert(name, prepared.clone());
        let known = Known {
            prepared,
            statement,
            priority,
        };
        self.statements.insert(caller_name, known);
        self.expected.push_back(Expected::Parsed);
    }

    fn extended(&mut self, message: Frontend) {
        let expected = match message {
            Frontend::Bind(mut bind) => {
                bind.statement_name = self.rename(bind.statement_name.take(), true);
                self.encode(&Frontend::Bind(bind));
                Expected::Upstream
            }
            Frontend::Describe(mut target) => {
                if target.target_type == TARGET_TYPE_BYTE_STATEMENT {
                    target.name = self.rename(target.name.take(), false);
                }
                self.encode(&Frontend::Describe(target));
                Expected::Upstream
            }
            Frontend::Close(close) if close.target_type == TARGET_TYPE_BYTE_STATEMENT => {
                self.statements.remove(&close.name.unwrap_or_default());
                Expected::Closed
            }
            Frontend::Flush(_) => return,
            message => {
                self.encode(&message);
                Expected::Upstream
            }
        };
        self.expected.push_back(expected);
    }

    /// Returns the upstream's name of a statement, and notes its use.
    fn rename(&mut self, name: Option<String>, is_run: bool) -> Option<String> {
        let Some(known) = self.statements.get(name.as_deref().unwrap_or_default()) else {
            // The upstream knows no such statement either, and says so.
            return name;
        };
        let known = known.clone();
        let name = known.prepared.name.clone();
        self.used.insert(name.clone(), known.prepared);
        if is_run {
            self.note(&known.statement, known.priority);
        }
        Some(name)
    }

    fn note(&mut self, statement: &Statement, priority: Option<PriorityId>) {
        self.priority = priority.or_else(|| self.priority.take());
        self.kind = self.kind.max(Some(statement.kind));
        self.tables.extend(statement.tables.iter().cloned());
    }

    fn encode(&mut self, message: &Frontend) {
        // Encoding fails only for a message too long to have been read.
        let _ = message.encode(&mut self.messages);
    }

    fn take(&mut self) -> Work {
        let statements = std::mem::take(&mut self.used);
        Work {
            batch: Batch {
                statements: statements.into_values().collect(),
                messages: self.messages.split().freeze(),
            },
            kind: self.kind.take().unwrap_or(Kind::Read),
            tables: std::mem::take(&mut self.tables),
            priority: self.priority.take(),
            expected: std::mem::take(&mut self.expected),
        }
    }
}

impl Work {
    /// Adds the frontend's own answers to a part of the upstream's.
    ///
    /// # Errors
    ///
    /// An error if the part isn't made of whole messages.
    pub fn complete(&mut self, part: Bytes) -> Result<Bytes, agateport_wire::Error> {
        if self.expected.iter().all(|one| *one == Expected::Upstream) {
            return Ok(part);
        }
        let mut rest = BytesMut::from(part);
        let mut completed = BytesMut::new();
        self.answer_own(&mut completed);
        let mut codec = agateport_wire::postgres::Client;
        while let Some(message) = tokio_util::codec::Decoder::decode(&mut codec, &mut rest)? {
            message.encode(&mut completed)?;
            if matches!(message, Backend::ErrorResponse(_)) {
                self.expected.clear();
            }
            if is_last_answer(&message) {
                self.expected.pop_front();
                self.answer_own(&mut completed);
            }
        }
        Ok(completed.freeze())
    }

    /// Answers the messages before the next one that the upstream answers.
    fn answer_own(&mut self, answers: &mut BytesMut) {
        while let Some(expected) = self.expected.front() {
            let answer = match expected {
                Expected::Upstream => return,
                Expected::Parsed => Backend::ParseComplete(ParseComplete::new()),
                Expected::Closed => Backend::CloseComplete(CloseComplete::new()),
            };
            self.expected.pop_front();
            // Encoding fails only for messages over a gigabyte.
            let _ = answer.encode(answers);
        }
    }
}

/// Returns the priority that a tag in a text of SQL names.
fn tagged(sql: &str) -> Option<PriorityId> {
    tag::value(sql, "priority").map(Into::into)
}

/// Tells whether a message is the last answer to one of the caller's messages.
fn is_last_answer(message: &Backend) -> bool {
    !matches!(
        message,
        Backend::DataRow(_)
            | Backend::NoticeResponse(_)
            | Backend::ParameterDescription(_)
            | Backend::ParameterStatus(_)
    )
}
