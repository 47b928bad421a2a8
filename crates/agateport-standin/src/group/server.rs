//! The state of one server: its role, its term, its log.

use super::Config;
use super::database;
use super::log::{Entry, Log, Statement, Terms};
use crate::error::Error;
use agateport_domain::group::{Role, Status};
use agateport_domain::id::{Position, Term};
use agateport_domain::session::Watermark;
use rusqlite::Connection;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};
use tempfile::TempDir;
use tokio::sync::{OwnedMutexGuard, Semaphore, watch};
use tokio::time::sleep;

/// What is wrong with the server at the moment.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Nothing is answered, connections stay open.
    pub hung: bool,
    /// Control connections and replication are cut off, callers aren't.
    pub isolated: bool,
    /// Time by which this replica lags.
    #[serde(with = "humantime_serde")]
    pub lag: Duration,
    /// Time that a statement takes.
    #[serde(with = "humantime_serde")]
    pub statement_time: Duration,
}

impl Default for Fault {
    fn default() -> Self {
        let config = Config::default();
        Self {
            hung: false,
            isolated: false,
            lag: config.lag,
            statement_time: config.statement_time,
        }
    }
}

/// A request that the server's role or term doesn't allow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rejection;

/// Whom a replica follows, in which term.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Source {
    /// Address of the primary.
    pub primary: SocketAddr,
    /// Its term.
    pub term: Term,
}

#[derive(Debug)]
struct State {
    term: Term,
    role: Role,
    follow: Option<SocketAddr>,
    log: Log,
    caught_up_at: Option<Instant>,
}

impl State {
    fn source(&self) -> Option<Source> {
        match self.role {
            Role::Replica => self.follow.map(|primary| Source {
                primary,
                term: self.term,
            }),
            Role::Primary | Role::Fenced => None,
        }
    }
}

/// One server of a database group.
#[derive(Debug)]
pub struct Server {
    config: Config,
    directory: TempDir,
    state: Mutex<State>,
    write_lock: Arc<tokio::sync::Mutex<()>>,
    slots: Semaphore,
    connections: Arc<Semaphore>,
    fault: watch::Sender<Fault>,
    appended: watch::Sender<Position>,
}

/// The right to be the one that writes.
pub type WriteGuard = OwnedMutexGuard<()>;

impl Server {
    /// Opens a server with an empty database.
    ///
    /// # Errors
    ///
    /// [`Error`] if the database can't be opened.
    pub fn open(config: Config) -> Result<Self, Error> {
        let state = State {
            term: 1,
            role: match config.follow {
                Some(_) => Role::Replica,
                None => Role::Primary,
            },
            follow: config.follow,
            log: Log::default(),
            caught_up_at: None,
        };
        let fault = Fault {
            lag: config.lag,
            statement_time: config.statement_time,
            ..Fault::default()
        };
        let server = Self {
            directory: TempDir::new()?,
            state: Mutex::new(state),
            write_lock: Arc::default(),
            slots: Semaphore::new(config.slots),
            connections: Arc::new(Semaphore::new(config.connections)),
            fault: watch::Sender::new(fault),
            appended: watch::Sender::new(0),
            config,
        };
        server.connect()?;
        Ok(server)
    }

    /// Opens a connection to the server's own database.
    ///
    /// # Errors
    ///
    /// An error of SQLite.
    pub fn connect(&self) -> rusqlite::Result<Connection> {
        let path: PathBuf = self.directory.path().join("database");
        database::open(&path)
    }

    /// Returns the settings.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the semaphore that limits the connections.
    pub fn connections(&self) -> &Arc<Semaphore> {
        &self.connections
    }

    /// Returns the faults of the moment.
    pub fn fault(&self) -> Fault {
        self.fault.borrow().clone()
    }

    /// Switches faults.
    pub fn set_fault(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }

    /// Waits while the server hangs.
    pub async fn wait_while_hung(&self) {
        let mut fault = self.fault.subscribe();
        // The sender lives as long as the server.
        let _ = fault.wait_for(|fault| !fault.hung).await;
    }

    /// Spends a statement's time in a slot.
    pub async fn simulate_statement(&self) {
        let _slot = self.slots.acquire().await;
        let time = self.fault.borrow().statement_time;
        if !time.is_zero() {
            sleep(time).await;
        }
    }

    /// Waits for the right to write.
    pub async fn lock_writes(&self) -> WriteGuard {
        Arc::clone(&self.write_lock).lock_owned().await
    }

    /// Returns the server's status.
    pub fn status(&self) -> Status {
        let state = self.state();
        let age = match state.role {
            Role::Primary => Some(Duration::ZERO),
            Role::Replica | Role::Fenced => state.caught_up_at.map(|moment| moment.elapsed()),
        };
        Status {
            term: state.term,
            last: state.log.last(),
            role: state.role,
            age,
        }
    }

    /// Takes on a higher term, in which the server waits for its role.
    pub fn fence(&self, term: Term) -> Result<(), Rejection> {
        let mut state = self.state();
        let is_repeated = term == state.term && state.role == Role::Fenced;
        if term <= state.term && !is_repeated {
            return Err(Rejection);
        }
        state.term = term;
        state.role = Role::Fenced;
        state.follow = None;
        Ok(())
    }

