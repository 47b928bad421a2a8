//! Makes keys and certificates.

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

/// Name in the authority's certificate.
const AUTHORITY_NAME: &str = "agateport authority";

/// Makes `authority.pem` and `authority.key`.
///
/// # Errors
///
/// [`Error`] if a file can't be written.
pub fn authority(directory: &Path) -> Result<(), Error> {
    let key = KeyPair::generate()?;
    let certificate = authority_params()?.self_signed(&key)?;
    write(&directory.join("authority.pem"), &certificate.pem())?;
    write(&directory.join("authority.key"), &key.serialize_pem())
}

/// Makes `NAME.pem` and `NAME.key`, signed by the authority.
///
/// # Errors
///
/// [`Error`] if the authority's key can't be read or a file can't be written.
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

/// Makes `NAME.secret` and `NAME.public`, both in hexadecimal.
///
/// # Errors
///
/// [`Error`] if a file can't be written.
pub fn operator(directory: &Path, name: &str) -> Result<(), Error> {
    let key = SigningKey::from_bytes(&rand::random());
    let secret = hex(&key.to_bytes());
    write(&directory.join(format!("{name}.secret")), &secret)?;
    let public = hex(&key.verifying_key().to_bytes());
    write(&directory.join(format!("{name}.public")), &public)
}

/// Reads a password from standard input and prints its verifier.
///
/// # Errors
///
/// [`Error`] if standard input can't be read or holds no password.
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
        // Writing to a string can't fail.
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
