//! What a caller is told of a statement.

use serde::{Deserialize, Serialize};
use tokio_postgres::Error;

/// SQLSTATE for a statement whose outcome isn't known.
const TRANSACTION_RESOLUTION_UNKNOWN: &str = "08007";

/// What a caller is told of a statement.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It ran.
    Done,
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// The connection broke, so it may have run.
    Broken,
    /// It failed at the upstream.
    Failed,
    /// No node could be connected to, so it was never sent.
    Unreachable,
}

impl Outcome {
    /// Tells whether the work may have run although nobody said so.
    #[must_use]
    pub fn is_uncertain(self) -> bool {
        matches!(self, Self::Broken | Self::Unknown)
    }
}

impl From<&Error> for Outcome {
    fn from(error: &Error) -> Self {
        let Some(report) = error.as_db_error() else {
            return Self::Broken;
        };
        if report.code().code() == TRANSACTION_RESOLUTION_UNKNOWN {
            Self::Unknown
        } else if report.message().contains("not run") {
            Self::NotRun
        } else {
            Self::Failed
        }
    }
}

impl<T> From<&Result<T, Error>> for Outcome {
    fn from(result: &Result<T, Error>) -> Self {
        match result {
            Ok(_) => Self::Done,
            Err(error) => error.into(),
        }
    }
}
