//! Command-line arguments.

use crate::error::Error;
use crate::status::View;
use agateport_domain::explanation::Question;
use agateport_domain::prelude::Watermark;
use lexopt::{Arg, Parser, ValueExt};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Text of `--help`.
pub const HELP: &str = "\
Administration tool of agateport.

Usage:
  agatectl check BUNDLE
  agatectl servers BUNDLE
  agatectl keygen authority DIRECTORY
  agatectl keygen node DIRECTORY NAME
  agatectl keygen operator DIRECTORY NAME
  agatectl sign BUNDLE --key FILE --output FILE
  agatectl roll SIGNED --platform IP:PORT [--operator FILE]... [--threshold N]
  agatectl diff BUNDLE --platform IP:PORT [--json]
  agatectl history --platform IP:PORT
  agatectl status [--json] [--watch] IP:PORT...
  agatectl report [--json] IP:PORT...
  agatectl explain DATABASE IP:PORT [--workspace NAME | --key FILE] [--write]
      [--priority NAME] [--max-age MS] [--watermark TERM/POSITION] [--json]
  agatectl drain NODE IP:PORT --key FILE
  agatectl resolve KEY GROUP IP:PORT
  agatectl verifier

Commands:
  check      validate a bundle
  servers    list the servers of a bundle, one per line
  keygen     generate the keys of the authority, a node or an operator
  sign       sign a bundle, or add a signature to a signed one
  roll       put a signed bundle in force
  diff       show the changes of a bundle against the one in force
  history    show the most recent bundles in force
  status     show the status of nodes, given their admin addresses
  report     show the workspaces, servers and refusals of nodes, given their
             admin or metrics addresses
  explain    show where a node would send a request, and why, given its metrics
             address; the key is read from a file, or from standard input if
             FILE is -, and only its digest is sent
  drain      make a node finish its work and exit
  resolve    resolve the outcome of a write by its key, given a node's address
             for callers
  verifier   read a password from standard input and print its verifier for a
             bundle

Exit codes: 1 file error, 2 invalid command line, 3 invalid bundle, 4 another
bundle is in force, 5 no response and nothing changed, 6 no response and the
bundle may be in force, 7 a node is behind or does not respond, 8 a node refused
the order.
";

/// Command selected by the arguments.
#[derive(Debug)]
pub enum Command {
    /// Print the help.
    Help,
    /// Resolve the outcome of a write by its key.
    Resolve {
        /// Idempotency key of the write.
        key: String,
        /// Group that the write was sent to.
        group: String,
        /// Caller address of any node.
        node: SocketAddr,
    },
    /// Validate a bundle.
    Check {
        /// Path of the bundle.
        bundle: PathBuf,
    },
    /// List the servers of a bundle.
    Servers {
        /// Path of the bundle.
        bundle: PathBuf,
    },
    /// Generate the key and certificate of an authority.
    KeygenAuthority {
        /// Directory that the files are written to.
        directory: PathBuf,
    },
    /// Generate the key and certificate of a node.
    KeygenNode {
        /// Directory that holds the authority's files and receives the node's.
        directory: PathBuf,
        /// Name of the node.
        name: String,
    },
    /// Generate the keys of an operator.
    KeygenOperator {
        /// Directory that the files are written to.
        directory: PathBuf,
        /// Name of the operator.
        name: String,
    },
    /// Sign a bundle.
    Sign {
        /// Path of the bundle.
        bundle: PathBuf,
        /// Path of the operator's private key.
        key: PathBuf,
        /// Path that the signed bundle is written to.
        output: PathBuf,
    },
    /// Put a signed bundle in force.
    Roll {
        /// Path of the signed bundle.
        signed: PathBuf,
        /// Address of the platform.
        platform: SocketAddr,
        /// Paths of the operators' public keys that signatures are verified with.
        operators: Vec<PathBuf>,
        /// Number of valid signatures required.
        threshold: usize,
    },
    /// Show the changes of a bundle against the one in force.
    Diff {
        /// Path of the bundle.
        bundle: PathBuf,
        /// Address of the platform.
        platform: SocketAddr,
        /// Whether the changes are printed as JSON.
        json: bool,
    },
    /// Make a node finish its work and exit.
    Drain {
        /// Name of the node.
        node: String,
        /// Admin address of the node.
        address: SocketAddr,
        /// Path of the operator's private key.
        key: PathBuf,
    },
    /// Print the verifier of a password.
    Verifier,
    /// Show the most recent bundles in force.
    History {
        /// Address of the platform.
        platform: SocketAddr,
    },
    /// Show what would happen to a request.
    Explain {
        /// Metrics address of the node.
        address: SocketAddr,
        /// The request, without its key.
        question: Question,
        /// Path of the file with the caller's key.
        key: Option<PathBuf>,
        /// Whether the answer is printed as JSON.
        json: bool,
    },
    /// Show the workspaces, servers and refusals of nodes.
    Report {
        /// Admin or metrics addresses of the nodes.
        addresses: Vec<SocketAddr>,
        /// Whether the reports are printed as JSON.
        json: bool,
    },
    /// Show the status of nodes.
    Status {
        /// Admin addresses of the nodes.
        admins: Vec<SocketAddr>,
        /// Options of the output.
        view: View,
    },
}

/// Positional arguments that have not been consumed yet.
struct Operands {
    operands: std::vec::IntoIter<String>,
}

impl Operands {
    fn next(&mut self, name: &'static str) -> Result<String, Error> {
        self.operands.next().ok_or(Error::Missing(name))
    }

    fn path(&mut self, name: &'static str) -> Result<PathBuf, Error> {
        self.next(name).map(PathBuf::from)
    }

