//! Names of prepared statements at an upstream.

use super::key::to_hex;
use sha2::{Digest, Sha256};

/// Prefix of the names.
const PREFIX: &str = "agateport_";

/// Bytes of the digest in a name. PostgreSQL cuts names at 63 bytes, and the prefix and two
/// digits a byte stay below that.
const DIGEST_LENGTH: usize = 24;

/// Returns the name of a statement with this text and these parameter types. Callers share
/// connections, so no caller may be able to find two statements with one name.
#[must_use]
pub fn prepared(text: &str, types: &[u32]) -> String {
    let mut hasher = Sha256::new();
    // The length tells where the text ends and the types begin.
    hasher.update(text.len().to_be_bytes());
    hasher.update(text);
    for type_id in types {
        hasher.update(type_id.to_be_bytes());
    }
    let digest = hasher.finalize();
    format!("{PREFIX}{}", to_hex(&digest[..DIGEST_LENGTH]))
}

/// Returns whether an upstream may have a statement of this name that [`prepared`] named.
#[must_use]
pub fn is_reserved(name: &str) -> bool {
    name.starts_with(PREFIX)
}
