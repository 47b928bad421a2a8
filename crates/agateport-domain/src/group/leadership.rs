//! The stored record of a group's primary.

use super::roster::Roster;
use crate::id::{Fence, ServerId, Term};
use crate::session::Watermark;
use serde::{Deserialize, Serialize};

/// Number of handovers of a group.
pub type Succession = u64;

/// The time of one server as the recorded primary. A server that is recorded again after
/// another one begins a new reign.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reign {
    /// Name of the server.
    pub primary: ServerId,
    /// Number of handovers before it.
    pub succession: Succession,
}

/// The stored record of a group's primary.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Leadership {
    /// Server that is or will become the primary.
    pub primary: ServerId,
    /// Fencing token of the coordinator that wrote the record.
    pub fence: Fence,
    /// Whether all leases of the former primary have expired or been released.
    pub is_settled: bool,
    /// Servers that may be promoted.
    #[serde(default)]
    pub roster: Roster,
    /// Watermark of the primary's log before its promotion, if it was promoted by this
    /// record or its predecessors. Its term begins after that entry or a later one.
    #[serde(default)]
    pub base: Option<Watermark>,
    /// Term in which the primary leads, if it is known. Entries of a term between that of the
    /// base and this one were dropped by a handover.
    #[serde(default)]
    pub term: Option<Term>,
    /// Server whose demotion shows that no server accepts writes any more, while the record
    /// is not settled and if it is known.
    #[serde(default)]
    pub former: Option<ServerId>,
    /// Number of handovers up to this record.
    #[serde(default)]
    pub succession: Succession,
}

impl Leadership {
    /// Returns the reign that the record belongs to.
    #[must_use]
    pub fn reign(&self) -> Reign {
        Reign {
            primary: self.primary.clone(),
            succession: self.succession,
        }
    }
}
