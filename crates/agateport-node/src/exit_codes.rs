//! Exit codes of the process.

use crate::error::Error;

/// The result of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// The command succeeded.
    Success,
    /// A failure at run time.
    Failure,
    /// The command line is invalid.
    Usage,
    /// The settings are invalid.
    Settings,
    /// An address cannot be bound.
    Address,
    /// A certificate or key cannot be loaded.
    Certificate,
}

impl From<&Error> for ExitCode {
    fn from(error: &Error) -> Self {
        match error {
            Error::CommandLine(_) | Error::NoSettings => Self::Usage,
            Error::OperatorKey(_)
            | Error::Settings { .. }
            | Error::SettingsFile { .. }
            | Error::Trust(_) => Self::Settings,
            Error::Bind { .. } | Error::Peers(_) => Self::Address,
            Error::Identity(_) => Self::Certificate,
            Error::Io(_) | Error::Platform(_) => Self::Failure,
        }
    }
}

impl From<ExitCode> for std::process::ExitCode {
    fn from(code: ExitCode) -> Self {
        match code {
            ExitCode::Success => 0,
            ExitCode::Failure => 1,
            ExitCode::Usage => 2,
            ExitCode::Settings => 3,
            ExitCode::Address => 4,
            ExitCode::Certificate => 5,
        }
        .into()
    }
}
