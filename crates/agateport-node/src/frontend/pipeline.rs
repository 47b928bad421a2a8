//! Collects a caller's messages into queries.
//!
//! Prepared statements belong to the session, not to an upstream connection. Their
//! names at the upstream are digests of their texts and parameter types, so that any
//! pooled connection can hold them.

use super::query::{Expected, Query};
use agateport_domain::prelude::*;
use agateport_domain::request::name;
use agateport_domain::request::statement::{Kind, Statement};
use agateport_wire::frame::{Batch, Prepared};
use agateport_wire::postgres::Frontend;
use bytes::BytesMut;
use pgwire::messages::extendedquery::{Parse, TARGET_TYPE_BYTE_STATEMENT};
use std::collections::VecDeque;

/// A prepared statement of the session.
#[derive(Clone, Debug)]
struct Entry {
    prepared: Prepared,
    statement: Statement,
}

/// Collects a caller's messages into queries.
#[derive(Debug, Default)]
pub struct Pipeline {
    statements: BTreeMap<String, Entry>,
    messages: BytesMut,
    used: BTreeMap<String, Prepared>,
    statement: Statement,
    described: Option<Statement>,
    expected: VecDeque<Expected>,
    /// Whether messages are skipped up to the next Sync, after an error that has been
    /// sent to the caller.
    is_skipping: bool,
}

impl Pipeline {
    /// Adds a message. Returns a query if the caller waits for an answer after it.
    pub fn push(&mut self, message: Frontend) -> Option<Query> {
        if self.is_skipping && !matches!(message, Frontend::Sync(_)) {
            return None;
        }
        match message {
            Frontend::Query(query) => {
                self.statement = Statement::parse(&query.query);
                self.encode(&Frontend::Query(query));
                Some(self.finish(true))
            }
            Frontend::Sync(sync) => {
                self.is_skipping = false;
                self.encode(&Frontend::Sync(sync));
                Some(self.finish(false))
            }
            Frontend::Flush(_) => self.flush(),
            Frontend::Parse(parse) => {
                self.push_parse(parse);
                None
            }
            message => {
                self.push_extended(message);
                None
            }
        }
    }

    /// Skips messages up to the next Sync.
    pub fn skip(&mut self) {
        self.is_skipping = true;
    }

    /// Removes all prepared statements.
    pub fn clear_statements(&mut self) {
        self.statements.clear();
    }

    fn flush(&mut self) -> Option<Query> {
        if self.expected.is_empty() {
            return None;
        }
        let upstream = self.expected.iter().filter(|expected| !expected.is_local());
        let answers = upstream.count();
        let mut query = self.finish(false);
        query.batch.flush = Some(answers);
        // The messages between the flush and the Sync belong to the same transaction.
        query.statement.kind = query.statement.kind.max(Kind::Transaction);
        Some(query)
    }

    fn push_parse(&mut self, mut parse: Parse) {
        let caller_name = parse.name.take().unwrap_or_default();
        let name = name::prepared(&parse.query, &parse.type_oids);
        let statement = Statement::parse(&parse.query);
        parse.name = Some(name.clone());
        let mut encoded = BytesMut::new();
        // Encoding fails only for a message that is too long to have been decoded.
        let _ = Frontend::Parse(parse).encode(&mut encoded);
        let prepared = Prepared {
            name: name.clone(),
            parse: encoded.freeze(),
        };
        self.used.insert(name, prepared.clone());
        self.described = Some(statement.clone());
        let entry = Entry {
            prepared,
            statement,
        };
        self.statements.insert(caller_name, entry);
        self.expected.push_back(Expected::Parsed);
    }

    fn push_extended(&mut self, message: Frontend) {
        let expected = match message {
            Frontend::Bind(mut bind) => {
                bind.statement_name = self.rename(bind.statement_name.take(), true);
                self.encode(&Frontend::Bind(bind));
                Expected::Bound
            }
            Frontend::Describe(mut target) => {
                let is_statement = target.target_type == TARGET_TYPE_BYTE_STATEMENT;
                if is_statement {
                    target.name = self.rename(target.name.take(), false);
                }
                self.encode(&Frontend::Describe(target));
                Expected::Described { is_statement }
            }
            Frontend::Close(close) if close.target_type == TARGET_TYPE_BYTE_STATEMENT => {
                self.statements.remove(&close.name.unwrap_or_default());
                Expected::Closed
            }
            Frontend::Execute(execute) => {
                self.encode(&Frontend::Execute(execute));
                Expected::Executed
            }
            message => {
                self.encode(&message);
                Expected::Upstream
            }
        };
        self.expected.push_back(expected);
    }

    /// Returns the name of a statement at the upstream, and records its use.
    fn rename(&mut self, name: Option<String>, is_run: bool) -> Option<String> {
        let Some(entry) = self.statements.get(name.as_deref().unwrap_or_default()) else {
            // The upstream has no such statement either, and returns the error.
            return name.map(unknown);
        };
        let entry = entry.clone();
        let name = entry.prepared.name.clone();
        self.used.insert(name.clone(), entry.prepared);
        if is_run {
            self.statement.merge(&entry.statement);
        }
        self.described = Some(entry.statement);
        Some(name)
    }

    fn encode(&mut self, message: &Frontend) {
        // Encoding fails only for a message that is too long to have been decoded.
        let _ = message.encode(&mut self.messages);
    }

    fn finish(&mut self, is_simple: bool) -> Query {
        let statements = std::mem::take(&mut self.used);
        let statement = std::mem::take(&mut self.statement);
        let described = self.described.take();
        Query {
            batch: Batch {
                statements: statements.into_values().collect(),
                messages: self.messages.split().freeze(),
                leaves_state: statement.leaves_state,
                ..Batch::default()
            },
            described: described.unwrap_or_else(|| statement.clone()),
            statement,
            is_simple,
            expected: std::mem::take(&mut self.expected),
        }
    }
}

/// Returns a name that stands for no statement of another session.
fn unknown(name: String) -> String {
    if name::is_reserved(&name) {
        return format!("unknown_{name}");
    }
    name
}
