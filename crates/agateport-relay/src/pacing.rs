//! Shows the pace and the limit of each server that this node adapts to.

use crate::metrics::Metrics;
use crate::protocol::Protocol;
use crate::upstreams::Upstreams;
use agateport_domain::pace::{self, Announced, Factor};
use agateport_domain::prelude::*;
use std::fmt::Write;

/// What a node uses of a server's pace.
#[derive(Clone, Debug)]
struct Shown {
    server: ServerId,
    factor: Factor,
    slots: u32,
    limit: u32,
}

/// Returns what the node uses of the pace of the registered servers; nothing if it does not
/// adapt to them.
fn shown<W: Protocol>(upstreams: &Upstreams<W>) -> Vec<Shown> {
    let mut all = Vec::new();
    if !upstreams.adapts_to_servers() {
        return all;
    }
    for group in upstreams.groups() {
        let servers = upstreams.servers(&group);
        let reports: Vec<_> = servers.iter().map(|server| server.pace()).collect();
        let standings = pace::compare(&reports);
        for ((server, report), standing) in servers.iter().zip(reports).zip(standings) {
            if let Some(report) = report {
                all.push(Shown {
                    server: server.entry().server.clone(),
                    factor: standing.pace,
                    slots: report.slots,
                    limit: report.limit,
                });
            }
        }
    }
    all
}

/// Renders the factor and the limit of each server as text. The only label is that of the
/// registered servers.
#[must_use]
pub fn render<W: Protocol>(upstreams: &Upstreams<W>) -> String {
    let mut text = String::new();
    for Shown {
        server,
        factor,
        limit,
        ..
    } in shown(upstreams)
    {
        let server = server.replace('\\', "\\\\").replace('"', "\\\"");
        let percent = factor.percent();
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "agateport_server_pace_percent{{server=\"{server}\"}} {percent}"
        );
        let _ = writeln!(
            text,
            "agateport_server_limit{{server=\"{server}\"}} {limit}"
        );
    }
    text
}

/// Logs the changes of the servers' paces and limits.
#[derive(Debug, Default)]
pub struct Watch {
    announced: BTreeMap<ServerId, Announced>,
}

impl Watch {
    /// Logs each factor and limit that has changed by a step since its last line.
    pub fn observe<W: Protocol>(&mut self, upstreams: &Upstreams<W>, metrics: &Metrics) {
        let all = shown(upstreams);
        self.announced
            .retain(|server, _| all.iter().any(|shown| shown.server == *server));
        for shown in all {
            let announced = self.announced.entry(shown.server.clone());
            let announced = announced.or_insert_with(|| Announced::normal(shown.slots));
            if !announced.update(shown.factor, shown.slots, shown.limit) {
                continue;
            }
            metrics.count("server_pace", "changed");
            let Some(omitted) = metrics.allow_log("server_pace") else {
                continue;
            };
            tracing::info!(
                event = "server_pace",
                server = &*shown.server,
                percent = shown.factor.percent(),
                slots = shown.slots,
                limit = shown.limit,
                omitted,
                "the pace or the limit of a server has changed"
            );
        }
    }
}
