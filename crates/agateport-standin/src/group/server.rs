//! State of a server: its role, term, log and injected faults.

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

/// The faults that are injected into the server.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Whether the server sends no answers while connections stay open.
    pub hung: bool,
    /// Whether control connections and replication are interrupted. Other connections
    /// are not.
    pub isolated: bool,
    /// Replication lag of this replica.
    #[serde(with = "humantime_serde")]
    pub lag: Duration,
    /// Duration of a statement.
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

/// The rejection of a request that the server's role or term does not allow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rejection;

/// The primary that a replica replicates, and its term.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Source {
    /// Address of the primary.
    pub primary: SocketAddr,
    /// Term of the primary.
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

/// Guard of the lock that serializes writes to the database and the log.
pub type WriteGuard = OwnedMutexGuard<()>;

impl Server {
    /// Opens a server with an empty database.
    ///
    /// # Errors
    ///
    /// [`Error`] if the database cannot be opened.
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

    /// Opens a connection to the SQLite database of the server.
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

    /// Returns the semaphore that limits the number of connections.
    pub fn connections(&self) -> &Arc<Semaphore> {
        &self.connections
    }

    /// Returns the current faults.
    pub fn fault(&self) -> Fault {
        self.fault.borrow().clone()
    }

    /// Replaces the current faults.
    pub fn set_fault(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }

    /// Waits while the `hung` fault is set.
    pub async fn wait_while_hung(&self) {
        let mut fault = self.fault.subscribe();
        // Cannot fail, because the server owns the sender.
        let _ = fault.wait_for(|fault| !fault.hung).await;
    }

    /// Waits for a slot and occupies it for the duration of a statement.
    pub async fn simulate_statement(&self) {
        let _slot = self.slots.acquire().await;
        let time = self.fault.borrow().statement_time;
        if !time.is_zero() {
            sleep(time).await;
        }
    }

    /// Acquires the write lock.
    pub async fn lock_writes(&self) -> WriteGuard {
        Arc::clone(&self.write_lock).lock_owned().await
    }

    /// Returns the status of the server.
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

    /// Fences the server at a higher term: it accepts no writes and replicates nothing
    /// until it is promoted or follows a primary.
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

    /// Promotes the server to primary of the term that it is fenced at.
    ///
    /// Appends an empty entry of the term, so that the last entry of the log identifies
    /// the primary in whose term the log ends.
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

    /// Makes the server a replica of the primary of `term`.
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

    /// Returns the replication source, or `None` unless the server is a replica that
    /// has one.
    pub fn source(&self) -> Option<Source> {
        self.state().source()
    }

    /// Commits a transaction and appends it to the log.
    ///
    /// # Errors
    ///
    /// An error of SQLite, or [`Rejection`] if the server is not the primary.
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

    /// Returns at most `limit` entries after `last`, or the terms of the log if it does
    /// not contain `last`.
    pub fn entries(&self, last: Watermark, limit: usize) -> Result<Vec<Entry>, Terms> {
        let state = self.state();
        if state.log.contains(last) {
            Ok(state.log.after(last.position, limit).to_vec())
        } else {
            Err(state.log.terms())
        }
    }

    /// Waits until the log extends beyond `position`, for at most `maximum_wait`.
    pub async fn wait_for_entries(&self, position: Position, maximum_wait: Duration) {
        let mut appended = self.appended.subscribe();
        let longer = appended.wait_for(|last| *last > position);
        // A timeout is not an error: there are no new entries.
        let _ = tokio::time::timeout(maximum_wait, longer).await;
    }

    /// Applies an entry received from `source`. Returns false, without applying it, if
    /// the server no longer replicates from `source`.
    ///
    /// # Errors
    ///
    /// An error of SQLite.
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

    /// Records that the replica had caught up with `source` at `moment`.
    pub fn record_caught_up(&self, moment: Instant, source: Source) {
        let mut state = self.state();
        if state.source() == Some(source) {
            state.caught_up_at = Some(moment);
        }
    }

    /// Truncates the log to the entries that it shares with the primary's log, and
    /// rebuilds the database from them.
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
        // Once fenced, the log must not lose entries that the server has reported to
        // the node that coordinates the promotion.
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
