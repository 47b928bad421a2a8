//! The version of a bundle with the digest of its text.

use super::Error;
use crate::id::BundleVersion;
use serde::{Deserialize, Serialize};
use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

/// Hexadecimal digits of a digest.
const DIGEST_DIGITS: usize = 64;

/// The version of a bundle with the digest of its text, written
/// `VERSION:DIGEST`.
///
/// The row of the platform's store for the bundle in force holds a revision.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Revision {
    /// Version of the bundle.
    pub version: BundleVersion,
    /// SHA-256 digest of the text, in hexadecimal.
    pub digest: String,
}

impl Display for Revision {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.version, self.digest)
    }
}

impl FromStr for Revision {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let malformed = || Error::Revision(text.to_owned());
        let (version, digest) = text.split_once(':').ok_or_else(malformed)?;
        let is_digest =
            digest.len() == DIGEST_DIGITS && digest.bytes().all(|digit| digit.is_ascii_hexdigit());
        if !is_digest {
            return Err(malformed());
        }
        Ok(Self {
            version: version.parse().map_err(|_| malformed())?,
            digest: digest.to_owned(),
        })
    }
}
