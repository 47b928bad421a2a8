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
    /// The settings are wrong.
    Settings,
    /// An address is taken.
    Address,
    /// A certificate or key can't be used.
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
