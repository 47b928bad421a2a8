//! What a group's handover waits for.

use serde::{Deserialize, Serialize};
use std::fmt;

/// What has to happen before the next step of a group's handover.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Wait {
    /// Nothing: the recorded server leads.
    Nothing,
    /// A server has to be registered that is not leaving.
    Server,
    /// Registry entries that expired may be back soon.
    Registration,
    /// A server, or a majority of them, has to answer.
    Answers,
    /// Every node has to know the servers that may be promoted.
    Listing,
    /// A server has to be back whose log holds no entries that a handover dropped.
    Branch,
    /// The leases of the former primary have to expire or to be released.
    Leases,
    /// The former primary has to be demoted, or every node has to know its successor.
    Release,
    /// The recorded server has to be promoted.
    Promotion,
    /// The coordinator has to execute a step.
    Coordinator,
}

impl Wait {
    /// Returns the name of the condition, as in logs, metrics and reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Nothing => "nothing",
            Self::Server => "server",
            Self::Registration => "registration",
            Self::Answers => "answers",
            Self::Listing => "listing",
            Self::Branch => "branch",
            Self::Leases => "leases",
            Self::Release => "release",
            Self::Promotion => "promotion",
            Self::Coordinator => "coordinator",
        }
    }
}

impl fmt::Display for Wait {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(self.name())
    }
}
