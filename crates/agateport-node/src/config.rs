//! The settings of a node.

use crate::error::Error;
use agateport_domain::bundle::{Operator, Trust};
use agateport_domain::membership::{Member, State};
use agateport_domain::prelude::*;
use agateport_wire::secure::Acceptor;
use ed25519_dalek::VerifyingKey;
use serde::{Deserialize, Serialize};
use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// How servers are shared among the nodes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Sharing {
    /// Every node connects to every server, with its even part.
    Even,
    /// One owner for each server.
    #[default]
    Rendezvous,
}

/// Files of a node's identity towards its peers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// Certificate of the authority that signs all nodes' certificates.
    pub authority: PathBuf,
    /// Certificate of this node; it must name the node.
    pub certificate: PathBuf,
    /// Private key of this node.
    pub key: PathBuf,
}

/// Files of the certificate that callers see.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallerTls {
    /// Certificate, and those between it and an authority.
    pub certificate: PathBuf,
    /// Private key of the certificate.
    pub key: PathBuf,
}

/// A peer to ask while the platform's list can't be read.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Seed {
    /// Name of the node.
    pub name: NodeId,
    /// Availability zone of its VM.
    pub zone: Zone,
    /// Address for peers.
    pub address: SocketAddr,
}

impl Seed {
    /// Returns the peer as a member that is thought to be live.
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
    /// Name of the node.
    pub name: NodeId,
    /// Availability zone of its VM.
    pub zone: Zone,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for peers.
    pub peers: SocketAddr,
    /// Address for status and readiness.
    pub admin: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Address that metrics go to, as statsd; none sends none.
    pub statsd: Option<SocketAddr>,
    /// Files with the public keys of the operators, in hexadecimal.
    pub operators: Vec<PathBuf>,
    /// Files with public keys whose signatures no longer count.
    #[serde(default)]
    pub revoked: Vec<PathBuf>,
    /// Number of operators who must have signed a bundle.
    #[serde(default = "default_threshold")]
    pub threshold: usize,
    /// Peers to ask while the platform's list can't be read.
    #[serde(default, rename = "seed")]
    pub seeds: Vec<Seed>,
    /// How servers are shared among the nodes.
    #[serde(default)]
    pub sharing: Sharing,
    /// Time that requests get to finish when the node stops.
    #[serde(default = "default_drain", with = "humantime_serde")]
    pub drain: Duration,
    /// Time that a transaction may wait for its caller.
    #[serde(default = "default_idle_in_transaction", with = "humantime_serde")]
    pub idle_in_transaction: Duration,
    /// Files of the node's identity.
    pub tls: Tls,
    /// Files of the certificate that callers see; none refuses TLS.
    pub caller_tls: Option<CallerTls>,
}

/// Time that a transaction may wait for its caller, when the settings don't
/// say.
const DEFAULT_IDLE_IN_TRANSACTION: Duration = Duration::from_mins(1);

fn default_idle_in_transaction() -> Duration {
    DEFAULT_IDLE_IN_TRANSACTION
}

/// Time that requests get to finish when the settings don't say.
const DEFAULT_DRAIN: Duration = Duration::from_secs(10);

/// Number of signatures that a bundle needs when the settings don't say.
const DEFAULT_THRESHOLD: usize = 1;

fn default_threshold() -> usize {
    DEFAULT_THRESHOLD
}

fn default_drain() -> Duration {
    DEFAULT_DRAIN
}

impl Config {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`Error`] if it can't be read, or a setting is unknown or wrong.
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

    /// Returns the node's side of callers' TLS connections.
    ///
    /// # Errors
    ///
    /// [`Error`] if a certificate or key can't be used.
    pub fn acceptor(&self) -> Result<Option<Acceptor>, Error> {
        let files = self.caller_tls.as_ref();
        let acceptor = files.map(|files| Acceptor::load(&files.certificate, &files.key));
        acceptor.transpose().map_err(Error::Identity)
    }

    /// Returns the operators whose signatures count.
    ///
    /// # Errors
    ///
    /// [`Error`] if a file can't be read or isn't a key, or the threshold can't
    /// be reached.
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
