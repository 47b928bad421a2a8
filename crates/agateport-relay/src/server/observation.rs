//! What an operator sees of a server.

use super::Server;
use crate::permit::Claim;
use crate::protocol::Protocol;
use agateport_domain::admission::{Preview, Ticket};
use agateport_domain::pace::Standing;
use agateport_domain::prelude::*;
use agateport_domain::report;

impl<W: Protocol> Server<W> {
    /// Returns the state of the server for operators, which has this standing in its group.
    #[must_use]
    pub fn observe(&self, standing: Standing) -> report::Server {
        let entry = self.entry();
        let inner = self.lock();
        report::Server {
            server: entry.server.clone(),
            group: entry.group.clone(),
            pace_percent: inner.pacing.as_ref().map(|_| standing.pace.percent()),
            slots: inner.share.slots,
            limit: inner.queue.slots(),
            running: inner.queue.running(),
            waiting: inner.queue.waiting(),
        }
    }

    /// Returns the number of slots that the measured latency allows at this node.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.lock().queue.slots()
    }

    /// Returns what would happen to a claim at this node's queue now; nothing is queued.
    pub(crate) fn preview(&self, claim: &Claim) -> Preview {
        let now = Instant::now();
        let inner = self.lock();
        let ticket = Ticket {
            request: inner.last_request + 1,
            priority: claim.priority.clone(),
            caller: claim.caller.clone(),
            due: now + claim.due_in,
        };
        inner.queue.preview(ticket, now)
    }
}