    /// Becomes the primary of the term that the server is fenced at.
    ///
    /// An empty entry opens the term, so that the log's last entry tells whose
    /// reign it ends in.
    pub fn promote(&self, term: Term) -> Result<(), Rejection> {
        let mut state = self.state();
        if term != state.term || state.role == Role::Replica {
            return Err(Rejection);
        }
        if state.role == Role::Primary {
            return Ok(());
        }
        state.role = Role::Primary;
        state.log.push(Entry {
            term,
            committed: SystemTime::now(),
            statements: Vec::new(),
        });
        let last = state.log.last();
        drop(state);
        self.appended.send_replace(last.position);
        Ok(())
    }

    /// Becomes a replica of the primary of `term`.
    pub fn follow(&self, term: Term, primary: SocketAddr) -> Result<(), Rejection> {
        let mut state = self.state();
        let is_own_term = term == state.term && state.role == Role::Primary;
        if term < state.term || is_own_term {
            return Err(Rejection);
        }
        let source = Source { primary, term };
        if state.source() != Some(source) {
            state.term = term;
            state.role = Role::Replica;
            state.follow = Some(primary);
            state.caught_up_at = None;
        }
        Ok(())
    }

    /// Returns whom a replica follows.
    pub fn source(&self) -> Option<Source> {
        self.state().source()
    }

    /// Commits a transaction and appends it to the log.
    ///
    /// # Errors
    ///
    /// [`Rejection`] if the server isn't the primary.
    pub fn commit(
        &self,
        connection: &Connection,
        statements: Vec<Statement>,
        _guard: &WriteGuard,
    ) -> Result<Result<Watermark, Rejection>, rusqlite::Error> {
        let mut state = self.state();
        if state.role != Role::Primary {
            return Ok(Err(Rejection));
        }
        connection.execute_batch("COMMIT")?;
        let entry = Entry {
            term: state.term,
            committed: SystemTime::now(),
            statements,
        };
        state.log.push(entry);
        let last = state.log.last();
        drop(state);
        self.appended.send_replace(last.position);
        Ok(Ok(last))
    }

    /// Returns entries after `place`, or the log's terms if it doesn't hold it.
    pub fn entries(&self, last: Watermark, limit: usize) -> Result<Vec<Entry>, Terms> {
        let state = self.state();
        if state.log.contains(last) {
            Ok(state.log.after(last.position, limit).to_vec())
        } else {
            Err(state.log.terms())
        }
    }

    /// Waits until the log goes past `position`, or `maximum_wait` is over.
    pub async fn wait_for_entries(&self, position: Position, maximum_wait: Duration) {
        let mut appended = self.appended.subscribe();
        let longer = appended.wait_for(|last| *last > position);
        // Running out of maximum_wait is an answer too: there is nothing new.
        let _ = tokio::time::timeout(maximum_wait, longer).await;
    }

    /// Applies an entry of the primary that the server follows.
    ///
    /// # Errors
    ///
    /// An error of SQLite, or false if the server no longer follows `source`.
    pub fn apply(
        &self,
        connection: &Connection,
        entry: Entry,
        source: Source,
        _guard: &WriteGuard,
    ) -> rusqlite::Result<bool> {
        let mut state = self.state();
        if state.source() != Some(source) {
            return Ok(false);
        }
        connection.execute_batch("BEGIN IMMEDIATE")?;
        for statement in &entry.statements {
            database::run(connection, statement)?;
        }
        connection.execute_batch("COMMIT")?;
        state.log.push(entry);
        let last = state.log.last();
        drop(state);
        self.appended.send_replace(last.position);
        Ok(true)
    }

    /// Records that a replica was level with `source` at `moment`.
    pub fn record_caught_up(&self, moment: Instant, source: Source) {
        let mut state = self.state();
        if state.source() == Some(source) {
            state.caught_up_at = Some(moment);
        }
    }

    /// Cuts the log back to what it shares with a primary's, and builds the
    /// database anew.
    ///
    /// # Errors
    ///
    /// An error of SQLite.
    pub fn rewind(
        &self,
        connection: &Connection,
        primary_terms: &Terms,
        source: Source,
        _guard: &WriteGuard,
    ) -> rusqlite::Result<()> {
        let mut state = self.state();
        // What a promoter was told of this log must stay true.
        if state.source() != Some(source) {
            return Ok(());
        }
        let common = state.log.common_position(primary_terms);
        state.log.truncate(common);
        connection.execute_batch("BEGIN IMMEDIATE")?;
        for table in tables(connection)? {
            connection.execute_batch(&format!("DROP TABLE \"{table}\""))?;
        }
        for entry in state.log.entries() {
            for statement in &entry.statements {
                database::run(connection, statement)?;
            }
        }
        connection.execute_batch("COMMIT")
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn tables(connection: &Connection) -> rusqlite::Result<Vec<String>> {
    let sql = "SELECT name FROM sqlite_schema WHERE type = 'table' AND name NOT LIKE 'sqlite_%'";
    let mut statement = connection.prepare(sql)?;
    let names = statement.query_map([], |row| row.get(0))?;
    names.collect()
}
