//! The report of a node to operators.

use crate::clock::uptime;
use crate::metrics::{Metrics, millis};
use crate::pending;
use crate::protocol::Protocol;
use crate::upstreams::Upstreams;
use agateport_domain::pace;
use agateport_domain::prelude::*;
use agateport_domain::report::{Listed, MAX_HANDOVERS, MAX_SERVERS, Report, Server};

/// Counters of refusals. Their reasons are fixed, so the report is bounded. A refusal is
/// counted by its cause, if there is a counter for it, and by the code of its answer.
const REFUSALS: [&str; 6] = [
    "allowance",
    "answer",
    "caller_closed",
    "caller_unidentified",
    "context_limit",
    "session",
];

/// Reasons of these counters that are no refusals: the statement was run, may have been run, or
/// another node is asked.
const NOT_REFUSED: [(&str, &str); 6] = [
    ("allowance", "allocator_silent"),
    ("answer", "aborted"),
    ("answer", "done"),
    ("answer", "failed"),
    ("answer", "unknown"),
    ("session", "opened"),
];

/// Returns the report of a node. It is computed for each request, and nothing is kept.
#[must_use]
pub fn report<W: Protocol>(upstreams: &Upstreams<W>, metrics: &Metrics) -> Report {
    let counts = metrics.counts(&REFUSALS);
    let counts = counts.into_iter();
    let refusals = counts.filter(|(key, _)| !NOT_REFUSED.contains(key));
    let version = upstreams.catalog().version;
    Report {
        node: upstreams.allowances().node().clone(),
        zone: upstreams.zone().clone(),
        configuration: (version > 0).then_some(version),
        configuration_age_ms: upstreams.currencies().catalog.age().map(millis),
        workspaces: upstreams.allowances().usage(),
        servers: servers(upstreams),
        handovers: Listed::first(pending::handovers(upstreams, uptime()), MAX_HANDOVERS),
        refusals: refusals
            .map(|((kind, reason), count)| (format!("{kind}.{reason}"), count))
            .collect(),
    }
}

/// Returns the servers, by name, with their paces as placement compares them.
fn servers<W: Protocol>(upstreams: &Upstreams<W>) -> Listed<Server> {
    let registry = upstreams.registry();
    let groups: BTreeSet<_> = registry.values().map(|entry| &entry.group).collect();
    let mut observed = Vec::new();
    for group in groups {
        let servers = upstreams.servers(group);
        let paces: Vec<_> = servers.iter().map(|server| server.pace()).collect();
        let standings = pace::compare(&paces);
        let servers = servers.iter().zip(standings);
        observed.extend(servers.map(|(server, standing)| server.observe(standing)));
    }
    observed.sort_by(|left, right| left.server.cmp(&right.server));
    Listed::first(observed, MAX_SERVERS)
}
