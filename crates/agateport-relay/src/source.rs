//! Interfaces to the platform: the store, its feeds, and promotions.

use agateport_domain::prelude::*;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Version of a row; zero means that the row does not exist.
pub type RowVersion = u64;

/// Number of times that the store was restored from a copy.
pub type Era = u64;

/// A point in the store's history. A restored store gives out its versions again, so they
/// are only comparable within an era.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Revision {
    /// Era of the store.
    pub era: Era,
    /// Version of the store in that era.
    pub version: RowVersion,
}

/// Bits of a fencing token that hold the version; the higher ones hold the era.
const VERSION_BITS: u32 = 40;

impl Revision {
    /// Returns the fencing token of a row with this revision. It rises with each write of
    /// the row, also when the store is restored.
    #[must_use]
    pub fn fence(self) -> Fence {
        (self.era << VERSION_BITS) | self.version
    }

    /// Returns the era of a fencing token.
    #[must_use]
    pub fn era_of(fence: Fence) -> Era {
        fence >> VERSION_BITS
    }
}

/// Time after the sending of an order within which it has reached the platform or is lost
/// for certain. A new coordinator waits for the orders of its predecessor to end.
pub const ORDER_LIFETIME: Duration = Duration::from_secs(1);

/// A row of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Encoded value.
    pub value: Vec<u8>,
    /// Version at which the row was last written.
    pub version: RowVersion,
}

/// All rows of the project's table at one moment, by key.
pub type Rows = BTreeMap<String, Row>;

/// The state of the whole store at one read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Head {
    /// Latest revision of the store.
    pub revision: Revision,
    /// When the read was sent to the store.
    pub read_at: Uptime,
}

/// A transaction on the project's table; it is applied atomically.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Change {
    /// Versions that rows must have for the transaction to be applied.
    pub expected: BTreeMap<String, RowVersion>,
    /// Rows to write.
    pub set: BTreeMap<String, Vec<u8>>,
    /// Rows to delete.
    pub deleted: BTreeSet<String>,
}

/// A failed call to the platform.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// A row does not have the expected version; nothing was changed.
    #[error("a row does not have the expected version")]
    Conflict,
    /// The platform refused the call with this HTTP status; nothing was changed.
    #[error("the platform refused the call with status {0}")]
    Refused(u16),
    /// The call was not sent; nothing was changed.
    #[error("the call was not sent: {0}")]
    Unsent(String),
    /// The store was restored from a copy during the call, or since the version that the
    /// call continues from.
    #[error("the store was restored from a copy")]
    Restored,
    /// No answer arrived, or a malformed one; a change may have been applied.
    #[error("no valid answer from the platform: {0}")]
    NoAnswer(String),
}

/// The table that holds the project's persistent state.
pub trait Store: Send + Sync + 'static {
    /// Reads all rows, and the latest revision of the whole store.
    fn rows(&self) -> impl Future<Output = Result<(Rows, Revision), Error>> + Send;

    /// Reads one row, which is `None` if it does not exist, and the latest revision of the
    /// whole store.
    fn row(&self, key: &str)
    -> impl Future<Output = Result<(Option<Row>, Revision), Error>> + Send;

    /// Applies a change and returns the new version of its rows.
    fn change(&self, change: Change) -> impl Future<Output = Result<RowVersion, Error>> + Send;
}

/// What one answer of the platform says about a source.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reading<T> {
    /// The new value; none if the value is unchanged.
    pub change: Option<T>,
    /// When the answer was requested: changes up to then are included.
    pub read_at: Uptime,
}

/// A stream of configurations or of registries.
pub trait Source: Send + 'static {
    /// Type of the values.
    type Item: Send;

    /// Waits for the next answer with changes.
    ///
    /// This method is cancel safe.
    fn next(&mut self) -> impl Future<Output = Reading<Self::Item>> + Send;

    /// Waits for an answer that includes all changes up to `revision` of the store.
    ///
    /// This method is cancel safe.
    fn catch_up(&mut self, revision: Revision) -> impl Future<Output = Reading<Self::Item>> + Send;

    /// Returns the revision of the store up to which all changes are included.
    fn revision(&self) -> Revision;
}

/// An order to promote a server.
#[derive(Clone, Copy, Debug)]
pub struct Order<'a> {
    /// Name of the group.
    pub group: &'a GroupId,
    /// Server that is to become the group's primary.
    pub server: &'a ServerId,
    /// Node that gives the order.
    pub coordinator: &'a NodeId,
    /// Fencing token of that node.
    pub fence: Fence,
    /// When another node may have become the coordinator.
    pub valid_until: Uptime,
}

/// Executes promotions.
pub trait Promoter: Send + Sync + 'static {
    /// Sends an order, unless it is no longer valid by then.
    ///
    /// The order arrives within [`ORDER_LIFETIME`] of its sending or never, also if this
    /// process is suspended or ends, or drops the future.
    fn promote(&self, order: Order<'_>) -> impl Future<Output = Result<(), Error>> + Send;
}
