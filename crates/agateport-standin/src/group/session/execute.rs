//! Execution of statements, inside and outside of transactions.

use crate::group::command::Command;
use crate::group::database::{self, Rows};
use crate::group::log::Statement;
use crate::group::replication::{Answer, MAX_ENTRIES, MAX_WAIT};
use crate::group::server::{Rejection, Server, WriteGuard};
use crate::group::value::Value;
use agateport_domain::group::Role;
use agateport_domain::session::{Transaction, Watermark};
use agateport_wire::postgres::{self, Backend};
use pgwire::api::Type;
use pgwire::messages::data::{DataRow, FieldDescription, RowDescription};
use pgwire::messages::response::CommandComplete;
use rusqlite::Connection;
use rusqlite::ErrorCode;
use std::collections::BTreeMap;
use std::sync::Arc;

/// An error of a statement: its SQLSTATE and message.
#[derive(Debug)]
pub struct Failure {
    code: &'static str,
    text: String,
}

impl Failure {
    fn new(code: &'static str, text: &str) -> Self {
        Self {
            code,
            text: text.to_owned(),
        }
    }

    /// Builds the error response.
    pub fn into_response(self) -> Backend {
        postgres::error("ERROR", self.code, self.text)
    }
}

impl From<rusqlite::Error> for Failure {
    fn from(error: rusqlite::Error) -> Self {
        let code = match error.sqlite_error_code() {
            Some(ErrorCode::ConstraintViolation) => "23505",
            Some(ErrorCode::DatabaseBusy | ErrorCode::DatabaseLocked) => "40001",
            Some(ErrorCode::OperationInterrupted) => "57014",
            _ => "42601",
        };
        Self {
            code,
            text: error.to_string(),
        }
    }
}

impl From<Rejection> for Failure {
    fn from(_: Rejection) -> Self {
        Self::new("25006", "the server is not the primary of this term")
    }
}

/// The result of a statement: its command tag and rows.
#[derive(Debug)]
pub struct Outcome {
    tag: String,
    rows: Rows,
}

impl Outcome {
    fn with_tag(tag: &str) -> Self {
        Self {
            tag: tag.to_owned(),
            rows: Rows::default(),
        }
    }

    fn single_value(name: &str, text: String) -> Self {
        Self {
            tag: "SELECT 1".to_owned(),
            rows: Rows {
                columns: vec![(name.to_owned(), Type::TEXT)],
                values: vec![vec![Value::Text(text)]],
                changed: 0,
            },
        }
    }

    /// Builds the messages of the answer. With `formats`, omits the `RowDescription`,
    /// which was sent before.
    pub fn messages(self, formats: Option<&[i16]>) -> Vec<Backend> {
        let mut messages = Vec::new();
        if formats.is_none() && !self.rows.columns.is_empty() {
            messages.push(describe(&self.rows.columns, &[]));
        }
        for row in &self.rows.values {
            messages.push(encode(row, &self.rows.columns, formats.unwrap_or_default()));
        }
        messages.push(Backend::CommandComplete(CommandComplete::new(self.tag)));
        messages
    }
}

/// Returns the format code of a column: the default is text, a single code applies
/// to all columns.
fn format(formats: &[i16], column: usize) -> i16 {
    match formats {
        [] => 0,
        [all] => *all,
        each => each.get(column).copied().unwrap_or(0),
    }
}

/// Builds the `RowDescription` message.
pub fn describe(columns: &[(String, Type)], formats: &[i16]) -> Backend {
    let fields = columns.iter().enumerate().map(|(index, (name, kind))| {
        let format = format(formats, index);
        FieldDescription::new(name.clone(), 0, 0, kind.oid(), -1, -1, format)
    });
    Backend::RowDescription(RowDescription::new(fields.collect()))
}

fn encode(row: &[Value], columns: &[(String, Type)], formats: &[i16]) -> Backend {
    let mut data = bytes::BytesMut::new();
    for (index, (value, (_, kind))) in row.iter().zip(columns).enumerate() {
        match value.encode(kind, format(formats, index)) {
            Some(bytes) => {
                let length = i32::try_from(bytes.len()).unwrap_or(i32::MAX);
                data.extend_from_slice(&length.to_be_bytes());
                data.extend_from_slice(&bytes);
            }
            None => data.extend_from_slice(&(-1i32).to_be_bytes()),
        }
    }
    let count = i16::try_from(row.len()).unwrap_or(i16::MAX);
    Backend::DataRow(DataRow::new(data, count))
}

