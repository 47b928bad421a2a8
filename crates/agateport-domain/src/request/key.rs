//! Keys that make a write idempotent.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Longest name of a key, in bytes.
const MAXIMUM_NAME: usize = 200;

/// A key with the digest of the write that it stands for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Key {
    /// Name that the caller chose.
    pub name: String,
    /// Digest of the write's text and parameters, in hexadecimal.
    pub digest: String,
}

/// What a request does with a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Operation {
    /// Runs a write and records it under the key.
    Record(Key),
    /// Settles what became of the key of this name; if it isn't recorded, it
    /// never will be.
    Resolve(String),
}

/// What became of the write with a key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// It has run, once.
    Done,
    /// It hasn't run, and never will.
    NotRun,
}

impl Outcome {
    /// Returns the name that callers are given.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not run",
        }
    }
}

/// What the record of a key says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Record {
    /// The write has run; this was its answer.
    Done {
        /// The answer, as the PostgreSQL protocol encodes it.
        answer: Vec<u8>,
    },
    /// The key stands for another write.
    Reused,
    /// The key was settled as not run, and never runs from then on.
    NotRun,
}

impl Key {
    /// Creates the key of a write that consists of `parts`.
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

    /// Reads the record that was found under the key: its digest, which is
    /// empty if the key was settled as not run, and its answer.
    #[must_use]
    pub fn read(&self, digest: &str, answer: &str) -> Record {
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

/// Tells whether a name may be used as a key.
#[must_use]
pub fn is_valid(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAXIMUM_NAME && !name.contains('\0')
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
