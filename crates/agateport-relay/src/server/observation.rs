//! What an operator sees of a server.

use super::Server;
use crate::protocol::Protocol;
use agateport_domain::pace::Standing;
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
}
