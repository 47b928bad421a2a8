//! The command line.

use crate::error::Error;
use crate::group;
use crate::platform;
use lexopt::{Arg, Parser, ValueExt};
use std::net::SocketAddr;
use std::time::Duration;

/// Text of `--help`.
pub const HELP: &str = "\
Simulates the platform or one server of a database group, for tests of agateport.

Usage:
  agate-standin group --name NAME --address IP:PORT --admin IP:PORT [options]
  agate-standin platform --address IP:PORT --admin IP:PORT

Options of group, which runs one server of a database group:
  --follow IP:PORT       start as a replica of the server at this address
  --slots N              maximum number of concurrent statements [default: 3]
  --connections N        maximum number of connections [default: 20]
  --connect-cost MS      duration of opening a connection [default: 10]
  --statement-time MS    duration of a statement [default: 1]
  --lag MS               replication lag of a replica [default: 0]
";

/// A command of the process.
#[derive(Debug)]
pub enum Command {
    /// Print the help text.
    Help,
    /// Run one server of a database group.
    Group(group::Config),
    /// Run the platform.
    Platform(platform::Config),
}

/// Parses the command line.
///
/// # Errors
///
/// [`Error`] if an argument is unknown, invalid or missing.
pub fn parse(mut parser: Parser) -> Result<Command, Error> {
    let Some(first) = parser.next()? else {
        return Ok(Command::Help);
    };
    match first {
        Arg::Value(value) if value == "group" => parse_group(parser),
        Arg::Value(value) if value == "platform" => parse_platform(parser),
        Arg::Long("help") | Arg::Short('h') => Ok(Command::Help),
        other => Err(other.unexpected().into()),
    }
}

fn parse_group(mut parser: Parser) -> Result<Command, Error> {
    let mut name = None;
    let mut address = None;
    let mut admin = None;
    let mut config = group::Config::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("name") => name = Some(parser.value()?.string()?),
            Arg::Long("address") => address = Some(parser.value()?.parse()?),
            Arg::Long("admin") => admin = Some(parser.value()?.parse()?),
            Arg::Long("follow") => config.follow = Some(parser.value()?.parse()?),
            Arg::Long("slots") => config.slots = parser.value()?.parse()?,
            Arg::Long("connections") => config.connections = parser.value()?.parse()?,
            Arg::Long("connect-cost") => config.connect_cost = milliseconds(&mut parser)?,
            Arg::Long("statement-time") => config.statement_time = milliseconds(&mut parser)?,
            Arg::Long("lag") => config.lag = milliseconds(&mut parser)?,
            other => return Err(other.unexpected().into()),
        }
    }
    config.name = name.ok_or(Error::Missing("--name"))?;
    config.address = required(address, "--address")?;
    config.admin = required(admin, "--admin")?;
    Ok(Command::Group(config))
}

fn parse_platform(mut parser: Parser) -> Result<Command, Error> {
    let mut address = None;
    let mut admin = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("address") => address = Some(parser.value()?.parse()?),
            Arg::Long("admin") => admin = Some(parser.value()?.parse()?),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Command::Platform(platform::Config {
        address: required(address, "--address")?,
        admin: required(admin, "--admin")?,
    }))
}

fn required(address: Option<SocketAddr>, option: &'static str) -> Result<SocketAddr, Error> {
    address.ok_or(Error::Missing(option))
}

fn milliseconds(parser: &mut Parser) -> Result<Duration, Error> {
    Ok(Duration::from_millis(parser.value()?.parse()?))
}
