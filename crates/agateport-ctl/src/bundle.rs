//! Checks and lists bundles.

use crate::error::Error;
use agateport_domain::bundle::Bundle;
use std::fs;
use std::path::Path;

/// Reads and checks a bundle.
///
/// # Errors
///
/// [`Error`] if the file can't be read or isn't a bundle.
pub fn load(path: &Path) -> Result<Bundle, Error> {
    let text = fs::read_to_string(path).map_err(Error::file(path))?;
    Ok(Bundle::parse(&text)?)
}

/// Checks a bundle and says what it holds.
///
/// # Errors
///
/// [`Error`] if the file can't be read or isn't a bundle.
pub fn check(path: &Path) -> Result<(), Error> {
    let bundle = load(path)?;
    println!(
        "version {}: {} groups, {} priorities, no faults",
        bundle.version,
        bundle.groups.len(),
        bundle.priorities.len()
    );
    Ok(())
}

/// Lists the servers: group, server, zone, address, slots, connections.
///
/// # Errors
///
/// [`Error`] if the file can't be read or isn't a bundle.
pub fn servers(path: &Path) -> Result<(), Error> {
    for group in load(path)?.groups {
        for server in &group.servers {
            println!(
                "{} {} {} {} {} {}",
                group.name,
                server.name,
                server.zone,
                server.address,
                server.slots,
                server.connections
            );
        }
    }
    Ok(())
}
