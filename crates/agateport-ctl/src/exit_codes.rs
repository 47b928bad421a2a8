//! Exit codes of the process.

use crate::error::Error;

/// Exit code of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// The command succeeded.
    Success,
    /// A file cannot be read or written or is malformed, or a certificate cannot be
    /// generated.
    Failure,
    /// The command line is invalid.
    Usage,
    /// The bundle is invalid, or lacks valid signatures.
    Bundle,
    /// Another bundle of the same or a higher version is in force.
    Superseded,
    /// A request to the platform or a node failed; the command put no bundle in
    /// force.
    Unreachable,
    /// The platform did not respond; the bundle may or may not be in force.
    Unknown,
    /// A node is behind or did not respond.
    Behind,
    /// A node refused an order.
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
