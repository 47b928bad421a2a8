//! Signs bundles.

use crate::error::Error;
use agateport_domain::bundle::{Bundle, Signed};
use ed25519_dalek::SigningKey;
use std::fs;
use std::path::Path;

/// Checks a bundle, signs it and writes it with the signature.
///
/// # Errors
///
/// [`Error`] if a file can't be read or written, or the bundle is wrong.
pub fn sign(bundle: &Path, key: &Path, output: &Path) -> Result<(), Error> {
    let text = fs::read_to_string(bundle).map_err(Error::file(bundle))?;
    Bundle::parse(&text)?;
    let signed = Signed::new(text, &read_key(key)?);
    let bytes = serde_json::to_vec(&signed).map_err(|_| Error::Content {
        path: output.to_owned(),
        expected: "a signed bundle",
    })?;
    fs::write(output, bytes).map_err(Error::file(output))
}

fn read_key(path: &Path) -> Result<SigningKey, Error> {
    let wrong = || Error::Content {
        path: path.to_owned(),
        expected: "an operator's private key of 64 hexadecimal digits",
    };
    let text = fs::read_to_string(path).map_err(Error::file(path))?;
    let text = text.trim();
    if text.len() != 64 || !text.is_ascii() {
        return Err(wrong());
    }
    let mut bytes = [0; 32];
    for (index, byte) in bytes.iter_mut().enumerate() {
        let digits = &text[2 * index..2 * index + 2];
        *byte = u8::from_str_radix(digits, 16).map_err(|_| wrong())?;
    }
    Ok(SigningKey::from_bytes(&bytes))
}
