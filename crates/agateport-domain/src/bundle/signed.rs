//! The text of a bundle with the operators' signatures.

use super::{Bundle, Error, Revision, Trust};
use ed25519_dalek::{Signer, SigningKey};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeSet;
use std::fmt::Write;

/// An operator's signature.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Signature {
    /// Ed25519 public key of the operator.
    pub key: [u8; 32],
    /// Ed25519 signature over the text.
    pub signature: Vec<u8>,
}

/// A signed text as it is stored and sent: the exact bytes that were signed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Signed {
    /// Signed text, which is a bundle in TOML or a drain command.
    pub text: String,
    /// Signatures over the text.
    pub signatures: Vec<Signature>,
}

impl Signed {
    /// Creates a text signed with `key`.
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

    /// Adds the missing signatures from `other` if it has the same text.
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
            // Writing to a string cannot fail.
            let _ = write!(hex, "{byte:02x}");
            hex
        })
    }

    /// Returns the names of the operators whose signatures are valid.
    #[must_use]
    pub fn signers(&self, trust: &Trust) -> BTreeSet<String> {
        let signers = self.signatures.iter().filter_map(|signature| {
            let signer =
                trust.signer(&signature.key, self.text.as_bytes(), &signature.signature)?;
            Some(signer.name.clone())
        });
        signers.collect()
    }

    /// Verifies the signatures and parses the bundle.
    ///
    /// # Errors
    ///
    /// [`Error`] if too few operators signed the text, or it is not a valid
    /// bundle.
    pub fn verify(&self, trust: &Trust) -> Result<(Revision, Bundle), Error> {
        let keys = self.signatures.iter().filter_map(|signature| {
            trust.signer(&signature.key, self.text.as_bytes(), &signature.signature)?;
            Some(signature.key)
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
