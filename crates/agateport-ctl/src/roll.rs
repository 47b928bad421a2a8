//! Puts signed bundles in force.

use crate::error::Error;
use agateport_domain::bundle::{Bundle, Signed};
use agateport_wire::platform::{Operation, Platform};
use std::fs;
use std::net::SocketAddr;
use std::path::Path;

/// Key of the row that tells the bundle in force.
const ROW: &str = "bundle";

/// Stores a signed bundle and puts it in force.
///
/// # Errors
///
/// [`Error`] if the file can't be read, the platform doesn't answer, or a
/// bundle of the same or a higher version is in force.
pub async fn roll(path: &Path, platform: SocketAddr) -> Result<(), Error> {
    let bytes = fs::read(path).map_err(Error::file(path))?;
    let signed: Signed = serde_json::from_slice(&bytes).map_err(|_| Error::Content {
        path: path.to_owned(),
        expected: "a signed bundle",
    })?;
    let bundle = Bundle::parse(&signed.text)?;
    let platform = Platform::new(platform)?;
    let row = platform.row(ROW).await?;
    let version = match &row {
        None => 0,
        Some(row) => {
            let in_force = read(&platform, &row.value).await?;
            if in_force >= bundle.version {
                return Err(Error::NotHigher(in_force));
            }
            row.version
        }
    };
    let digest = signed.digest();
    platform
        .put_object(&format!("bundle/{digest}"), bytes)
        .await?;
    let operation = Operation {
        key: ROW.to_owned(),
        expected: version,
        value: digest,
    };
    platform.commit(&[operation]).await?;
    println!("version {} is in force", bundle.version);
    Ok(())
}

async fn read(platform: &Platform, digest: &str) -> Result<u64, Error> {
    let object = platform.object(&format!("bundle/{digest}")).await?;
    let signed = object.and_then(|bytes| serde_json::from_slice::<Signed>(&bytes).ok());
    match signed {
        Some(signed) => Ok(Bundle::parse(&signed.text)?.version),
        None => Ok(0),
    }
}
