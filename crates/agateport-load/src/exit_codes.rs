//! Exit codes of the process.

use crate::error::Error;

/// Exit code of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// The run violated no guarantee.
    Success,
    /// The run violated a guarantee.
    Violations,
    /// The command line or a file that it names is invalid.
    Usage,
    /// The tables of a group could not be created or read.
    Unreachable,
}

impl From<&Error> for ExitCode {
    fn from(error: &Error) -> Self {
        match error {
            Error::Node { .. } => Self::Unreachable,
            Error::Violations(_) => Self::Violations,
            _ => Self::Usage,
        }
    }
}

impl From<ExitCode> for std::process::ExitCode {
    fn from(code: ExitCode) -> Self {
        match code {
            ExitCode::Success => 0,
            ExitCode::Violations => 1,
            ExitCode::Usage => 2,
            ExitCode::Unreachable => 3,
        }
        .into()
    }
}
