//! Encoding of updates between nodes.
//!
//! The standings of the nodes follow the update. Nodes of former versions ignore what follows,
//! and their own updates end before it.

use super::peer::Update;
use crate::record::Standing;
use crate::source::RowVersion;
use agateport_domain::prelude::*;
use bytes::Bytes;

type Standings = BTreeMap<NodeId, (Standing, RowVersion)>;

/// Encodes an update.
///
/// # Errors
///
/// [`postcard::Error`] if it cannot be encoded.
pub fn encode(update: &Update) -> Result<Bytes, postcard::Error> {
    let mut bytes = postcard::to_stdvec(update)?;
    let records = update.records.as_ref();
    if let Some(records) = records.filter(|records| !records.standings.is_empty()) {
        bytes.extend(postcard::to_stdvec(&records.standings)?);
    }
    Ok(bytes.into())
}

/// Decodes an update. One of a former version has no standings.
///
/// # Errors
///
/// [`postcard::Error`] if it is malformed.
pub fn decode(bytes: &[u8]) -> Result<Update, postcard::Error> {
    let (mut update, rest): (Update, &[u8]) = postcard::take_from_bytes(bytes)?;
    if let Some(records) = update.records.as_mut().filter(|_| !rest.is_empty()) {
        let standings: Standings = postcard::from_bytes(rest)?;
        records.standings = standings;
    }
    Ok(update)
}
