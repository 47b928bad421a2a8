//! Idempotency keys of writes.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Maximum length of a key's name, in bytes.
const MAX_NAME_LENGTH: usize = 200;

/// An idempotency key with the digest of the write that it identifies.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Key {
    /// Name chosen by the caller.
    pub name: String,
    /// SHA-256 digest of the write's text and parameters, in hexadecimal.
    pub digest: String,
}

/// Operation of a request on an idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Operation {
    /// Run a write and record it under the key.
    Record(Key),
    /// Determine the outcome of the key with this name, and settle it as not run
    /// if no write is recorded, so that none ever is.
    Resolve(String),
}

/// Settled outcome of a keyed write.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The write ran exactly once.
    Done,
    /// The write did not run and never will.
    NotRun,
}

impl Outcome {
    /// Returns the name shown to callers.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not run",
        }
    }
}

/// Meaning of the record found under a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Record {
    /// The write has run.
    Done {
        /// Recorded answer, encoded in the PostgreSQL protocol.
        answer: Vec<u8>,
    },
    /// The key was used for another write.
    Reused,
    /// The key was settled as not run, so its write never runs.
    NotRun,
}

impl Key {
    /// Creates the key of a write from its `parts`: text and parameters.
    #[must_use]
    pub fn new<'a>(name: String, parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update(part.len().to_be_bytes());
            hasher.update(part);
        }
        Self {
            name,
            digest: to_hex(&hasher.finalize()),
        }
    }

    /// Interprets the record found under the key by its digest and answer; the
    /// digest is empty if the key was settled as not run.
    #[must_use]
    pub fn interpret(&self, digest: &str, answer: &str) -> Record {
        if digest.is_empty() {
            return Record::NotRun;
        }
        if digest != self.digest {
            return Record::Reused;
        }
        Record::Done {
            answer: from_hex(answer),
        }
    }
}

/// Returns whether a name may be used as a key.
#[must_use]
pub fn is_valid(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_LENGTH && !name.contains('\0')
}

/// Encodes bytes in hexadecimal.
#[must_use]
pub fn to_hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let digits = bytes
        .iter()
        .flat_map(|byte| [byte >> 4, byte & 0xf])
        .map(|digit| char::from(DIGITS[usize::from(digit)]));
    digits.collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let pairs = text.as_bytes().chunks_exact(2);
    let bytes = pairs.map(|pair| {
        let pair = std::str::from_utf8(pair).unwrap_or_default();
        u8::from_str_radix(pair, 16).unwrap_or_default()
    });
    bytes.collect()
}
