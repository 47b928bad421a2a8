//! Demotion of the former primary in a handover.

use super::handover::Handover;
use crate::message::Command;
use crate::protocol::Protocol;
use crate::source::{Promoter, Store};
use agateport_domain::prelude::*;

impl<W: Protocol, S: Store, P: Promoter> Handover<W, S, P> {
    /// Demotes the former primary, so that it accepts no more writes.
    pub(super) async fn demote(&mut self, group: &GroupId, former: Option<ServerId>) {
        let is_demoted = match &former {
            Some(former) => self.is_demoted(group, former).await,
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

    /// Returns whether `former` has confirmed that it is a replica.
    async fn is_demoted(&self, group: &GroupId, former: &ServerId) -> bool {
        let server = self.upstreams.server(former);
        // A suspected server is not queried, to avoid waiting for it.
        let Some(server) = server.filter(|server| !server.detector().is_suspected()) else {
            return false;
        };
        let status = match server.request_status(Command::Status).await {
            Ok(status) if !status.is_primary => return true,
            Ok(status) => status,
            Err(error) => {
                tracing::info!(
                    event = "primary_silent",
                    group = &**group,
                    %error,
                    "the former primary did not return its status, so it cannot be demoted"
                );
                return false;
            }
        };
        let command = Command::Demote(status.term.saturating_add(1));
        let status = server.request_status(command).await;
        status.is_ok_and(|status| !status.is_primary)
    }
}
