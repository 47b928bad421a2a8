//! The servers that may be promoted: their state, and their entries in the record.

use super::basis::Basis;
use super::handover::Handover;
use crate::clock::uptime;
use crate::message::Command;
use crate::protocol::Protocol;
use crate::server::Server;
use crate::source::{Promoter, Store};
use agateport_domain::group::Roster;
use agateport_domain::group::handover::{Candidate, Record};
use agateport_domain::prelude::*;

impl<W: Protocol, S: Store, P: Promoter> Handover<W, S, P> {
    /// Notes which servers the record of a group lists.
    pub(super) fn observe(&mut self, basis: &Basis) {
        let usable = self.usable(&basis.group);
        let tenure = self.tenures.entry(basis.group.clone()).or_default();
        let roster = basis.roster().cloned().unwrap_or_default();
        tenure.observe(basis.fence(), &roster, &usable, uptime());
    }

    /// Writes the roster of a group as the coordinator, if it has changed. A handover that
    /// is in progress does not wait for it.
    pub(super) async fn enroll(&mut self, basis: &Basis) {
        let Some(primary) = basis.primary().cloned().filter(|_| basis.is_settled()) else {
            return;
        };
        let is_coordinator = basis.coordinator() == Some(&self.node);
        if is_coordinator && basis.roster() != Some(&self.next_roster(basis, &primary)) {
            self.write(basis, primary, true).await;
        }
    }

    /// Returns the roster of the record that follows `basis` and names `primary`.
    pub(super) fn next_roster(&self, basis: &Basis, primary: &ServerId) -> Roster {
        if basis.record() == Record::Absent {
            let registered = self.upstreams.servers(&basis.group);
            return Roster::first(
                registered
                    .iter()
                    .map(|server| server.entry().server.clone()),
            );
        }
        let roster = basis.roster().cloned().unwrap_or_default();
        let usable = self.usable(&basis.group);
        let tenure = self.tenures.get(&basis.group).cloned().unwrap_or_default();
        tenure.next(&roster, &usable, primary, uptime())
    }

    /// Returns the servers of a group that may become its primary.
    pub(super) async fn candidates(&self, basis: &Basis, is_queried: bool) -> Vec<Candidate> {
        let servers = self.upstreams.servers(&basis.group);
        let candidates = servers.iter().map(|server| async move {
            let candidate = candidate(server, is_queried).await;
            Candidate {
                is_eligible: self.is_eligible(basis, &candidate.server),
                ..candidate
            }
        });
        futures::future::join_all(candidates).await
    }

    /// Returns whether every node that may confirm another primary queries this server.
    fn is_eligible(&self, basis: &Basis, server: &ServerId) -> bool {
        if basis.record() == Record::Absent {
            // Without a record no node confirms a primary.
            return true;
        }
        let tenure = self.tenures.get(&basis.group);
        let listed = tenure.zip(basis.roster());
        listed.is_some_and(|(tenure, roster)| tenure.is_eligible(roster, server, uptime()))
    }

    /// Returns the registered servers of a group that are not leaving.
    fn usable(&self, group: &GroupId) -> BTreeSet<ServerId> {
        let servers = self.upstreams.servers(group).into_iter();
        let entries = servers.map(|server| server.entry());
        entries
            .filter(|entry| !entry.is_leaving)
            .map(|entry| entry.server.clone())
            .collect()
    }
}

/// Returns the state of a server, which is queried for its watermark first if
/// `is_queried`.
async fn candidate<W: Protocol>(server: &Arc<Server<W>>, is_queried: bool) -> Candidate {
    let entry = server.entry();
    // Without a query, a server with an unknown watermark counts as a candidate with an
    // empty log.
    let known = server.watermark().map(|(watermark, _)| watermark);
    let mut last = (!is_queried).then(|| known.unwrap_or_default());
    let mut led_term = entry
        .is_primary
        .then_some(Term::MIN)
        .filter(|_| !is_queried);
    // A server that could not be promoted anyway is not queried.
    if is_queried && !entry.is_leaving && !server.is_unreachable() {
        let status = server.request_status(Command::Status).await;
        if let Ok(status) = status {
            last = Some(status.last);
            led_term = status.is_primary.then_some(status.term);
        }
    }
    Candidate {
        server: entry.server.clone(),
        last,
        is_primary: entry.is_primary,
        led_term,
        is_leaving: entry.is_leaving,
        is_eligible: false,
    }
}
