//! The exit codes.

use crate::error::Error;

/// How the process ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// All went well.
    Success,
    /// A promise was broken.
    Violations,
    /// The command line or a file that it names is wrong.
    Usage,
    /// A node can't be used.
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
