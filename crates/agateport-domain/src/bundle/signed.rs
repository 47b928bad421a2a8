//! A bundle's bytes with the operators' signatures.

use super::{Bundle, Error, Revision, Trust};
use ed25519_dalek::{Signer, SigningKey};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeSet;
use std::fmt::Write;

/// One operator's signature.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Signature {
    /// Public key of the operator.
    pub key: [u8; 32],
    /// The signature proper.
    pub signature: Vec<u8>,
}

/// A bundle as it is kept and spread: bytes as they were signed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Signed {
    /// TOML text of the bundle.
    pub text: String,
    /// Signatures over the text.
    pub signatures: Vec<Signature>,
}

impl Signed {
    /// Signs a text.
    #[must_use]
    pub fn new(text: String, key: &SigningKey) -> Self {
        let mut signed = Self {
            text,
            signatures: Vec::new(),
        };
        signed.sign(key);
        signed
    }

    /// Adds a signature; one by the same key is replaced.
    pub fn sign(&mut self, key: &SigningKey) {
        let public = key.verifying_key().to_bytes();
        self.signatures.retain(|signature| signature.key != public);
        self.signatures.push(Signature {
            key: public,
            signature: key.sign(self.text.as_bytes()).to_vec(),
        });
    }

    /// Takes over the signatures of the same text that this one lacks.
    pub fn merge(&mut self, other: &Self) {
        if other.text != self.text {
            return;
        }
        for signature in &other.signatures {
            if !self.signatures.contains(signature) {
                self.signatures.push(signature.clone());
            }
        }
    }

    /// Returns the SHA-256 digest of the text, in hexadecimal.
    #[must_use]
    pub fn digest(&self) -> String {
        let digest = Sha256::digest(self.text.as_bytes());
        digest.iter().fold(String::new(), |mut hex, byte| {
            // Writing to a string can't fail.
            let _ = write!(hex, "{byte:02x}");
            hex
        })
    }

    /// Returns the names of the operators whose signatures are valid.
    #[must_use]
    pub fn signers(&self, trust: &Trust) -> BTreeSet<String> {
        let signers = self.signatures.iter().filter_map(|one| {
            let signer = trust.signer(&one.key, self.text.as_bytes(), &one.signature)?;
            Some(signer.name.clone())
        });
        signers.collect()
    }

    /// Checks the signatures and reads the bundle.
    ///
    /// # Errors
    ///
    /// [`Error`] if too few operators signed the text, or it isn't a bundle.
    pub fn verify(&self, trust: &Trust) -> Result<(Revision, Bundle), Error> {
        let keys = self.signatures.iter().filter_map(|one| {
            trust.signer(&one.key, self.text.as_bytes(), &one.signature)?;
            Some(one.key)
        });
        let valid = keys.collect::<BTreeSet<_>>().len();
        if valid < trust.threshold() {
            return Err(Error::NotSigned {
                valid,
                threshold: trust.threshold(),
            });
        }
        let bundle = Bundle::parse(&self.text)?;
        let revision = Revision {
            version: bundle.version,
            digest: self.digest(),
        };
        Ok((revision, bundle))
    }
}
