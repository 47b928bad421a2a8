//! Validates bundles and lists their servers.

use crate::error::Error;
use agateport_domain::bundle::Bundle;
use std::fs;
use std::path::Path;

/// Reads and validates a bundle.
///
/// # Errors
///
/// Returns [`Error`] if the file cannot be read or its bundle is invalid.
pub fn load(path: &Path) -> Result<Bundle, Error> {
    let text = fs::read_to_string(path).map_err(Error::file(path))?;
    Ok(Bundle::parse(&text)?)
}

/// Validates a bundle and prints a summary.
///
/// # Errors
///
/// Returns [`Error`] if the file cannot be read or its bundle is invalid.
pub fn check(path: &Path) -> Result<(), Error> {
    let bundle = load(path)?;
    println!(
        "version {}: {} groups, {} priorities, no errors",
        bundle.version,
        bundle.groups.len(),
        bundle.priorities.len()
    );
    Ok(())
}

/// Lists the servers, one per line: group, server, zone, address, slots,
/// connections.
///
/// # Errors
///
/// Returns [`Error`] if the file cannot be read or its bundle is invalid.
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
