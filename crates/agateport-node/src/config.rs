//! Settings of a node, read from a TOML file.

use crate::error::Error;
use agateport_domain::bundle::{Operator, Trust};
use agateport_domain::membership::{Member, State};
use agateport_domain::prelude::*;
use agateport_wire::stream::Acceptor;
use ed25519_dalek::VerifyingKey;
use serde::{Deserialize, Serialize};
use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// How servers are shared among the nodes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Sharing {
    /// Every node connects to every server and uses an even share of its slots and
    /// connections.
    Even,
    /// One owner for each server, chosen by rendezvous hashing.
    #[default]
    Rendezvous,
}

/// Files of the certificate and key that authenticate a node to its peers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// Certificate of the authority that signs the certificates of all nodes.
    pub authority: PathBuf,
    /// Certificate of this node; its DNS name must be the name of the node.
    pub certificate: PathBuf,
    /// Private key of this node's certificate.
    pub key: PathBuf,
}

/// Files of the certificate and key of TLS connections with callers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallerTls {
    /// Certificate chain, without the root.
    pub certificate: PathBuf,
    /// Private key of the certificate.
    pub key: PathBuf,
}

/// A peer to contact while the platform's list of VMs is unavailable.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Seed {
    /// Name of the peer.
    pub name: NodeId,
    /// Availability zone of its VM.
    pub zone: Zone,
    /// Address on which it accepts peers.
    pub address: SocketAddr,
}

impl Seed {
    /// Returns the peer as a member, which is assumed to be live.
    #[must_use]
    pub fn member(&self) -> Member {
        Member {
            name: self.name.clone(),
            zone: self.zone.clone(),
            address: self.address,
            state: State::Live,
            incarnation: 0,
        }
    }
}

/// The settings of a node.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name of the node, unique in the deployment.
    pub name: NodeId,
    /// Availability zone of the node's VM.
    pub zone: Zone,
    /// Address on which the node accepts callers.
    pub callers: SocketAddr,
    /// Address on which the node accepts peers.
    pub peers: SocketAddr,
    /// Address of the HTTP server for status, readiness and drain orders.
    pub admin: SocketAddr,
    /// Address of the platform's HTTP server.
    pub platform: SocketAddr,
    /// Address of a statsd server for metrics; `None` sends no metrics.
    pub statsd: Option<SocketAddr>,
    /// Files with the public keys of the operators, in hexadecimal. The file stem is
    /// the name of the operator.
    pub operators: Vec<PathBuf>,
    /// Files with revoked public keys, whose signatures are ignored.
    #[serde(default)]
    pub revoked: Vec<PathBuf>,
    /// Number of operators that must sign a bundle.
    #[serde(default = "default_threshold")]
    pub threshold: usize,
    /// Peers to contact while the platform's list of VMs is unavailable.
    #[serde(default, rename = "seed")]
    pub seeds: Vec<Seed>,
    /// How servers are shared among the nodes.
    #[serde(default)]
    pub sharing: Sharing,
    /// Time for open requests and transactions to finish when the node drains.
    #[serde(default = "default_drain", with = "humantime_serde")]
    pub drain: Duration,
    /// Time for which an open transaction may be idle before its caller is
    /// disconnected.
    #[serde(default = "default_idle_in_transaction", with = "humantime_serde")]
    pub idle_in_transaction: Duration,
    /// Certificate and key for peer connections.
    pub tls: Tls,
    /// Certificate and key for connections of callers; `None` refuses TLS.
    pub caller_tls: Option<CallerTls>,
}

/// Default of [`Config::idle_in_transaction`].
const DEFAULT_IDLE_IN_TRANSACTION: Duration = Duration::from_mins(1);

fn default_idle_in_transaction() -> Duration {
    DEFAULT_IDLE_IN_TRANSACTION
}

/// Default of [`Config::drain`].
const DEFAULT_DRAIN: Duration = Duration::from_secs(10);

/// Default of [`Config::threshold`].
const DEFAULT_THRESHOLD: usize = 1;

fn default_threshold() -> usize {
    DEFAULT_THRESHOLD
}

fn default_drain() -> Duration {
    DEFAULT_DRAIN
}

impl Config {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// [`Error`] if the file cannot be read, or a setting is unknown, missing or invalid.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(|source| Error::SettingsFile {
            path: path.to_owned(),
            source,
        })?;
        let config: Self =
            toml::from_str(&text).map_err(|error| Error::settings(path, &text, &error))?;
        config.trust()?;
        Ok(config)
    }

    /// Returns the TLS acceptor for callers, or `None` if [`Config::caller_tls`] is
    /// unset.
    ///
    /// # Errors
    ///
    /// [`Error`] if a certificate or key cannot be loaded.
    pub fn acceptor(&self) -> Result<Option<Acceptor>, Error> {
        let files = self.caller_tls.as_ref();
        let acceptor = files.map(|files| Acceptor::load(&files.certificate, &files.key));
        acceptor.transpose().map_err(Error::Identity)
    }

    /// Returns the trusted operators and the number of signatures that a bundle needs.
    ///
    /// # Errors
    ///
    /// [`Error`] if a key file cannot be read or is malformed, or the threshold
    /// is zero or exceeds the number of operators whose keys are not revoked.
    pub fn trust(&self) -> Result<Trust, Error> {
        let operators = self.operators.iter().map(|path| {
            let name = path.file_stem().unwrap_or_default();
            Ok(Operator {
                name: name.to_string_lossy().into_owned(),
                key: read_key(path)?,
            })
        });
        let operators = operators.collect::<Result<Vec<_>, Error>>()?;
        let revoked = self.revoked.iter().map(|path| read_key(path));
        let revoked = revoked.collect::<Result<Vec<_>, Error>>()?;
        Trust::new(operators, &revoked, self.threshold).map_err(Error::Trust)
    }
}

fn read_key(path: &Path) -> Result<VerifyingKey, Error> {
    let invalid = || Error::OperatorKey(path.to_owned());
    let text = std::fs::read_to_string(path).map_err(|_| invalid())?;
    let bytes = decode_hex(text.trim()).ok_or_else(invalid)?;
    VerifyingKey::from_bytes(&bytes).map_err(|_| invalid())
}

impl Display for Config {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let text = toml::to_string_pretty(self).map_err(|_| fmt::Error)?;
        formatter.write_str(&text)
    }
}

fn decode_hex(text: &str) -> Option<[u8; 32]> {
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    let mut bytes = [0; 32];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(bytes)
}
