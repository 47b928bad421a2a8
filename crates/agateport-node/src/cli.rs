//! The command line.

use crate::error::Error;
use lexopt::{Arg, Parser, ValueExt};
use std::path::PathBuf;

/// Text of `--help`.
pub const HELP: &str = "\
A node of the agateport database proxy, on an entry VM.

Usage:
  agateport SETTINGS
  agateport --check SETTINGS
  agateport --print-settings SETTINGS

Options:
  --check             check the settings file and exit
  --print-settings    print all settings, including defaults, and exit
";

/// A command of the process.
#[derive(Debug)]
pub enum Command {
    /// Print the help text.
    Help,
    /// Load and check a settings file.
    Check(PathBuf),
    /// Print all settings of a settings file, including defaults.
    Print(PathBuf),
    /// Run the node with a settings file.
    Run(PathBuf),
}

/// Parses the command line.
///
/// # Errors
///
/// [`Error`] if an argument is unknown or the path of the settings file is missing.
pub fn parse(mut parser: Parser) -> Result<Command, Error> {
    let mut path = None;
    let mut command: fn(PathBuf) -> Command = Command::Run;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => return Ok(Command::Help),
            Arg::Long("check") => command = Command::Check,
            Arg::Long("print-settings") => command = Command::Print,
            Arg::Value(value) if path.is_none() => path = Some(value.parse()?),
            other => return Err(other.unexpected().into()),
        }
    }
    path.map(command).ok_or(Error::NoSettings)
}
