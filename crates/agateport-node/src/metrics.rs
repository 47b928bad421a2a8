//! Counters, kept for `agatectl status` and sent to a statsd server.

use crate::error::Error;
use agateport_domain::prelude::*;
use cadence::{Counted, NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};

/// Prefix of all metric names.
const PREFIX: &str = "agateport";

/// Event counters of a node.
#[derive(Debug)]
pub struct Metrics {
    counts: Sharded<String, u64>,
    client: StatsdClient,
}

impl Metrics {
    /// Creates counters at zero, which are also sent to the address `statsd` if there
    /// is one.
    ///
    /// # Errors
    ///
    /// [`Error`] if the UDP socket cannot be opened.
    pub fn new(statsd: Option<SocketAddr>) -> Result<Self, Error> {
        let client = match statsd {
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
            Some(address) => {
                let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0))?;
                socket.set_nonblocking(true)?;
                let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
                StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(sink))
            }
        };
        Ok(Self {
            counts: Sharded::new(),
            client,
        })
    }

    /// Increments the counter named `{kind}.{reason}`. Characters that separate the fields
    /// or lines of a metric are replaced.
    pub fn count(&self, kind: &str, reason: &str) {
        let name = format!("{kind}.{reason}").replace(is_no_part_of_a_name, "_");
        // A metric that cannot be sent is lost; the local counter still includes it.
        let _ = self.client.count(&name, 1);
        self.counts.with(&name, |counts| {
            *counts.entry(name.clone()).or_insert(0) += 1;
        });
    }

    /// Returns all counters by name.
    #[must_use]
    pub fn counts(&self) -> BTreeMap<String, u64> {
        let mut all = BTreeMap::new();
        self.counts.for_each(|name, count| {
            all.insert(name.clone(), *count);
        });
        all
    }
}

fn is_no_part_of_a_name(character: char) -> bool {
    !character.is_ascii_alphanumeric() && !matches!(character, '.' | '_' | '-')
}
