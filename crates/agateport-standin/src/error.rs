//! Errors that end the process.

use miette::Diagnostic;
use std::net::SocketAddr;
use thiserror::Error;

/// An error that ends the process.
#[derive(Debug, Diagnostic, Error)]
pub enum Error {
    /// The command line is invalid.
    #[error("invalid command line")]
    #[diagnostic(help("agate-standin --help lists the options"))]
    CommandLine(#[from] lexopt::Error),
    /// A required option is missing.
    #[error("missing required option {0}")]
    #[diagnostic(help("agate-standin --help lists the options"))]
    Missing(&'static str),
    /// An address cannot be bound.
    #[error("cannot listen on {address}")]
    Bind {
        /// Address from the command line.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The SQLite database cannot be opened.
    #[error("cannot open the SQLite database")]
    Database(#[from] rusqlite::Error),
    /// An operation on a socket or file failed.
    #[error("I/O error")]
    Io(#[from] std::io::Error),
}
