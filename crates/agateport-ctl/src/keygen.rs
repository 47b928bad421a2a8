//! Generates keys and certificates.

use crate::error::Error;
use agateport_wire::postgres::scram;
use ed25519_dalek::SigningKey;
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use std::fmt::Write;
use std::fs;
use std::path::Path;

/// Common name in the authority's certificate.
const AUTHORITY_NAME: &str = "agateport authority";

/// Generates the authority's certificate and key, `authority.pem` and
/// `authority.key`.
///
/// # Errors
///
/// Returns [`Error`] if the certificate cannot be generated or a file cannot be
/// written.
pub fn authority(directory: &Path) -> Result<(), Error> {
    let key = KeyPair::generate()?;
    let certificate = authority_params()?.self_signed(&key)?;
    write(&directory.join("authority.pem"), &certificate.pem())?;
    write(&directory.join("authority.key"), &key.serialize_pem())
}

/// Generates a node's certificate and key, `NAME.pem` and `NAME.key`. The
/// certificate is signed by the authority.
///
/// # Errors
///
/// Returns [`Error`] if the authority's key cannot be read, the certificate cannot
/// be generated, or a file cannot be written.
pub fn node(directory: &Path, name: &str) -> Result<(), Error> {
    let path = directory.join("authority.key");
    let text = fs::read_to_string(&path).map_err(Error::file(&path))?;
    let issuer = Issuer::new(authority_params()?, KeyPair::from_pem(&text)?);
    let key = KeyPair::generate()?;
    let mut params = CertificateParams::new(vec![name.to_owned()])?;
    params.distinguished_name.push(DnType::CommonName, name);
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ClientAuth,
        ExtendedKeyUsagePurpose::ServerAuth,
    ];
    let certificate = params.signed_by(&key, &issuer)?;
    write(&directory.join(format!("{name}.pem")), &certificate.pem())?;
    write(&directory.join(format!("{name}.key")), &key.serialize_pem())
}

/// Generates an operator's private and public key, `NAME.secret` and
/// `NAME.public`, both in hexadecimal.
///
/// # Errors
///
/// Returns [`Error`] if a file cannot be written.
pub fn operator(directory: &Path, name: &str) -> Result<(), Error> {
    let key = SigningKey::from_bytes(&rand::random());
    let secret = hex(&key.to_bytes());
    write(&directory.join(format!("{name}.secret")), &secret)?;
    let public = hex(&key.verifying_key().to_bytes());
    write(&directory.join(format!("{name}.public")), &public)
}

/// Reads a password from standard input and prints its SCRAM verifier.
///
/// # Errors
///
/// Returns [`Error`] if standard input cannot be read or holds no valid
/// password.
pub fn verifier() -> Result<(), Error> {
    let path = Path::new("standard input");
    let mut password = String::new();
    std::io::stdin()
        .read_line(&mut password)
        .map_err(Error::file(path))?;
    let password = password.trim_end_matches(['\r', '\n']);
    let salt: [u8; 16] = rand::random();
    let verifier = scram::verifier(password, &salt).filter(|_| !password.is_empty());
    let verifier = verifier.ok_or_else(|| Error::Content {
        path: path.to_owned(),
        expected: "a password",
    })?;
    println!("{verifier}");
    Ok(())
}

fn authority_params() -> Result<CertificateParams, Error> {
    let mut params = CertificateParams::new(Vec::new())?;
    params
        .distinguished_name
        .push(DnType::CommonName, AUTHORITY_NAME);
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::CrlSign, KeyUsagePurpose::KeyCertSign];
    Ok(params)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        // Writing to a string never fails.
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn write(path: &Path, text: &str) -> Result<(), Error> {
    if let Some(directory) = path.parent() {
        fs::create_dir_all(directory).map_err(Error::file(directory))?;
    }
    fs::write(path, text).map_err(Error::file(path))
}
