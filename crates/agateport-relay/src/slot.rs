//! Guards that account for the use of a server: a slot of this node, or a
//! borrowed permit.

use crate::exchange::Failure;
use crate::message::Answer;
use crate::protocol::Protocol;
use crate::server::Server;
use agateport_domain::prelude::*;

/// A slot at a server, or a queued request for one. Dropping it releases the slot
/// or removes the request from the queue.
#[derive(Debug)]
pub struct Slot<W: Protocol> {
    server: Arc<Server<W>>,
    request: RequestId,
}

impl<W: Protocol> Slot<W> {
    /// Creates the guard of a request, which may still be queued.
    #[must_use]
    pub fn new(server: Arc<Server<W>>, request: RequestId) -> Self {
        Self { server, request }
    }

    /// Releases the slot between two statements of a transaction.
    pub fn pause(&self) {
        self.server.pause(self.request);
    }

    /// Takes a slot again for the transaction's next statement.
    pub fn resume(&self) {
        self.server.resume(self.request);
    }

    /// Releases a slot that was used for nothing, so that the time does not count as that of
    /// a statement.
    pub fn discard(&self) {
        self.server.discard(self.request);
    }

    /// Records what the result of a statement that held the slot shows about the server.
    pub fn record_response(&self, result: &Result<Answer, Failure>, elapsed: Duration) {
        let server = &self.server;
        server.record_response(self.request, result, elapsed);
    }

    /// Returns the server that the slot belongs to.
    #[must_use]
    pub fn server(&self) -> &Arc<Server<W>> {
        &self.server
    }
}

impl<W: Protocol> Drop for Slot<W> {
    fn drop(&mut self) {
        self.server.finish(self.request);
    }
}

/// Counts one borrowed permit at a server, from its claim until its release.
#[derive(Debug)]
pub struct Usage<W: Protocol> {
    server: Arc<Server<W>>,
}

impl<W: Protocol> Usage<W> {
    /// Increments the server's count of borrowed permits.
    #[must_use]
    pub fn new(server: Arc<Server<W>>) -> Self {
        server.begin_usage();
        Self { server }
    }
}

impl<W: Protocol> Drop for Usage<W> {
    fn drop(&mut self) {
        self.server.end_usage();
    }
}
