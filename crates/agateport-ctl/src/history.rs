//! Shows past bundles in force, and the changes of a new bundle.

use crate::bundle;
use crate::error::Error;
use crate::roll;
use agateport_domain::bundle::{Bundle, change};
use agateport_wire::platform::{Platform, history_key, object_key};
use agateport_wire::signed;
use std::net::SocketAddr;
use std::path::Path;

/// Maximum number of history entries shown.
const MAX_ENTRIES: u64 = 20;

/// Prints the changes of a bundle against the one in force.
///
/// # Errors
///
/// Returns [`Error`] if the bundle is invalid or a request to the platform fails.
pub async fn diff(path: &Path, platform: SocketAddr, json: bool) -> Result<(), Error> {
    let next = bundle::load(path)?;
    let before = active_bundle(&Platform::new(platform)?).await?;
    let changes = change::diff(before.as_ref(), &next);
    if json {
        println!("{}", serde_json::to_string(&changes).unwrap_or_default());
        return Ok(());
    }
    let version = before.map_or(0, |bundle| bundle.version);
    println!("version {version} -> {}", next.version);
    for change in changes {
        println!("{change}");
    }
    Ok(())
}

async fn active_bundle(platform: &Platform) -> Result<Option<Bundle>, Error> {
    let Some((_, revision)) = roll::active_row(platform).await? else {
        return Ok(None);
    };
    let Some(bytes) = platform.object(&object_key(&revision)).await? else {
        return Ok(None);
    };
    Ok(Some(Bundle::parse(&signed::decode(&bytes)?.text)?))
}

/// Prints the history of the bundle in force, the most recent entry first:
/// version, digest, and the time it was put in force, in seconds since 1970.
///
/// # Errors
///
/// Returns [`Error`] if a request to the platform fails.
pub async fn history(platform: SocketAddr) -> Result<(), Error> {
    let platform = Platform::new(platform)?;
    let Some((row, _)) = roll::active_row(&platform).await? else {
        println!("no bundle is in force");
        return Ok(());
    };
    let oldest = row.version.saturating_sub(MAX_ENTRIES) + 1;
    for version in (oldest..=row.version).rev() {
        if let Some(entry) = platform.row(&history_key(version)).await? {
            println!("{}", entry.value);
        }
    }
    Ok(())
}
