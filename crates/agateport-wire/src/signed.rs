//! Encoding of signed texts in files, objects and frames.

use crate::Error;
use agateport_domain::bundle::Signed;

/// Maximum length of an encoded signed text, in bytes.
pub const MAX_LENGTH: usize = 8 * 1024 * 1024;

/// Encodes a signed text as JSON.
///
/// # Errors
///
/// [`Error::Signed`] if the encoded text is too long.
pub fn encode(signed: &Signed) -> Result<Vec<u8>, Error> {
    let bytes = serde_json::to_vec(signed).map_err(|_| Error::Signed)?;
    if bytes.len() > MAX_LENGTH {
        return Err(Error::Signed);
    }
    Ok(bytes)
}

/// Decodes a signed text without verifying its signatures.
///
/// # Errors
///
/// [`Error::Signed`] if the bytes are too long or malformed.
pub fn decode(bytes: &[u8]) -> Result<Signed, Error> {
    if bytes.len() > MAX_LENGTH {
        return Err(Error::Signed);
    }
    serde_json::from_slice(bytes).map_err(|_| Error::Signed)
}
