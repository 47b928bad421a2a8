//! Signs bundles.

use crate::error::Error;
use agateport_domain::bundle::{Bundle, Operator, Revision, Signed};
use agateport_wire::signed;
use ed25519_dalek::{SigningKey, VerifyingKey};
use std::fs;
use std::path::{Path, PathBuf};

/// Validates and signs a bundle, and writes it with its signatures. A bundle that
/// is signed already receives an additional signature.
///
/// # Errors
///
/// Returns [`Error`] if a file cannot be read or written, or the bundle is
/// invalid.
pub fn sign(bundle: &Path, key: &Path, output: &Path) -> Result<(), Error> {
    let bytes = fs::read(bundle).map_err(Error::file(bundle))?;
    let key = read_key(key)?;
    let signed = if let Ok(mut signed) = signed::decode(&bytes) {
        signed.sign(&key);
        signed
    } else {
        let text = String::from_utf8(bytes).map_err(|_| Error::Content {
            path: bundle.to_owned(),
            expected: "a bundle",
        })?;
        Signed::new(text, &key)
    };
    Bundle::parse(&signed.text)?;
    fs::write(output, signed::encode(&signed)?).map_err(Error::file(output))
}

/// Reads a signed bundle.
///
/// # Errors
///
/// Returns [`Error`] if the file cannot be read or is not a signed bundle.
pub fn load(path: &Path) -> Result<Signed, Error> {
    let bytes = fs::read(path).map_err(Error::file(path))?;
    signed::decode(&bytes).map_err(|_| Error::Content {
        path: path.to_owned(),
        expected: "a signed bundle",
    })
}

/// Returns the revision of a signed bundle.
///
/// # Errors
///
/// Returns [`Error`] if its text is not a valid bundle.
pub fn revision(signed: &Signed) -> Result<Revision, Error> {
    Ok(Revision {
        version: Bundle::parse(&signed.text)?.version,
        digest: signed.digest(),
    })
}

/// Reads operators' public keys. The stem of each file name is the operator's
/// name.
///
/// # Errors
///
/// Returns [`Error`] if a file cannot be read or is not a key.
pub fn read_operators(paths: &[PathBuf]) -> Result<Vec<Operator>, Error> {
    let operators = paths.iter().map(|path| {
        let malformed = || Error::Content {
            path: path.clone(),
            expected: "an operator's public key of 64 hexadecimal digits",
        };
        let bytes = read_hex(path)?.ok_or_else(malformed)?;
        let name = path.file_stem().unwrap_or_default();
        Ok(Operator {
            name: name.to_string_lossy().into_owned(),
            key: VerifyingKey::from_bytes(&bytes).map_err(|_| malformed())?,
        })
    });
    operators.collect()
}

/// Reads an operator's private key.
///
/// # Errors
///
/// Returns [`Error`] if the file cannot be read or is not a key.
pub fn read_key(path: &Path) -> Result<SigningKey, Error> {
    let bytes = read_hex(path)?.ok_or_else(|| Error::Content {
        path: path.to_owned(),
        expected: "an operator's private key of 64 hexadecimal digits",
    })?;
    Ok(SigningKey::from_bytes(&bytes))
}

fn read_hex(path: &Path) -> Result<Option<[u8; 32]>, Error> {
    let text = fs::read_to_string(path).map_err(Error::file(path))?;
    let text = text.trim();
    if text.len() != 64 || !text.is_ascii() {
        return Ok(None);
    }
    let mut bytes = [0; 32];
    for (index, byte) in bytes.iter_mut().enumerate() {
        let digits = &text[2 * index..2 * index + 2];
        match u8::from_str_radix(digits, 16) {
            Ok(value) => *byte = value,
            Err(_) => return Ok(None),
        }
    }
    Ok(Some(bytes))
}
