//! Demotion of the former primary in a handover.

use super::basis::Basis;
use super::handover::Handover;
use crate::message::Command;
use crate::protocol::Protocol;
use crate::record;
use crate::source::{Promoter, Store};
use agateport_domain::prelude::*;

impl<W: Protocol, S: Store, P: Promoter> Handover<W, S, P> {
    /// Demotes the former primary, so that it accepts no more writes.
    pub(super) async fn demote(&mut self, group: &GroupId, former: Option<ServerId>) {
        let is_demoted = match &former {
            Some(former) => self.request_demotion(group, former).await == Some(true),
            None => false,
        };
        tracing::info!(
            event = "primary_demoted",
            group = &**group,
            former = former.as_deref(),
            is_demoted,
            "a demotion of the former primary was attempted"
        );
        let transition = self.transitions.entry(group.clone()).or_default();
        transition.is_demoted = is_demoted;
    }

    /// Returns whether the former primary has not become the primary again since its
    /// demotion; if it has, it is demoted once more.
    ///
    /// A server that restarts leads again unless another one has been promoted meanwhile.
    pub(super) async fn is_still_demoted(&mut self, basis: &Basis) -> bool {
        let is_needed = self.transition(basis).is_demoted && !basis.is_released();
        let Some(former) = basis.former().filter(|_| is_needed) else {
            return true;
        };
        let is_demoted = self.request_demotion(&basis.group, former).await;
        tracing::info!(
            event = "demotion_checked",
            group = &*basis.group,
            former = &**former,
            is_demoted,
            "the former primary was queried again before a promotion"
        );
        if is_demoted == Some(false) {
            self.transition(basis).is_demoted = false;
        }
        is_demoted != Some(false)
    }

    /// Demotes a server that leads although the record names another one.
    ///
    /// If the record has not changed since the server answered that it leads, then no node
    /// uses it in that term. The order names the next term, so it has no effect on a server
    /// that was promoted meanwhile.
    pub(super) async fn retire(&mut self, basis: &Basis, server: &ServerId) {
        let Some(term) = self.led_term(server).await else {
            return;
        };
        let row = self.store.row(&record::leadership_key(&basis.group)).await;
        let is_current = row.is_ok_and(|(row, revision)| {
            let version = row.map(|row| row.version);
            revision.era == basis.revision.era && version == Some(basis.version())
        });
        let server = self.upstreams.server(server).filter(|_| is_current);
        let Some(server) = server else {
            self.trigger.reread_store();
            return;
        };
        let name = server.entry().server.clone();
        self.transition(basis).leading.insert(name);
        let command = Command::Demote(term.saturating_add(1));
        let status = server.request_status(command).await;
        tracing::info!(
            event = "primary_retired",
            group = &*basis.group,
            server = &*server.entry().server,
            term,
            recorded = basis.primary().map(|primary| &**primary),
            is_demoted = status.is_ok_and(|status| !status.is_primary),
            "a server that led although another one is recorded was ordered to be a replica"
        );
    }

    /// Returns whether `former` has confirmed that it is a replica; none if it does not
    /// answer.
    async fn request_demotion(&self, group: &GroupId, former: &ServerId) -> Option<bool> {
        let server = self.upstreams.server(former);
        // A suspected server is not queried, to avoid waiting for it.
        let server = server.filter(|server| !server.detector().is_suspected())?;
        let status = match server.request_status(Command::Status).await {
            Ok(status) if !status.is_primary => return Some(true),
            Ok(status) => status,
            Err(error) => {
                tracing::info!(
                    event = "primary_silent",
                    group = &**group,
                    %error,
                    "the former primary did not return its status, so it cannot be demoted"
                );
                return None;
            }
        };
        let command = Command::Demote(status.term.saturating_add(1));
        let status = server.request_status(command).await;
        Some(status.is_ok_and(|status| !status.is_primary))
    }
}
