//! What can end a node.

use miette::{Diagnostic, NamedSource, SourceSpan};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// A failure that ends the process.
#[derive(Debug, Diagnostic, Error)]
pub enum Error {
    /// The command line is wrong.
    #[error("the command line is wrong")]
    #[diagnostic(help("agateport --help lists the options"))]
    CommandLine(#[from] lexopt::Error),
    /// No settings file is named.
    #[error("the settings file is missing")]
    #[diagnostic(help("agateport --help shows how to name it"))]
    NoSettings,
    /// The settings file can't be read.
    #[error("the settings file {path} can't be read")]
    SettingsFile {
        /// Path of the file.
        path: PathBuf,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// A setting is unknown or wrong.
    #[error("the settings are wrong: {message}")]
    Settings {
        /// What is wrong.
        message: String,
        /// The file.
        #[source_code]
        file: NamedSource<String>,
        /// Where it is wrong.
        #[label("here")]
        span: Option<SourceSpan>,
    },
    /// An operator's key isn't one.
    #[error("the file {0} holds no public key of 64 hexadecimal digits")]
    OperatorKey(PathBuf),
    /// The number of signatures can't be reached.
    #[error("the threshold of signatures is wrong")]
    Trust(#[source] agateport_domain::bundle::Error),
    /// An address is taken.
    #[error("the address {address} can't be used")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// Certificates or keys can't be used, or the socket for peers can't be
    /// opened.
    #[error("the socket for peers can't be opened")]
    Peers(#[source] agateport_wire::Error),
    /// A certificate or key file can't be used.
    #[error("the certificates can't be used")]
    Identity(#[source] agateport_wire::Error),
    /// The platform's client can't start.
    #[error("the platform's client can't start")]
    Platform(#[from] agateport_wire::platform::Error),
    /// Input or output failed.
    #[error("input or output failed")]
    Io(#[from] std::io::Error),
}

impl Error {
    /// Builds the error for a settings file that can't be understood.
    pub fn settings(path: &Path, text: &str, error: &toml::de::Error) -> Self {
        Self::Settings {
            message: error.message().to_owned(),
            file: NamedSource::new(path.display().to_string(), text.to_owned()),
            span: error.span().map(SourceSpan::from),
        }
    }
}
