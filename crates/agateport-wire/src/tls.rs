//! Certificates and private key of a node, read from PEM files.

use crate::Error;
use rustls::RootCertStore;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use std::path::Path;

/// The identity with which a node authenticates to its peers.
#[derive(Debug)]
pub struct Identity {
    /// Certificates of the authorities that sign the nodes' certificates.
    pub authorities: RootCertStore,
    /// The certificate of the node, followed by its intermediate certificates.
    pub chain: Vec<CertificateDer<'static>>,
    /// The node's private key.
    pub key: PrivateKeyDer<'static>,
}

impl Identity {
    /// Reads an identity from PEM files.
    ///
    /// # Errors
    ///
    /// [`Error`] if a file cannot be read or parsed.
    pub fn load(authority: &Path, certificate: &Path, key: &Path) -> Result<Self, Error> {
        let mut authorities = RootCertStore::empty();
        for der in load_certificates(authority)? {
            authorities.add(der)?;
        }
        let key = PrivateKeyDer::from_pem_file(key).map_err(|source| Error::Certificate {
            path: key.display().to_string(),
            source,
        })?;
        Ok(Self {
            authorities,
            chain: load_certificates(certificate)?,
            key,
        })
    }
}

pub(crate) fn load_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, Error> {
    let unreadable = |source| Error::Certificate {
        path: path.display().to_string(),
        source,
    };
    CertificateDer::pem_file_iter(path)
        .map_err(unreadable)?
        .collect::<Result<_, _>>()
        .map_err(unreadable)
}
