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
use agateport_domain::group::roster::Standing;
use agateport_domain::prelude::*;

impl<W: Protocol, S: Store, P: Promoter> Handover<W, S, P> {
    /// Notes which servers the record of a group lists.
    pub(super) fn observe(&mut self, basis: &Basis) {
        let (roster, usable) = (self.listed(basis), self.usable(&basis.group));
        let tenure = self.tenures.entry(basis.group.clone()).or_default();
        tenure.observe(basis.fence(), &roster, &usable, uptime());
    }

    /// Returns whether the record of a group lists other servers than it should.
    pub(super) fn is_roster_due(&self, basis: &Basis) -> bool {
        let primary = basis.primary().filter(|_| !basis.is_outdated());
        primary.is_some_and(|primary| self.next_roster(basis, primary) != self.listed(basis))
    }

    /// Returns the roster of a group's record. Records written after the copy that the store
    /// was restored from may be lost, so an outdated one counts as if it also listed every
    /// other server as new.
    fn listed(&self, basis: &Basis) -> Roster {
        let roster = basis.roster().cloned().unwrap_or_default();
        if !basis.is_outdated() {
            return roster;
        }
        let usable = self.usable(&basis.group).into_iter();
        let listed = roster.servers().cloned();
        listed
            .chain(usable)
            .map(|server| {
                let standing = roster.standing(&server).unwrap_or(Standing::New);
                (server, standing)
            })
            .collect()
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
        let (roster, usable) = (self.listed(basis), self.usable(&basis.group));
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
        tenure.is_some_and(|tenure| tenure.is_eligible(&self.listed(basis), server, uptime()))
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
