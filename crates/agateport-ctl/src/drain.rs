//! Orders a node to finish its work and exit.

use crate::error::Error;
use crate::sign;
use agateport_domain::bundle::Drain;
use agateport_wire::signed;
use std::net::SocketAddr;
use std::path::Path;
use std::time::SystemTime;

/// Sends a signed drain order to the node `name` at its admin address.
///
/// # Errors
///
/// Returns [`Error`] if the key cannot be read, or if the node refuses the order
/// or does not respond.
pub async fn drain(name: &str, address: SocketAddr, key: &Path) -> Result<(), Error> {
    let order = Drain {
        node: name.into(),
        issued: SystemTime::now(),
    };
    let body = signed::encode(&order.sign(&sign::read_key(key)?))?;
    let failed = |source| Error::Node { address, source };
    let url = format!("http://{address}/drain");
    let client = reqwest::Client::new();
    let response = client.post(url).body(body).send().await.map_err(failed)?;
    let is_success = response.status().is_success();
    let text = response.text().await.map_err(failed)?;
    if !is_success {
        return Err(Error::Refused(text));
    }
    print!("{text}");
    Ok(())
}
