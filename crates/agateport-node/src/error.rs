//! Errors that end the process.

use miette::{Diagnostic, NamedSource, SourceSpan};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// An error that ends the process.
#[derive(Debug, Diagnostic, Error)]
pub enum Error {
    /// The command line is invalid.
    #[error("invalid command line")]
    #[diagnostic(help("agateport --help lists the options"))]
    CommandLine(#[from] lexopt::Error),
    /// The command line has no settings file.
    #[error("no settings file is given")]
    #[diagnostic(help("agateport --help shows the usage"))]
    NoSettings,
    /// The settings file cannot be read.
    #[error("cannot read the settings file {path}")]
    SettingsFile {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A setting is unknown, missing or invalid.
    #[error("invalid settings: {message}")]
    Settings {
        /// Description by the TOML parser.
        message: String,
        /// Path and text of the settings file.
        #[source_code]
        file: NamedSource<String>,
        /// Part of the text that the error refers to.
        #[label("here")]
        span: Option<SourceSpan>,
    },
    /// The file of an operator's key cannot be read or is malformed.
    #[error("cannot read a public key of 64 hexadecimal digits from {0}")]
    OperatorKey(PathBuf),
    /// The signature threshold is zero or exceeds the number of trusted operators.
    #[error("invalid signature threshold")]
    Trust(#[source] agateport_domain::bundle::Error),
    /// A TCP address cannot be bound.
    #[error("cannot listen on {address}")]
    Bind {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The endpoint for peers cannot be configured, or its socket cannot be opened.
    #[error("cannot open the socket for peers")]
    Peers(#[source] agateport_wire::Error),
    /// A certificate or key file cannot be loaded.
    #[error("cannot load the certificates and keys")]
    Identity(#[source] agateport_wire::Error),
    /// The client of the platform cannot be created.
    #[error("cannot create the client of the platform")]
    Platform(#[from] agateport_wire::platform::Error),
    /// Another operation on a socket or signal handler failed.
    #[error("I/O error")]
    Io(#[from] std::io::Error),
}

impl Error {
    /// Builds the error for a settings file that the TOML parser rejects.
    pub fn settings(path: &Path, text: &str, error: &toml::de::Error) -> Self {
        Self::Settings {
            message: error.message().to_owned(),
            file: NamedSource::new(path.display().to_string(), text.to_owned()),
            span: error.span().map(SourceSpan::from),
        }
    }
}
