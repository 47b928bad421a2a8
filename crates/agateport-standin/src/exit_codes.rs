//! The exit codes.

use crate::error::Error;

/// How the process ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// All went well.
    Success,
    /// Something failed while running.
    Failure,
    /// The command line is wrong.
    Usage,
    /// An address is taken.
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
