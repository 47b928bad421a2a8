//! Errors that end the process.

use miette::Diagnostic;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Error that ends the process.
#[derive(Debug, Diagnostic, Error)]
pub enum Error {
    /// The command line is invalid.
    #[error("invalid command line")]
    #[diagnostic(help("run `agatectl --help` for usage"))]
    CommandLine(#[from] lexopt::Error),
    /// A required argument is missing.
    #[error("missing argument {0}")]
    #[diagnostic(help("run `agatectl --help` for usage"))]
    Missing(&'static str),
    /// An argument is unknown or superfluous.
    #[error("unexpected argument {0:?}")]
    #[diagnostic(help("run `agatectl --help` for usage"))]
    Unexpected(String),
    /// An argument is not an address.
    #[error("invalid address {0:?}, expected IP:PORT")]
    Address(String),
    /// A file cannot be read or written.
    #[error("failed to read or write {path}")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A file is malformed.
    #[error("{path} is not {expected}")]
    Content {
        /// Path of the file.
        path: PathBuf,
        /// Description of the expected content.
        expected: &'static str,
    },
    /// A bundle is invalid, or lacks valid signatures.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Bundle(#[from] agateport_domain::bundle::Error),
    /// A signed bundle or order cannot be encoded or decoded.
    #[error("failed to encode or decode a signed bundle or order")]
    Wire(#[from] agateport_wire::Error),
    /// A certificate cannot be generated.
    #[error("failed to generate a certificate")]
    Certificate(#[from] rcgen::Error),
    /// Another bundle of the same or a higher version is in force.
    #[error("version {0} is in force already")]
    #[diagnostic(help(
        "give the bundle a higher version; `agatectl status` shows the one in force"
    ))]
    Superseded(u64),
    /// The bundle in force cannot be read from the platform.
    #[error("failed to read the bundle in force from the platform; nothing was changed")]
    Unreadable,
    /// The platform did not confirm whether the bundle is in force.
    #[error("failed to determine whether the bundle is in force")]
    #[diagnostic(help("roll it again once the platform responds; a repeated roll is harmless"))]
    Unknown,
    /// A request to the platform failed.
    #[error("request to the platform failed")]
    Platform(#[from] agateport_wire::platform::Error),
    /// This number of nodes do not respond, have no bundle, or have an older bundle
    /// than another node.
    #[error("{0} node(s) are behind or give no answer")]
    Behind(usize),
    /// A node refused an order, for the given reason.
    #[error("the node refused the order: {0}")]
    Refused(String),
    /// The outcome of a write cannot be resolved.
    #[error("failed to resolve the outcome of key {key:?}")]
    #[diagnostic(help("retry, or query another node: the outcome stays the same"))]
    Resolve {
        /// Idempotency key of the write.
        key: String,
        /// Error of the connection or of the query.
        source: agateport_wire::Error,
    },
    /// A node did not respond.
    #[error("the node at {address} did not respond")]
    Node {
        /// Admin address of the node.
        address: SocketAddr,
        /// Error of the HTTP client.
        source: reqwest::Error,
    },
}

impl Error {
    /// Returns a function that adds the file's path to an I/O error.
    pub fn file(path: &Path) -> impl FnOnce(std::io::Error) -> Self + use<> {
        let path = path.to_owned();
        move |source| Self::File { path, source }
    }
}
