//! What can end the program.

use miette::Diagnostic;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// A failure that ends the process.
#[derive(Debug, Diagnostic, Error)]
pub enum Error {
    /// The command line is wrong.
    #[error("the command line is wrong")]
    #[diagnostic(help("agatectl --help lists the commands"))]
    CommandLine(#[from] lexopt::Error),
    /// A needed argument is missing.
    #[error("{0} is missing")]
    #[diagnostic(help("agatectl --help lists the commands"))]
    Missing(&'static str),
    /// An argument is unknown or one too many.
    #[error("the argument {0:?} is not expected")]
    #[diagnostic(help("agatectl --help lists the commands"))]
    Unexpected(String),
    /// An argument isn't an address.
    #[error("{0:?} is not an address of the form IP:PORT")]
    Address(String),
    /// A file can't be read or written.
    #[error("the file {path} can't be read or written")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// A file doesn't hold what it should.
    #[error("the file {path} is not {expected}")]
    Content {
        /// Path of the file.
        path: PathBuf,
        /// What it should hold.
        expected: &'static str,
    },
    /// A bundle is wrong, or can't be put in force.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Bundle(#[from] agateport_domain::bundle::Error),
    /// Bytes can't be encoded or decoded.
    #[error("the bytes can't be encoded or decoded")]
    Wire(#[from] agateport_wire::Error),
    /// A certificate can't be made.
    #[error("the certificate can't be made")]
    Certificate(#[from] rcgen::Error),
    /// Another bundle is in force.
    #[error("version {0} is in force already")]
    #[diagnostic(help("give the bundle a higher version, or look at `agatectl status`"))]
    Superseded(u64),
    /// The platform doesn't tell what is in force.
    #[error("the platform doesn't tell what is in force; nothing was changed")]
    Unreadable,
    /// It can't be found out whether the bundle is in force.
    #[error("the platform doesn't tell whether the bundle is in force")]
    #[diagnostic(help("roll it again when the platform answers: that changes nothing twice"))]
    Unknown,
    /// The platform didn't do what it was asked.
    #[error("the platform can't be used")]
    Platform(#[from] agateport_wire::platform::Error),
    /// Nodes give no answer or have an older bundle than others.
    #[error("{0} node(s) are behind or give no answer")]
    Behind(usize),
    /// A node doesn't carry an order out.
    #[error("the node refused: {0}")]
    Refused(String),
    /// What became of a key can't be told.
    #[error("what became of the key {key:?} can't be told")]
    #[diagnostic(help("ask again, or ask another node: the answer stays the same"))]
    Resolve {
        /// Name of the key.
        key: String,
        /// What went wrong.
        source: agateport_wire::Error,
    },
    /// A node gave no answer.
    #[error("the node at {address} gives no answer")]
    Node {
        /// Admin address of the node.
        address: SocketAddr,
        /// What the HTTP library said.
        source: reqwest::Error,
    },
}

impl Error {
    /// Returns a function that names the file in an error of input or output.
    pub fn file(path: &Path) -> impl FnOnce(std::io::Error) -> Self + use<> {
        let path = path.to_owned();
        move |source| Self::File { path, source }
    }
}
