//! What can end a stand-in.

use miette::Diagnostic;
use std::net::SocketAddr;
use thiserror::Error;

/// A failure that ends the process.
#[derive(Debug, Diagnostic, Error)]
pub enum Error {
    /// The command line is wrong.
    #[error("the command line is wrong")]
    #[diagnostic(help("agate-standin --help lists the options"))]
    CommandLine(#[from] lexopt::Error),
    /// A needed option is missing.
    #[error("the option {0} is missing")]
    #[diagnostic(help("agate-standin --help lists the options"))]
    Missing(&'static str),
    /// An address is taken.
    #[error("the address {address} can't be used")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The database can't be opened.
    #[error("the database failed")]
    Database(#[from] rusqlite::Error),
    /// Input or output failed.
    #[error("input or output failed")]
    Io(#[from] std::io::Error),
}
