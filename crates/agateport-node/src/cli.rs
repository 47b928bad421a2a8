//! The command line.

use crate::error::Error;
use lexopt::{Arg, Parser, ValueExt};
use std::path::PathBuf;

/// Text of `--help`.
pub const HELP: &str = "\
The node of agateport on an entry VM.

Usage:
  agateport SETTINGS
  agateport --check SETTINGS
  agateport --print-settings SETTINGS

Options:
  --check             check the settings file and exit
  --print-settings    print every setting, defaults among them, and exit
";

/// What the process is to do.
#[derive(Debug)]
pub enum Command {
    /// Print the help.
    Help,
    /// Check a settings file.
    Check(PathBuf),
    /// Print all settings.
    Print(PathBuf),
    /// Run the node.
    Run(PathBuf),
}

/// Reads the command line.
///
/// # Errors
///
/// [`Error`] if an argument is unknown or the settings file isn't named.
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
