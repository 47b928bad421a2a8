//! The exit codes.

use crate::error::Error;

/// How the process ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// All went well.
    Success,
    /// A file or certificate can't be used.
    Failure,
    /// The command line is wrong.
    Usage,
    /// The bundle is wrong.
    Bundle,
    /// Another bundle is in force.
    Superseded,
    /// The platform or a node gave no answer; nothing was changed.
    Unreachable,
    /// The platform gave no answer; the bundle may be in force or not.
    Unknown,
    /// A node is behind or gave no answer.
    Behind,
    /// A node refused.
    Refused,
}

impl From<&Error> for ExitCode {
    fn from(error: &Error) -> Self {
        match error {
            Error::Address(_)
            | Error::CommandLine(_)
            | Error::Missing(_)
            | Error::Unexpected(_) => Self::Usage,
            Error::Certificate(_) | Error::Content { .. } | Error::File { .. } | Error::Wire(_) => {
                Self::Failure
            }
            Error::Behind(_) => Self::Behind,
            Error::Refused(_) => Self::Refused,
            Error::Unknown => Self::Unknown,
            Error::Bundle(_) => Self::Bundle,
            Error::Superseded(_) => Self::Superseded,
            Error::Node { .. } | Error::Platform(_) | Error::Resolve { .. } | Error::Unreadable => {
                Self::Unreachable
            }
        }
    }
}

impl From<ExitCode> for std::process::ExitCode {
    fn from(code: ExitCode) -> Self {
        match code {
            ExitCode::Success => 0,
            ExitCode::Failure => 1,
            ExitCode::Usage => 2,
            ExitCode::Bundle => 3,
            ExitCode::Superseded => 4,
            ExitCode::Unreachable => 5,
            ExitCode::Unknown => 6,
            ExitCode::Behind => 7,
            ExitCode::Refused => 8,
        }
        .into()
    }
}
