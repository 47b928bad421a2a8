//! Exit codes of the process.

use crate::error::Error;

/// Exit code of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// The command succeeded.
    Success,
    /// The SQLite database cannot be opened, or an operation on a socket or file
    /// failed.
    Failure,
    /// The command line is invalid.
    Usage,
    /// An address cannot be bound.
    Address,
}

impl From<&Error> for ExitCode {
    fn from(error: &Error) -> Self {
        match error {
            Error::CommandLine(_) | Error::Missing(_) => Self::Usage,
            Error::Bind { .. } => Self::Address,
            Error::Database(_) | Error::Io(_) => Self::Failure,
        }
    }
}

impl From<ExitCode> for std::process::ExitCode {
    fn from(code: ExitCode) -> Self {
        match code {
            ExitCode::Success => 0,
            ExitCode::Failure => 1,
            ExitCode::Usage => 2,
            ExitCode::Address => 3,
        }
        .into()
    }
}
