//! A bundle's bytes with the operators' signatures.

use super::{Bundle, Error};
use ed25519_dalek::{Signer, SigningKey, Verifier, VerifyingKey};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
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
        let signature = Signature {
            key: key.verifying_key().to_bytes(),
            signature: key.sign(text.as_bytes()).to_vec(),
        };
        Self {
            text,
            signatures: vec![signature],
        }
    }

    /// Returns the SHA-256 digest of the text, in hexadecimal.
    #[must_use]
    pub fn digest(&self) -> String {
        let digest = Sha256::digest(self.text.as_bytes());
        digest.iter().fold(String::new(), |mut hex, byte| {
            let _ = write!(hex, "{byte:02x}");
            hex
        })
    }

    /// Checks the signatures and reads the bundle.
    ///
    /// # Errors
    ///
    /// [`Error`] if no operator of `operators` signed the text, or it isn't a
    /// bundle.
    pub fn open(&self, operators: &[VerifyingKey]) -> Result<Bundle, Error> {
        let is_signed = self.signatures.iter().any(|signature| {
            let operator = operators.iter().find(|key| key.to_bytes() == signature.key);
            let proof = ed25519_dalek::Signature::from_slice(&signature.signature);
            match (operator, proof) {
                (Some(key), Ok(proof)) => key.verify(self.text.as_bytes(), &proof).is_ok(),
                _ => false,
            }
        });
        if !is_signed {
            return Err(Error::NotSigned);
        }
        Bundle::parse(&self.text)
    }
}