/// Executes the statements of one session.
#[derive(Debug)]
pub struct Executor {
    server: Arc<Server>,
    connection: Connection,
    transaction: Transaction,
    guard: Option<WriteGuard>,
    statements: Vec<Statement>,
    settings: BTreeMap<String, String>,
    committed: Option<Watermark>,
}

impl Executor {
    /// Creates an executor with its own connection to the database.
    pub fn new(server: Arc<Server>) -> rusqlite::Result<Self> {
        Ok(Self {
            connection: server.connect()?,
            server,
            transaction: Transaction::Idle,
            guard: None,
            statements: Vec::new(),
            settings: BTreeMap::new(),
            committed: None,
        })
    }

    /// Returns the state of the transaction.
    pub fn transaction(&self) -> Transaction {
        self.transaction
    }

    /// Returns the connection to the database.
    pub fn connection(&self) -> &Connection {
        &self.connection
    }

    /// Returns the watermark of the last commit since the previous call, or else the
    /// last entry of the server's log.
    pub fn take_watermark(&mut self) -> Watermark {
        let last = self.committed.take();
        last.unwrap_or_else(|| self.server.status().last)
    }

    /// Executes one statement.
    pub async fn run(&mut self, sql: &str, parameters: Vec<Value>) -> Result<Outcome, Failure> {
        let command = Command::parse(sql);
        if !command.is_control() {
            self.server.simulate_statement().await;
        }
        let ends_transaction = matches!(command, Command::Commit | Command::Rollback);
        if self.transaction == Transaction::Failed && !ends_transaction {
            let text = "current transaction is aborted, commands ignored until end of \
                        transaction block";
            return Err(Failure::new("25P02", text));
        }
        let result = self.dispatch(command, sql, parameters).await;
        if result.is_err() && self.transaction == Transaction::Open {
            self.transaction = Transaction::Failed;
        }
        result
    }

    async fn dispatch(
        &mut self,
        command: Command,
        sql: &str,
        parameters: Vec<Value>,
    ) -> Result<Outcome, Failure> {
        match command {
            Command::Begin => self.begin().await,
            Command::Commit => self.commit(),
            Command::Rollback => Ok(self.rollback()),
            Command::Set(name, value) => {
                self.settings.insert(name, value);
                Ok(Outcome::with_tag("SET"))
            }
            Command::Show(name) => {
                let value = self.settings.get(&name).cloned().unwrap_or_default();
                Ok(Outcome::single_value(&name, value))
            }
            Command::Discard => {
                self.settings.clear();
                Ok(Outcome::with_tag("DISCARD ALL"))
            }
            Command::Sql => {
                let statement = Statement {
                    sql: sql.to_owned(),
                    parameters,
                };
                self.execute_sql(statement).await
            }
            control => self.execute_control(control).await,
        }
    }

    async fn execute_control(&mut self, command: Command) -> Result<Outcome, Failure> {
        match command {
            Command::Fence(term) => self.server.fence(term)?,
            Command::Promote(term) => self.server.promote(term)?,
            Command::Follow(term, primary) => self.server.follow(term, primary)?,
            Command::Log(last) => return self.read_log(last).await,
            _ => {}
        }
        Ok(json("status", &self.server.status()))
    }

    async fn read_log(&mut self, last: Watermark) -> Result<Outcome, Failure> {
        if self.server.status().last.position <= last.position {
            let waiting = self.server.wait_for_entries(last.position, MAX_WAIT);
            waiting.await;
        }
        let answer = match self.server.entries(last, MAX_ENTRIES) {
            Ok(entries) => Answer::Entries(entries),
            Err(terms) => Answer::Diverged(terms),
        };
        Ok(json("log", &answer))
    }

