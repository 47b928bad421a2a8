//! Command-line arguments.

use crate::endpoints::Endpoints;
use crate::error::Error;
use crate::profile::Profile;
use lexopt::{Arg, Parser, ValueExt};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Text of `--help`.
pub const HELP: &str = "\
Generates open-loop load and checks the outcomes that callers received.

Usage:
  agate-load --endpoints FILE --profile FILE [options]
  agate-load --node IP:PORT... --group NAME [options]
  agate-load --compare A.json B.json

Target:
  --endpoints FILE   endpoints.json, as written by scripts/up
  --node IP:PORT     address of a node for callers; may be repeated

Load:
  --profile FILE     priorities, arrival rates and mixes, in TOML
  --group NAME       database group to use instead of the profile's; may be
                     repeated
  --callers N        sessions, if no profile is given [default: 8]
  --rate N           arrivals per second, if no profile is given [default: 100]
  --scale X          factor applied to all rates [default: 1]
  --seconds N        duration of the run [default: the profile's, or 5]
  --seed N           seed of all random choices [default: 1]

Output:
  --json             print the report as JSON
  --quiet            print no progress on standard error
  --compare A B      print two JSON reports side by side
";

/// Duration of a run without a profile.
const DEFAULT_TIME: Duration = Duration::from_secs(5);

/// Number of sessions without a profile.
const DEFAULT_CALLERS: usize = 8;

/// Arrivals per second without a profile.
const DEFAULT_RATE: f64 = 100.0;

/// Command selected by the arguments.
#[derive(Debug)]
pub enum Command {
    /// Print the help.
    Help,
    /// Print two reports side by side.
    Compare(Files),
    /// Run callers and check the outcomes that they receive.
    Run(Box<Config>),
}

/// Files of the two reports to compare.
#[derive(Debug)]
pub struct Files {
    /// The report in the left column.
    pub left: PathBuf,
    /// The report in the right column.
    pub right: PathBuf,
}

/// Configuration of a run.
#[derive(Clone, Debug)]
pub struct Config {
    /// Caller addresses of the nodes.
    pub nodes: Vec<SocketAddr>,
    /// Admin addresses of the nodes, queried for their counters.
    pub admins: Vec<SocketAddr>,
    /// Load to generate.
    pub profile: Profile,
    /// Seed of all random choices.
    pub seed: u64,
    /// Whether the report is printed as JSON.
    pub json: bool,
    /// Whether progress lines are suppressed.
    pub quiet: bool,
}

/// Options of the command line, before the files that they name are read.
#[derive(Debug)]
struct Options {
    nodes: Vec<SocketAddr>,
    groups: Vec<String>,
    endpoints: Option<PathBuf>,
    profile: Option<PathBuf>,
    callers: usize,
    rate: f64,
    scale: f64,
    time: Option<Duration>,
    seed: u64,
    json: bool,
    quiet: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            nodes: Vec::new(),
            groups: Vec::new(),
            endpoints: None,
            profile: None,
            callers: DEFAULT_CALLERS,
            rate: DEFAULT_RATE,
            scale: 1.0,
            time: None,
            seed: 1,
            json: false,
            quiet: false,
        }
    }
}

/// Parses the command line and reads the files that it names.
///
/// # Errors
///
/// Returns [`Error`] if an argument is unknown, malformed or missing, or if a
/// file that it names cannot be read.
pub fn parse(mut parser: Parser) -> Result<Command, Error> {
    let mut options = Options::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => return Ok(Command::Help),
            Arg::Long("compare") => {
                let left = parser.value()?.into();
                let right = parser.value()?.into();
                return Ok(Command::Compare(Files { left, right }));
            }
            Arg::Long("endpoints") => options.endpoints = Some(parser.value()?.into()),
            Arg::Long("node") => options.nodes.push(parser.value()?.parse()?),
            Arg::Long("profile") => options.profile = Some(parser.value()?.into()),
            Arg::Long("group") => options.groups.push(parser.value()?.string()?),
            Arg::Long("callers") => options.callers = parser.value()?.parse()?,
            Arg::Long("rate") => options.rate = parser.value()?.parse()?,
            Arg::Long("scale") => options.scale = parser.value()?.parse()?,
            Arg::Long("seconds") => {
                options.time = Some(Duration::from_secs(parser.value()?.parse()?));
            }
            Arg::Long("seed") => options.seed = parser.value()?.parse()?,
            Arg::Long("json") => options.json = true,
            Arg::Long("quiet") => options.quiet = true,
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Command::Run(Box::new(options.config()?)))
}

impl Options {
    fn config(mut self) -> Result<Config, Error> {
        let endpoints = match &self.endpoints {
            Some(path) => Endpoints::load(path)?,
            None => Endpoints::default(),
        };
        let profile = self.profile(&endpoints)?;
        let listed = endpoints.nodes.iter().map(|node| node.address);
        self.nodes.extend(listed);
        if self.nodes.is_empty() {
            return Err(Error::Missing("--node"));
        }
        Ok(Config {
            nodes: self.nodes,
            admins: endpoints
                .nodes
                .iter()
                .filter_map(|node| node.admin)
                .collect(),
            profile,
            seed: self.seed,
            json: self.json,
            quiet: self.quiet,
        })
    }

    fn profile(&self, endpoints: &Endpoints) -> Result<Profile, Error> {
        let mut profile = if let Some(path) = &self.profile {
            Profile::load(path)?
        } else {
            let first = endpoints.groups.first().map(|group| group.name.clone());
            let group = self.groups.first().cloned().or(first);
            let group = group.ok_or(Error::Missing("--group"))?;
            Profile::simple(group, self.rate, self.callers, DEFAULT_TIME)
        };
        if !self.groups.is_empty() {
            profile.groups.clone_from(&self.groups);
        }
        if let Some(time) = self.time {
            profile.time = time;
        }
        profile.scale(self.scale);
        profile.check()?;
        Ok(profile)
    }
}
