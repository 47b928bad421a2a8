//! Reasons why a request is refused, and invalid transitions of its state.

use super::State;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use thiserror::Error;

/// A transition that the state of the request does not allow.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("invalid transition of a request in the state {state:?}")]
pub struct Error {
    /// State that the request was in.
    pub state: State,
}

/// Reason why a request was refused before it ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The server is not, or is no longer, the primary.
    NotPrimary,
    /// The server has not reached the session's watermark.
    Behind,
    /// The age of the replica's data is unknown or over the limit.
    Stale,
    /// The queue of the server is full.
    QueueFull,
    /// The target latency of the priority cannot be met.
    TargetMissed,
    /// No connection to the upstream could be opened.
    UpstreamUnreachable,
    /// No node that owns the server could be reached.
    OwnerUnreachable,
    /// The group or server is not in the bundle in force.
    UnknownServer,
    /// No bundle is in force yet.
    NoBundle,
    /// The node or upstream is shutting down.
    Leaving,
    /// The read returned writes that a failover could still lose.
    Unsettled,
    /// The idempotency key was used for another write.
    KeyReused,
    /// The idempotency key was settled as not run.
    KeySettled,
    /// A keyed write has more than one statement or is inside a transaction.
    KeyMisplaced,
    /// Too few servers answered to determine the last acknowledged write.
    NoReadIndex,
    /// The upstream rejected a setting of the session.
    Setting,
    /// The priority is not in the bundle in force.
    UnknownPriority,
    /// The owner refuses most requests of this priority.
    Flooded,
}

impl Reason {
    /// Returns the name used in metrics and error messages.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NotPrimary => "not_primary",
            Self::Behind => "behind",
            Self::Stale => "stale",
            Self::QueueFull => "queue_full",
            Self::TargetMissed => "target_missed",
            Self::UpstreamUnreachable => "upstream_unreachable",
            Self::OwnerUnreachable => "owner_unreachable",
            Self::UnknownServer => "unknown_server",
            Self::NoBundle => "no_bundle",
            Self::Leaving => "leaving",
            Self::Unsettled => "unsettled",
            Self::KeyReused => "key_reused",
            Self::KeySettled => "key_settled",
            Self::KeyMisplaced => "key_misplaced",
            Self::NoReadIndex => "no_read_index",
            Self::Setting => "setting",
            Self::UnknownPriority => "unknown_priority",
            Self::Flooded => "flooded",
        }
    }

    /// Returns whether the reason proves that no earlier attempt ran either.
    #[must_use]
    pub fn is_conclusive(self) -> bool {
        matches!(self, Self::KeyReused | Self::KeySettled)
    }

    /// Returns whether a retry, at this or another server, may succeed.
    #[must_use]
    pub fn is_transient(self) -> bool {
        match self {
            Self::Behind
            | Self::Leaving
            | Self::NoReadIndex
            | Self::NotPrimary
            | Self::OwnerUnreachable
            | Self::Stale
            | Self::Unsettled
            | Self::UpstreamUnreachable => true,
            Self::KeyMisplaced
            | Self::KeyReused
            | Self::KeySettled
            | Self::NoBundle
            | Self::QueueFull
            | Self::Setting
            | Self::TargetMissed
            | Self::Flooded
            | Self::UnknownPriority
            | Self::UnknownServer => false,
        }
    }
}

/// A request that certainly did not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
#[error("not run: {}", reason.name())]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: Reason,
    /// Time to wait before a retry, if it is known.
    pub retry_after: Option<Duration>,
}

impl From<Reason> for Refusal {
    fn from(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }
}