    async fn begin(&mut self) -> Result<Outcome, Failure> {
        if self.transaction == Transaction::Idle {
            self.begin_transaction().await?;
            self.transaction = Transaction::Open;
        }
        Ok(Outcome::with_tag("BEGIN"))
    }

    async fn begin_transaction(&mut self) -> Result<(), Failure> {
        if self.server.status().role == Role::Primary {
            self.guard = Some(self.server.lock_writes().await);
            self.connection.execute_batch("BEGIN IMMEDIATE")?;
        } else {
            self.connection.execute_batch("BEGIN")?;
        }
        Ok(())
    }

    fn commit(&mut self) -> Result<Outcome, Failure> {
        match self.transaction {
            Transaction::Idle => Ok(Outcome::with_tag("COMMIT")),
            Transaction::Failed => Ok(self.rollback()),
            Transaction::Open => {
                self.transaction = Transaction::Idle;
                self.commit_transaction()?;
                Ok(Outcome::with_tag("COMMIT"))
            }
        }
    }

    fn rollback(&mut self) -> Outcome {
        if self.transaction != Transaction::Idle {
            self.transaction = Transaction::Idle;
            self.abort();
        }
        Outcome::with_tag("ROLLBACK")
    }

    fn commit_transaction(&mut self) -> Result<(), Failure> {
        let statements = std::mem::take(&mut self.statements);
        let has_changes = statements
            .iter()
            .any(|statement| !is_savepoint(&first_word(&statement.sql)));
        if let (Some(guard), true) = (self.guard.take(), has_changes) {
            match self.server.commit(&self.connection, statements, &guard) {
                Ok(Ok(last)) => self.committed = Some(last),
                Ok(Err(rejection)) => {
                    self.abort();
                    return Err(rejection.into());
                }
                Err(error) => {
                    self.abort();
                    return Err(error.into());
                }
            }
        } else {
            self.connection.execute_batch("COMMIT")?;
        }
        Ok(())
    }

    fn abort(&mut self) {
        self.statements.clear();
        if !self.connection.is_autocommit() && self.connection.execute_batch("ROLLBACK").is_err() {
            tracing::warn!("failed to roll back a transaction");
        }
        self.guard = None;
    }

    async fn execute_sql(&mut self, statement: Statement) -> Result<Outcome, Failure> {
        let is_read_only = database::is_read_only(&self.connection, &statement.sql)?;
        if !is_read_only && self.server.status().role != Role::Primary {
            return Err(Rejection.into());
        }
        let is_autocommit = self.transaction == Transaction::Idle && !is_read_only;
        if is_autocommit {
            self.begin_transaction().await?;
        }
        let word = first_word(&statement.sql);
        let rows = match database::run(&self.connection, &statement) {
            Ok(rows) => rows,
            Err(error) => {
                if is_autocommit {
                    self.abort();
                }
                return Err(error.into());
            }
        };
        // Replicas must roll back to the same savepoints.
        if !is_read_only || (is_savepoint(&word) && self.guard.is_some()) {
            self.statements.push(statement);
        }
        if is_autocommit {
            self.commit_transaction()?;
        }
        Ok(Outcome {
            tag: command_tag(&word, &rows),
            rows,
        })
    }
}

fn json<T: serde::Serialize>(name: &str, value: &T) -> Outcome {
    let text = serde_json::to_string(value).unwrap_or_default();
    Outcome::single_value(name, text)
}

fn first_word(sql: &str) -> String {
    let word = sql.split_whitespace().next().unwrap_or_default();
    word.to_uppercase()
}

/// Returns whether a statement that begins with this word sets, releases or rolls back to a
/// savepoint. Other forms of ROLLBACK end a transaction and are no SQL for the database.
fn is_savepoint(word: &str) -> bool {
    matches!(word, "RELEASE" | "ROLLBACK" | "SAVEPOINT")
}

fn command_tag(word: &str, rows: &Rows) -> String {
    match word {
        "SELECT" | "VALUES" | "WITH" => format!("SELECT {}", rows.values.len()),
        "INSERT" => format!("INSERT 0 {}", rows.changed),
        "DELETE" | "UPDATE" => format!("{word} {}", rows.changed),
        "CREATE" | "DROP" => format!("{word} TABLE"),
        other => other.to_owned(),
    }
}
