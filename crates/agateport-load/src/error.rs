//! What can end the program.

use miette::Diagnostic;
use std::net::SocketAddr;
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
    Broken(usize),
}
