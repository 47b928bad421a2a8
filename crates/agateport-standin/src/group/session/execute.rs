//! Runs statements, inside and outside of transactions.

use crate::group::command::Command;
use crate::group::database::{self, Rows};
use crate::group::log::Statement;
use crate::group::replication::{Answer, BATCH, PATIENCE};
use crate::group::server::{Forbidden, Server, Writer};
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

/// Why a statement failed.
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

    /// Returns the error message of the protocol.
    pub fn message(self) -> Backend {
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

impl From<Forbidden> for Failure {
    fn from(_: Forbidden) -> Self {
        Self::new("25006", "the server is not the primary of this term")
    }
}

/// The result of one statement.
#[derive(Debug)]
pub struct Outcome {
    tag: String,
    rows: Rows,
}

impl Outcome {
    fn tagged(tag: &str) -> Self {
        Self {
            tag: tag.to_owned(),
            rows: Rows::default(),
        }
    }

    fn single(name: &str, text: String) -> Self {
        Self {
            tag: "SELECT 1".to_owned(),
            rows: Rows {
                columns: vec![(name.to_owned(), Type::TEXT)],
                values: vec![vec![Value::Text(text)]],
                changed: 0,
            },
        }
    }

    /// Returns the messages of the answer; with `formats` the description of
    /// the rows has gone out before.
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

/// Returns the format of a column: one for all, one each, or text.
fn format(formats: &[i16], column: usize) -> i16 {
    match formats {
        [] => 0,
        [all] => *all,
        each => each.get(column).copied().unwrap_or(0),
    }
}

/// Builds the description of rows.
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

/// Runs one connection's statements.
#[derive(Debug)]
pub struct Execution {
    server: Arc<Server>,
    connection: Connection,
    transaction: Transaction,
    writer: Option<Writer>,
    statements: Vec<Statement>,
    settings: BTreeMap<String, String>,
    committed: Option<Watermark>,
}

impl Execution {
    /// Creates an execution over a connection of its own.
    pub fn new(server: Arc<Server>) -> rusqlite::Result<Self> {
        Ok(Self {
            connection: server.connect()?,
            server,
            transaction: Transaction::Idle,
            writer: None,
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

    /// Returns the place in the log that the last statements reflect.
    pub fn take_place(&mut self) -> Watermark {
        let last = self.committed.take();
        last.unwrap_or_else(|| self.server.status().last)
    }

    /// Runs one statement.
    pub async fn run(&mut self, sql: &str, parameters: Vec<Value>) -> Result<Outcome, Failure> {
        let command = Command::parse(sql);
        if !command.is_control() {
            self.server.spend_statement_time().await;
        }
        let ends = matches!(command, Command::Commit | Command::Rollback);
        if self.transaction == Transaction::Failed && !ends {
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
                Ok(Outcome::tagged("SET"))
            }
            Command::Show(name) => {
                let value = self.settings.get(&name).cloned().unwrap_or_default();
                Ok(Outcome::single(&name, value))
            }
            Command::Discard => {
                self.settings.clear();
                Ok(Outcome::tagged("DISCARD ALL"))
            }
            Command::Sql => {
                let statement = Statement {
                    sql: sql.to_owned(),
                    parameters,
                };
                self.sql(statement).await
            }
            control => self.control(control).await,
        }
    }

    async fn control(&mut self, command: Command) -> Result<Outcome, Failure> {
        match command {
            Command::Fence(term) => self.server.fence(term)?,
            Command::Promote(term) => self.server.promote(term)?,
            Command::Follow(term, primary) => self.server.follow(term, primary)?,
            Command::Log(place) => return self.log(place).await,
            _ => {}
        }
        Ok(json("status", &self.server.status()))
    }

    async fn log(&mut self, place: Watermark) -> Result<Outcome, Failure> {
        if self.server.status().last.position <= place.position {
            let waiting = self.server.wait_for_entries(place.position, PATIENCE);
            waiting.await;
        }
        let answer = match self.server.entries(place, BATCH) {
            Ok(entries) => Answer::Entries(entries),
            Err(terms) => Answer::Diverged(terms),
        };
        Ok(json("log", &answer))
    }

    async fn begin(&mut self) -> Result<Outcome, Failure> {
        if self.transaction == Transaction::Idle {
            self.open().await?;
            self.transaction = Transaction::Open;
        }
        Ok(Outcome::tagged("BEGIN"))
    }

    async fn open(&mut self) -> Result<(), Failure> {
        if self.server.status().role == Role::Primary {
            self.writer = Some(self.server.writer().await);
            self.connection.execute_batch("BEGIN IMMEDIATE")?;
        } else {
            self.connection.execute_batch("BEGIN")?;
        }
        Ok(())
    }

    fn commit(&mut self) -> Result<Outcome, Failure> {
        match self.transaction {
            Transaction::Idle => Ok(Outcome::tagged("COMMIT")),
            Transaction::Failed => Ok(self.rollback()),
            Transaction::Open => {
                self.transaction = Transaction::Idle;
                self.close()?;
                Ok(Outcome::tagged("COMMIT"))
            }
        }
    }

    fn rollback(&mut self) -> Outcome {
        if self.transaction != Transaction::Idle {
            self.transaction = Transaction::Idle;
            self.abandon();
        }
        Outcome::tagged("ROLLBACK")
    }

    fn close(&mut self) -> Result<(), Failure> {
        let statements = std::mem::take(&mut self.statements);
        if let (Some(writer), false) = (self.writer.take(), statements.is_empty()) {
            match self.server.commit(&self.connection, statements, &writer) {
                Ok(Ok(place)) => self.committed = Some(place),
                Ok(Err(forbidden)) => {
                    self.abandon();
                    return Err(forbidden.into());
                }
                Err(error) => {
                    self.abandon();
                    return Err(error.into());
                }
            }
        } else {
            self.connection.execute_batch("COMMIT")?;
        }
        Ok(())
    }

    fn abandon(&mut self) {
        self.statements.clear();
        if !self.connection.is_autocommit() && self.connection.execute_batch("ROLLBACK").is_err() {
            tracing::warn!("a transaction could not be rolled back");
        }
        self.writer = None;
    }

    async fn sql(&mut self, statement: Statement) -> Result<Outcome, Failure> {
        let is_read = database::is_read(&self.connection, &statement.sql)?;
        if !is_read && self.server.status().role != Role::Primary {
            return Err(Forbidden.into());
        }
        let is_alone = self.transaction == Transaction::Idle && !is_read;
        if is_alone {
            self.open().await?;
        }
        let tag = tag(&statement.sql);
        let rows = match database::run(&self.connection, &statement) {
            Ok(rows) => rows,
            Err(error) => {
                if is_alone {
                    self.abandon();
                }
                return Err(error.into());
            }
        };
        if !is_read {
            self.statements.push(statement);
        }
        if is_alone {
            self.close()?;
        }
        Ok(Outcome {
            tag: complete(&tag, &rows),
            rows,
        })
    }
}

fn json<T: serde::Serialize>(name: &str, value: &T) -> Outcome {
    let text = serde_json::to_string(value).unwrap_or_default();
    Outcome::single(name, text)
}

fn tag(sql: &str) -> String {
    let word = sql.split_whitespace().next().unwrap_or_default();
    word.to_uppercase()
}

fn complete(tag: &str, rows: &Rows) -> String {
    match tag {
        "SELECT" | "VALUES" | "WITH" => format!("SELECT {}", rows.values.len()),
        "INSERT" => format!("INSERT 0 {}", rows.changed),
        "DELETE" | "UPDATE" => format!("{tag} {}", rows.changed),
        "CREATE" | "DROP" => format!("{tag} TABLE"),
        other => other.to_owned(),
    }
}
