//! What can end the program.

use miette::Diagnostic;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// A failure that ends the process.
#[derive(Debug, Diagnostic, Error)]
pub enum Error {
    /// The command line is wrong.
    #[error("the command line is wrong")]
    #[diagnostic(help("agate-load --help lists the options"))]
    CommandLine(#[from] lexopt::Error),
    /// A needed option is missing.
    #[error("the option {0} is missing")]
    #[diagnostic(help("agate-load --help lists the options"))]
    Missing(&'static str),
    /// A file can't be read.
    #[error("{path} can't be read")]
    File {
        /// The file.
        path: PathBuf,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// A profile can't be read.
    #[error("{path} is no profile")]
    Profile {
        /// The file.
        path: PathBuf,
        /// Where and why.
        source: toml::de::Error,
    },
    /// A JSON file can't be read.
    #[error("{path} can't be read as JSON")]
    Json {
        /// The file.
        path: PathBuf,
        /// Where and why.
        source: serde_json::Error,
    },
    /// A profile leaves nothing to do.
    #[error("the profile's {0} leave nothing to do")]
    Empty(&'static str),
    /// The load can't be prepared or checked.
    #[error("the node at {address} can't be used")]
    Node {
        /// Address of the node for callers.
        address: SocketAddr,
        /// What the driver said.
        source: tokio_postgres::Error,
    },
    /// A promise was broken.
    #[error("{0} promises were broken")]
    Violations(usize),
}
