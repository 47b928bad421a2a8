//! What the runtime needs of the platform that it runs on.

use agateport_domain::prelude::*;
use thiserror::Error;

/// Version of a row; zero stands for a row that isn't there.
pub type RowVersion = u64;

/// A row of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Its value.
    pub value: Vec<u8>,
    /// Its version.
    pub version: RowVersion,
}

/// All rows of the project's table at one moment, by key.
pub type Rows = BTreeMap<String, Row>;

/// A change of the project's table that happens as a whole or not at all.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Change {
    /// Versions that rows must have.
    pub expected: BTreeMap<String, RowVersion>,
    /// Values to set.
    pub set: BTreeMap<String, Vec<u8>>,
    /// Rows to drop.
    pub deleted: BTreeSet<String>,
}

/// An answer that the platform did not give.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// A row had another version than the one expected; nothing was changed.
    #[error("a row has changed")]
    Conflict,
    /// The platform said that it did nothing.
    #[error("the platform refused with status {0}")]
    Refused(u16),
    /// No answer came, or none that can be read; a change may have happened.
    #[error("the platform gave no answer: {0}")]
    NoAnswer(String),
}

/// The table in which the project keeps what must last.
pub trait Store: Send + Sync + 'static {
    /// Reads all rows.
    fn rows(&self) -> impl Future<Output = Result<Rows, Error>> + Send;

    /// Reads one row; none if it isn't there.
    fn row(&self, key: &str) -> impl Future<Output = Result<Option<Row>, Error>> + Send;

    /// Changes rows, and returns their new version.
    fn change(&self, change: Change) -> impl Future<Output = Result<RowVersion, Error>> + Send;
}

/// Where configurations, or lists of servers, come from.
pub trait Source: Send + 'static {
    /// What it tells.
    type Item: Send;

    /// Waits for the next one.
    ///
    /// The wait may be given up at any time; nothing is lost by it.
    fn next(&mut self) -> impl Future<Output = Self::Item> + Send;
}

/// Who carries out a promotion.
pub trait Promoter: Send + Sync + 'static {
    /// Orders that `server` is to lead `group`.
    fn promote(
        &self,
        group: &GroupId,
        server: &ServerId,
        coordinator: &NodeId,
        fence: Fence,
    ) -> impl Future<Output = Result<(), Error>> + Send;
}
