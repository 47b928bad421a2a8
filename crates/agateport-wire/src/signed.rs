//! Encodes signed texts, as files, objects and frames hold them.

use crate::Error;
use agateport_domain::bundle::Signed;

/// Longest encoded text, in bytes.
pub const MAXIMUM_LENGTH: usize = 8 * 1024 * 1024;

/// Encodes a signed text as JSON.
///
/// # Errors
///
/// [`Error::Signed`] if the text is too long.
pub fn encode(signed: &Signed) -> Result<Vec<u8>, Error> {
    let bytes = serde_json::to_vec(signed).map_err(|_| Error::Signed)?;
    if bytes.len() > MAXIMUM_LENGTH {
        return Err(Error::Signed);
    }
    Ok(bytes)
}

/// Decodes a signed text; its signatures are not checked.
///
/// # Errors
///
/// [`Error::Signed`] if the bytes are too many or no signed text.
pub fn decode(bytes: &[u8]) -> Result<Signed, Error> {
    if bytes.len() > MAXIMUM_LENGTH {
        return Err(Error::Signed);
    }
    serde_json::from_slice(bytes).map_err(|_| Error::Signed)
}
