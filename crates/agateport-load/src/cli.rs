//! The command line.

use crate::error::Error;
use lexopt::{Arg, Parser, ValueExt};
use std::net::SocketAddr;
use std::time::Duration;

/// Text of `--help`.
pub const HELP: &str = "\
Callers at a stated rate, and a check of what they were told.

Usage:
  agate-load --node IP:PORT... --group NAME [options]

Options:
  --node IP:PORT     a node's address for callers; may be given several times
  --group NAME       database group to use
  --callers N        callers at once [default: 8]
  --rate N           statements a second of all callers [default: 100]
  --seconds N        time to run [default: 5]
  --seed N           seed of all random choices [default: 1]
  --json             print the report as JSON
";

/// What the process is to do.
#[derive(Debug)]
pub enum Command {
    /// Print the help.
    Help,
    /// Run callers.
    Run(Config),
}

/// What the callers do.
#[derive(Clone, Debug)]
pub struct Config {
    /// Addresses of nodes for callers.
    pub nodes: Vec<SocketAddr>,
    /// Database group to use.
    pub group: String,
    /// Callers at once.
    pub callers: u32,
    /// Statements a second of all callers.
    pub rate: u32,
    /// Time to run.
    pub time: Duration,
    /// Seed of all random choices.
    pub seed: u64,
    /// Whether to print JSON.
    pub json: bool,
}

/// Reads the command line.
///
/// # Errors
///
/// [`Error`] if an argument is unknown, wrong or missing.
pub fn parse(mut parser: Parser) -> Result<Command, Error> {
    let mut group = None;
    let mut config = Config {
        nodes: Vec::new(),
        group: String::new(),
        callers: 8,
        rate: 100,
        time: Duration::from_secs(5),
        seed: 1,
        json: false,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => return Ok(Command::Help),
            Arg::Long("node") => config.nodes.push(parser.value()?.parse()?),
            Arg::Long("group") => group = Some(parser.value()?.string()?),
            Arg::Long("callers") => config.callers = parser.value()?.parse()?,
            Arg::Long("rate") => config.rate = parser.value()?.parse()?,
            Arg::Long("seconds") => config.time = Duration::from_secs(parser.value()?.parse()?),
            Arg::Long("seed") => config.seed = parser.value()?.parse()?,
            Arg::Long("json") => config.json = true,
            other => return Err(other.unexpected().into()),
        }
    }
    config.group = group.ok_or(Error::Missing("--group"))?;
    if config.nodes.is_empty() {
        return Err(Error::Missing("--node"));
    }
    Ok(Command::Run(config))
}
