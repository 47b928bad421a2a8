//! The command line.

use crate::error::Error;
use crate::status::View;
use lexopt::{Arg, Parser, ValueExt};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Text of `--help`.
pub const HELP: &str = "\
The operators' program of agateport.

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
  agatectl drain NODE IP:PORT --key FILE

Commands:
  check      check a bundle
  servers    list the servers of a bundle, one a line
  keygen     make keys: of the authority, of a node, or of an operator
  sign       sign a bundle, or add a signature to a signed one
  roll       put a signed bundle in force
  diff       show what a bundle would change of the one in force
  history    show the last bundles in force
  status     show what nodes say of themselves, by their admin addresses
  drain      make a node finish what it does and end

Exit codes: 1 file, 2 command line, 3 bundle, 4 another bundle is in force,
5 no answer and nothing changed, 6 no answer and the bundle may be in force,
7 a node is behind, 8 a node refused.
";

/// What the process is to do.
#[derive(Debug)]
pub enum Command {
    /// Print the help.
    Help,
    /// Check a bundle.
    Check {
        /// File of the bundle.
        bundle: PathBuf,
    },
    /// List the servers of a bundle.
    Servers {
        /// File of the bundle.
        bundle: PathBuf,
    },
    /// Make an authority's key and certificate.
    KeygenAuthority {
        /// Where the files go.
        directory: PathBuf,
    },
    /// Make a node's key and certificate.
    KeygenNode {
        /// Where the authority's files are and the node's go.
        directory: PathBuf,
        /// Name of the node.
        name: String,
    },
    /// Make an operator's keys.
    KeygenOperator {
        /// Where the files go.
        directory: PathBuf,
        /// Name of the operator.
        name: String,
    },
    /// Sign a bundle.
    Sign {
        /// File of the bundle.
        bundle: PathBuf,
        /// File of the operator's private key.
        key: PathBuf,
        /// Where the signed bundle goes.
        output: PathBuf,
    },
    /// Put a signed bundle in force.
    Roll {
        /// File of the signed bundle.
        signed: PathBuf,
        /// Address of the platform.
        platform: SocketAddr,
        /// Files of the public keys that signatures are checked by.
        operators: Vec<PathBuf>,
        /// Signatures that are needed.
        threshold: usize,
    },
    /// Show what a bundle would change.
    Diff {
        /// File of the bundle.
        bundle: PathBuf,
        /// Address of the platform.
        platform: SocketAddr,
        /// Whether to print JSON.
        json: bool,
    },
    /// Make a node finish what it does and end.
    Drain {
        /// Name of the node.
        node: String,
        /// Admin address of the node.
        address: SocketAddr,
        /// File of the operator's private key.
        key: PathBuf,
    },
    /// Show the last bundles in force.
    History {
        /// Address of the platform.
        platform: SocketAddr,
    },
    /// Show what nodes say of themselves.
    Status {
        /// Admin addresses of the nodes.
        admins: Vec<SocketAddr>,
        /// How to show it.
        view: View,
    },
}

/// The arguments that are not options, in their order.
struct Words {
    words: std::vec::IntoIter<String>,
}

impl Words {
    fn next(&mut self, name: &'static str) -> Result<String, Error> {
        self.words.next().ok_or(Error::Missing(name))
    }

    fn path(&mut self, name: &'static str) -> Result<PathBuf, Error> {
        self.next(name).map(PathBuf::from)
    }

    fn address(&mut self) -> Result<SocketAddr, Error> {
        let word = self.next("IP:PORT")?;
        word.parse().map_err(|_| Error::Address(word))
    }

    fn addresses(&mut self) -> Result<Vec<SocketAddr>, Error> {
        let mut addresses = vec![self.address()?];
        while !self.words.as_slice().is_empty() {
            addresses.push(self.address()?);
        }
        Ok(addresses)
    }

    fn end(mut self) -> Result<(), Error> {
        match self.words.next() {
            None => Ok(()),
            Some(word) => Err(Error::Surplus(word)),
        }
    }
}

/// The options of all commands.
#[derive(Default)]
struct Options {
    json: bool,
    key: Option<PathBuf>,
    operators: Vec<PathBuf>,
    output: Option<PathBuf>,
    platform: Option<SocketAddr>,
    threshold: Option<usize>,
    watch: bool,
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

/// Reads the command line.
///
/// # Errors
///
/// [`Error`] if an argument is unknown, wrong, missing or one too many.
pub fn parse(mut parser: Parser) -> Result<Command, Error> {
    let mut words = Vec::new();
    let mut options = Options::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => return Ok(Command::Help),
            Arg::Long("json") => options.json = true,
            Arg::Long("key") => options.key = Some(parser.value()?.parse()?),
            Arg::Long("operator") => options.operators.push(parser.value()?.parse()?),
            Arg::Long("output") => options.output = Some(parser.value()?.parse()?),
            Arg::Long("platform") => options.platform = Some(parser.value()?.parse()?),
            Arg::Long("threshold") => options.threshold = Some(parser.value()?.parse()?),
            Arg::Long("watch") => options.watch = true,
            Arg::Value(value) => words.push(value.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let mut words = Words {
        words: words.into_iter(),
    };
    let name = words.next("COMMAND")?;
    let command = command(&name, &mut words, options)?;
    words.end()?;
    Ok(command)
}

fn command(name: &str, words: &mut Words, mut options: Options) -> Result<Command, Error> {
    let command = match name {
        "check" => Command::Check {
            bundle: words.path("BUNDLE")?,
        },
        "diff" => Command::Diff {
            bundle: words.path("BUNDLE")?,
            platform: options.platform()?,
            json: options.json,
        },
        "drain" => Command::Drain {
            node: words.next("NODE")?,
            address: words.address()?,
            key: options.key()?,
        },
        "history" => Command::History {
            platform: options.platform()?,
        },
        "keygen" => keygen(words)?,
        "roll" => Command::Roll {
            signed: words.path("SIGNED")?,
            platform: options.platform()?,
            operators: options.operators,
            threshold: options.threshold.unwrap_or(1),
        },
        "servers" => Command::Servers {
            bundle: words.path("BUNDLE")?,
        },
        "sign" => Command::Sign {
            bundle: words.path("BUNDLE")?,
            key: options.key()?,
            output: options.output()?,
        },
        "status" => Command::Status {
            admins: words.addresses()?,
            view: View {
                json: options.json,
                watch: options.watch,
            },
        },
        other => return Err(Error::Surplus(other.to_owned())),
    };
    Ok(command)
}

fn keygen(words: &mut Words) -> Result<Command, Error> {
    let kind = words.next("authority, node or operator")?;
    let directory = words.path("DIRECTORY")?;
    match kind.as_str() {
        "authority" => Ok(Command::KeygenAuthority { directory }),
        "node" => Ok(Command::KeygenNode {
            directory,
            name: words.next("NAME")?,
        }),
        "operator" => Ok(Command::KeygenOperator {
            directory,
            name: words.next("NAME")?,
        }),
        other => Err(Error::Surplus(other.to_owned())),
    }
}
