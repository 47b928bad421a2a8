//! Guards that account for the use of a server: a slot of this node, or a
//! borrowed permit.

use crate::protocol::Protocol;
use crate::server::Server;
use agateport_domain::prelude::*;

/// A slot at a server, or a queued request for one. Dropping it releases the slot
/// or removes the request from the queue.
#[derive(Debug)]
pub struct Slot<D: Protocol> {
    server: Arc<Server<D>>,
    request: RequestId,
}

impl<D: Protocol> Slot<D> {
    /// Creates the guard of a request, which may still be queued.
    #[must_use]
    pub fn new(server: Arc<Server<D>>, request: RequestId) -> Self {
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

    /// Returns the server that the slot belongs to.
    #[must_use]
    pub fn server(&self) -> &Arc<Server<D>> {
        &self.server
    }
}

impl<D: Protocol> Drop for Slot<D> {
    fn drop(&mut self) {
        self.server.finish(self.request);
    }
}

/// Counts one borrowed permit at a server for as long as it exists.
#[derive(Debug)]
pub struct Usage<D: Protocol> {
    server: Arc<Server<D>>,
}

impl<D: Protocol> Usage<D> {
    /// Increments the server's count of borrowed permits.
    #[must_use]
    pub fn new(server: Arc<Server<D>>) -> Self {
        server.begin_usage();
        Self { server }
    }
}

impl<D: Protocol> Drop for Usage<D> {
    fn drop(&mut self) {
        self.server.end_usage();
    }
}
