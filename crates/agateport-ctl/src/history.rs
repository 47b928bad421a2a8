//! Shows what is in force, what was, and what a bundle would change.

use crate::bundle;
use crate::error::Error;
use crate::roll;
use agateport_domain::bundle::{Bundle, change};
use agateport_wire::platform::{Platform, history_key, object_key};
use agateport_wire::signed;
use std::net::SocketAddr;
use std::path::Path;

/// Changes of the bundle in force that are shown.
const MAXIMUM_ENTRIES: u64 = 20;

/// Prints what a bundle would change of the one in force.
///
/// # Errors
///
/// [`Error`] if the bundle is wrong or the platform doesn't answer.
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

/// Prints the last changes of the bundle in force, the latest first: version,
/// digest, and when it was put in force, in seconds since 1970.
///
/// # Errors
///
/// [`Error`] if the platform doesn't answer.
pub async fn history(platform: SocketAddr) -> Result<(), Error> {
    let platform = Platform::new(platform)?;
    let Some((row, _)) = roll::active_row(&platform).await? else {
        println!("no bundle is in force");
        return Ok(());
    };
    let oldest = row.version.saturating_sub(MAXIMUM_ENTRIES) + 1;
    for version in (oldest..=row.version).rev() {
        if let Some(entry) = platform.row(&history_key(version)).await? {
            println!("{}", entry.value);
        }
    }
    Ok(())
}
