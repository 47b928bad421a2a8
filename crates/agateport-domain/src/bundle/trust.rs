//! The operators whose signatures are trusted.

use super::Error;
use ed25519_dalek::{Signature, Verifier, VerifyingKey};

/// An operator with its public key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Operator {
    /// Name of the operator.
    pub name: String,
    /// Ed25519 public key of the operator.
    pub key: VerifyingKey,
}

/// The trusted operators, and the number of signatures that a bundle needs.
#[derive(Clone, Debug)]
pub struct Trust {
    operators: Vec<Operator>,
    threshold: usize,
}

impl Trust {
    /// Creates the set of trusted `operators`, except those whose keys are
    /// `revoked`.
    ///
    /// # Errors
    ///
    /// [`Error::Threshold`] if `threshold` is zero or higher than the number of
    /// remaining operators.
    pub fn new(
        operators: Vec<Operator>,
        revoked: &[VerifyingKey],
        threshold: usize,
    ) -> Result<Self, Error> {
        let mut trusted: Vec<Operator> = Vec::new();
        for operator in operators {
            let is_duplicate = trusted.iter().any(|known| known.key == operator.key);
            if !is_duplicate && !revoked.contains(&operator.key) {
                trusted.push(operator);
            }
        }
        if threshold == 0 || threshold > trusted.len() {
            return Err(Error::Threshold {
                threshold,
                operators: trusted.len(),
            });
        }
        Ok(Self {
            operators: trusted,
            threshold,
        })
    }

    /// Returns the number of signatures that a bundle needs.
    #[must_use]
    pub fn threshold(&self) -> usize {
        self.threshold
    }

    /// Returns the trusted operator with this key if the signature over `bytes`
    /// is valid.
    #[must_use]
    pub fn signer(&self, key: &[u8; 32], bytes: &[u8], signature: &[u8]) -> Option<&Operator> {
        let operator = self
            .operators
            .iter()
            .find(|operator| operator.key.as_bytes() == key)?;
        let signature = Signature::from_slice(signature).ok()?;
        operator.key.verify(bytes, &signature).ok()?;
        Some(operator)
    }
}