    fn address(&mut self) -> Result<SocketAddr, Error> {
        let operand = self.next("IP:PORT")?;
        operand.parse().map_err(|_| Error::Address(operand))
    }

    fn addresses(&mut self) -> Result<Vec<SocketAddr>, Error> {
        let mut addresses = vec![self.address()?];
        while !self.operands.as_slice().is_empty() {
            addresses.push(self.address()?);
        }
        Ok(addresses)
    }

    fn end(mut self) -> Result<(), Error> {
        match self.operands.next() {
            None => Ok(()),
            Some(operand) => Err(Error::Unexpected(operand)),
        }
    }
}

/// Options of all commands.
#[derive(Default)]
struct Options {
    json: bool,
    key: Option<PathBuf>,
    max_age: Option<u64>,
    operators: Vec<PathBuf>,
    output: Option<PathBuf>,
    platform: Option<SocketAddr>,
    priority: Option<String>,
    threshold: Option<usize>,
    watch: bool,
    watermark: Option<Watermark>,
    workspace: Option<String>,
    write: bool,
}

impl Options {
    fn key(&mut self) -> Result<PathBuf, Error> {
        self.key.take().ok_or(Error::Missing("--key"))
    }

    fn output(&mut self) -> Result<PathBuf, Error> {
        self.output.take().ok_or(Error::Missing("--output"))
    }

    fn platform(&self) -> Result<SocketAddr, Error> {
        self.platform.ok_or(Error::Missing("--platform"))
    }
}

/// Parses the command line.
///
/// # Errors
///
/// Returns [`Error`] if an argument is unknown, malformed, missing or
/// unexpected.
pub fn parse(mut parser: Parser) -> Result<Command, Error> {
    let mut operands = Vec::new();
    let mut options = Options::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => return Ok(Command::Help),
            Arg::Long("json") => options.json = true,
            Arg::Long("key") => options.key = Some(parser.value()?.parse()?),
            Arg::Long("max-age") => options.max_age = Some(parser.value()?.parse()?),
            Arg::Long("operator") => options.operators.push(parser.value()?.parse()?),
            Arg::Long("output") => options.output = Some(parser.value()?.parse()?),
            Arg::Long("platform") => options.platform = Some(parser.value()?.parse()?),
            Arg::Long("priority") => options.priority = Some(parser.value()?.string()?),
            Arg::Long("threshold") => options.threshold = Some(parser.value()?.parse()?),
            Arg::Long("watch") => options.watch = true,
            Arg::Long("watermark") => options.watermark = Some(parser.value()?.parse()?),
            Arg::Long("workspace") => options.workspace = Some(parser.value()?.string()?),
            Arg::Long("write") => options.write = true,
            Arg::Value(value) => operands.push(value.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let mut operands = Operands {
        operands: operands.into_iter(),
    };
    let name = operands.next("COMMAND")?;
    let command = command(&name, &mut operands, options)?;
    operands.end()?;
    Ok(command)
}

fn command(name: &str, operands: &mut Operands, mut options: Options) -> Result<Command, Error> {
    let command = match name {
        "check" => Command::Check {
            bundle: operands.path("BUNDLE")?,
        },
        "diff" => Command::Diff {
            bundle: operands.path("BUNDLE")?,
            platform: options.platform()?,
            json: options.json,
        },
        "drain" => Command::Drain {
            node: operands.next("NODE")?,
            address: operands.address()?,
            key: options.key()?,
        },
        "explain" => explain(operands, options)?,
        "history" => Command::History {
            platform: options.platform()?,
        },
        "keygen" => keygen(operands)?,
        "roll" => Command::Roll {
            signed: operands.path("SIGNED")?,
            platform: options.platform()?,
            operators: options.operators,
            threshold: options.threshold.unwrap_or(1),
        },
        "report" => Command::Report {
            addresses: operands.addresses()?,
            json: options.json,
        },
        "resolve" => Command::Resolve {
            key: operands.next("KEY")?,
            group: operands.next("GROUP")?,
            node: operands.address()?,
        },
        "servers" => Command::Servers {
            bundle: operands.path("BUNDLE")?,
        },
        "sign" => Command::Sign {
            bundle: operands.path("BUNDLE")?,
            key: options.key()?,
            output: options.output()?,
        },
        "status" => Command::Status {
            admins: operands.addresses()?,
            view: View {
                json: options.json,
                watch: options.watch,
            },
        },
        "verifier" => Command::Verifier,
        other => return Err(Error::Unexpected(other.to_owned())),
    };
    Ok(command)
}

fn explain(operands: &mut Operands, options: Options) -> Result<Command, Error> {
    let question = Question {
        database: operands.next("DATABASE")?.into(),
        workspace: options.workspace.map(Into::into),
        key: None,
        is_write: options.write,
        priority: options.priority.map(Into::into),
        max_age_ms: options.max_age,
        watermark: options.watermark,
    };
    Ok(Command::Explain {
        address: operands.address()?,
        question,
        key: options.key,
        json: options.json,
    })
}

fn keygen(operands: &mut Operands) -> Result<Command, Error> {
    let kind = operands.next("authority, node or operator")?;
    let directory = operands.path("DIRECTORY")?;
    match kind.as_str() {
        "authority" => Ok(Command::KeygenAuthority { directory }),
        "node" => Ok(Command::KeygenNode {
            directory,
            name: operands.next("NAME")?,
        }),
        "operator" => Ok(Command::KeygenOperator {
            directory,
            name: operands.next("NAME")?,
        }),
        other => Err(Error::Unexpected(other.to_owned())),
    }
}
