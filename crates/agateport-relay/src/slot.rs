//! The right to use a server: a slot of this node, or a seat that its owner lends.

use crate::dialect::Dialect;
use crate::server::Server;
use agateport_domain::prelude::*;

/// The right to use a server's slot; dropping it gives the slot back.
#[derive(Debug)]
pub struct Slot<D: Dialect> {
    server: Arc<Server<D>>,
    request: RequestId,
}

impl<D: Dialect> Slot<D> {
    /// Creates the right that stands for a request, which may still wait.
    #[must_use]
    pub fn new(server: Arc<Server<D>>, request: RequestId) -> Self {
        Self { server, request }
    }

    /// Gives the slot back between two statements of a transaction.
    pub fn pause(&self) {
        self.server.pause(self.request);
    }

    /// Takes the slot again for the transaction's next statement.
    pub fn resume(&self) {
        self.server.resume(self.request);
    }

    /// Returns the server of the slot.
    #[must_use]
    pub fn server(&self) -> &Arc<Server<D>> {
        &self.server
    }
}

impl<D: Dialect> Drop for Slot<D> {
    fn drop(&mut self) {
        self.server.finish(self.request);
    }
}

/// A request at a seat that a server's owner lends.
#[derive(Debug)]
pub struct Usage<D: Dialect> {
    server: Arc<Server<D>>,
}

impl<D: Dialect> Usage<D> {
    /// Counts a request.
    #[must_use]
    pub fn new(server: Arc<Server<D>>) -> Self {
        server.begin_usage();
        Self { server }
    }
}

impl<D: Dialect> Drop for Usage<D> {
    fn drop(&mut self) {
        self.server.end_usage();
    }
}
