//! Outcome of a statement, as reported to its caller.

use serde::{Deserialize, Serialize};
use tokio_postgres::Error;

/// SQLSTATE of a statement whose outcome is unknown.
const TRANSACTION_RESOLUTION_UNKNOWN: &str = "08007";

/// Outcome of a statement, as reported to its caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The statement ran.
    Done,
    /// The statement was refused and did not run.
    NotRun,
    /// The statement may have run.
    Unknown,
    /// The connection was lost or timed out; the statement may have run.
    Broken,
    /// The upstream returned an error.
    Failed,
    /// No node accepted a connection; the statement was never sent.
    Unreachable,
}

impl Outcome {
    /// Returns whether the statement may or may not have run.
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
