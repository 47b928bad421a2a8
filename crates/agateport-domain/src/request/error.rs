//! Why a request isn't run, and what its life forbids.

use super::State;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use thiserror::Error;

/// A step that the request's state doesn't allow.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the request is {state:?} and can't take this step")]
pub struct Error {
    /// State that the request was in.
    pub state: State,
}

/// Why a request was refused before it ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The server isn't, or is no longer, the primary.
    NotPrimary,
    /// The replica hasn't what the session has seen.
    Behind,
    /// The replica's age isn't known, or is over the limit.
    Stale,
    /// The queue is full.
    QueueFull,
    /// The target can't be met.
    TargetMissed,
    /// No connection to the upstream could be had.
    UpstreamUnreachable,
    /// No node that owns the server could be reached.
    OwnerUnreachable,
    /// The group or server isn't in the bundle in force.
    UnknownServer,
    /// No bundle is in force yet.
    NoBundle,
    /// The node or upstream is leaving.
    Leaving,
    /// What the read has seen may yet be lost in a failover.
    Unsettled,
    /// The key stands for another write.
    KeyReused,
    /// The key was settled as not run.
    KeySettled,
    /// A keyed write is more than one statement, or is inside a transaction.
    KeyMisplaced,
    /// Too few servers answered to tell what was acknowledged before.
    NoReadIndex,
    /// The upstream refused a setting of the session.
    Setting,
    /// The priority isn't in the bundle in force.
    UnknownPriority,
    /// The owner refuses most requests of the priority.
    Flooded,
}

impl Reason {
    /// Returns the name used in metrics and messages.
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

    /// Tells whether the reason proves that no earlier try has run either.
    #[must_use]
    pub fn is_conclusive(self) -> bool {
        matches!(self, Self::KeyReused | Self::KeySettled)
    }

    /// Tells whether another try, here or at another server, may go better.
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
    /// Why it was refused.
    pub reason: Reason,
    /// How long to wait before another try.
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
