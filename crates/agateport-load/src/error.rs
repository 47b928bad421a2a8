//! Errors that end the process.

use miette::Diagnostic;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Error that ends the process.
#[derive(Debug, Diagnostic, Error)]
pub enum Error {
    /// The command line is invalid.
    #[error("invalid command line")]
    #[diagnostic(help("run `agate-load --help` for the options"))]
    CommandLine(#[from] lexopt::Error),
    /// A required option is missing.
    #[error("missing option {0}")]
    #[diagnostic(help("run `agate-load --help` for the options"))]
    Missing(&'static str),
    /// A file cannot be read.
    #[error("failed to read {path}")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A profile is malformed.
    #[error("malformed profile {path}")]
    Profile {
        /// Path of the file.
        path: PathBuf,
        /// Error of the parser, with its position.
        source: toml::de::Error,
    },
    /// A JSON file is malformed.
    #[error("malformed JSON in {path}")]
    Json {
        /// Path of the file.
        path: PathBuf,
        /// Error of the parser, with its position.
        source: serde_json::Error,
    },
    /// A profile generates no load because this setting is empty or zero.
    #[error("the profile generates no load: its {0} must not be empty or zero")]
    Empty(&'static str),
    /// The tables of a group cannot be created or read through a node.
    #[error("failed to create or read tables through the node at {address}")]
    Node {
        /// Caller address of the node that was tried last.
        address: SocketAddr,
        /// Error of the PostgreSQL client.
        source: tokio_postgres::Error,
    },
    /// The run violated this number of guarantees.
    #[error("{0} guarantee violation(s)")]
    Violations(usize),
}
