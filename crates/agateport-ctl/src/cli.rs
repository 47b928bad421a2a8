//! The command line.

use crate::error::Error;
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
  agatectl status [--json] IP:PORT...

Commands:
  check      check a bundle
  servers    list the servers of a bundle, one a line
  keygen     make keys: of the authority, of a node, or of an operator
  sign       sign a bundle
  roll       put a signed bundle in force
  status     show what nodes say of themselves, by their admin addresses
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
    /// Show what nodes say of themselves.
    Status {
        /// Admin addresses of the nodes.
        admins: Vec<SocketAddr>,
        /// Whether to print JSON.
        json: bool,
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

    fn end(mut self) -> Result<(), Error> {
        match self.words.next() {
            None => Ok(()),
            Some(word) => Err(Error::Surplus(word)),
        }
    }
}

/// Reads the command line.
///
/// # Errors
///
/// [`Error`] if an argument is unknown, wrong, missing or one too many.
pub fn parse(mut parser: Parser) -> Result<Command, Error> {
    let mut words = Vec::new();
    let mut json = false;
    let mut key = None;
    let mut output = None;
    let mut platform = None;
    let mut operators = Vec::new();
    let mut threshold = 1;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => return Ok(Command::Help),
            Arg::Long("json") => json = true,
            Arg::Long("key") => key = Some(parser.value()?.parse()?),
            Arg::Long("operator") => operators.push(parser.value()?.parse()?),
            Arg::Long("threshold") => threshold = parser.value()?.parse()?,
            Arg::Long("output") => output = Some(parser.value()?.parse()?),
            Arg::Long("platform") => platform = Some(parser.value()?.parse()?),
            Arg::Value(value) => words.push(value.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let mut words = Words {
        words: words.into_iter(),
    };
    let command = match words.next("COMMAND")?.as_str() {
        "check" => Command::Check {
            bundle: words.path("BUNDLE")?,
        },
        "servers" => Command::Servers {
            bundle: words.path("BUNDLE")?,
        },
        "keygen" => keygen(&mut words)?,
        "sign" => Command::Sign {
            bundle: words.path("BUNDLE")?,
            key: key.ok_or(Error::Missing("--key"))?,
            output: output.ok_or(Error::Missing("--output"))?,
        },
        "roll" => Command::Roll {
            signed: words.path("SIGNED")?,
            platform: platform.ok_or(Error::Missing("--platform"))?,
            operators,
            threshold,
        },
        "status" => Command::Status {
            admins: addresses(&mut words)?,
            json,
        },
        other => return Err(Error::Surplus(other.to_owned())),
    };
    words.end()?;
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

fn addresses(words: &mut Words) -> Result<Vec<SocketAddr>, Error> {
    let mut addresses = Vec::new();
    for word in words.words.by_ref() {
        addresses.push(word.parse().map_err(|_| Error::Address(word))?);
    }
    if addresses.is_empty() {
        return Err(Error::Missing("IP:PORT"));
    }
    Ok(addresses)
}
