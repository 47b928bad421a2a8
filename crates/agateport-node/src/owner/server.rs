//! The state of one upstream server at its owner.

use agateport_domain::admission::{Decision, Offer, Queue, Ticket};
use agateport_domain::bundle;
use agateport_domain::prelude::*;
use agateport_domain::request::Refusal;
use agateport_wire::postgres::Upstream;
use std::net::SocketAddr;
use tokio::sync::oneshot;

/// A request's turn, or why it gets none.
pub type Turn = Result<(), Refusal>;

/// The queue and the idle connections of one upstream server.
#[derive(Debug)]
pub struct State {
    address: SocketAddr,
    queue: Queue,
    waiting: BTreeMap<RequestId, oneshot::Sender<Turn>>,
    idle: Vec<Upstream>,
}

impl State {
    /// Creates the state of a server that nobody has used yet.
    ///
    /// # Errors
    ///
    /// An error of the queue if the server has no slot.
    pub fn new(
        server: &bundle::Server,
        limits: &bundle::Limits,
    ) -> Result<Self, agateport_domain::admission::Error> {
        Ok(Self {
            address: server.address,
            queue: Queue::new(server.slots, limits.queue)?,
            waiting: BTreeMap::new(),
            idle: Vec::new(),
        })
    }

    /// Returns the address of the server's PostgreSQL port.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks for a slot; the receiver tells when it is this request's turn.
    ///
    /// # Errors
    ///
    /// A refusal if the queue is full.
    pub fn offer(&mut self, ticket: Ticket) -> Result<oneshot::Receiver<Turn>, Refusal> {
        let (sender, receiver) = oneshot::channel();
        match self.queue.offer(ticket)? {
            // A receiver that is gone gives its slot back by its lease.
            Offer::Started => drop(sender.send(Ok(()))),
            Offer::Queued => drop(self.waiting.insert(ticket.request, sender)),
        }
        Ok(receiver)
    }

    /// Gives a slot back and hands it to whom it is due.
    pub fn finish(&mut self, request: RequestId, now: Instant) {
        self.waiting.remove(&request);
        self.queue.finish(request);
        while let Some(decision) = self.queue.next(now) {
            let (request, turn) = match decision {
                Decision::Start(request) => (request, Ok(())),
                Decision::Refuse(request, refusal) => (request, Err(refusal)),
            };
            let sender = self.waiting.remove(&request);
            let is_gone = sender.is_none_or(|sender| sender.send(turn).is_err());
            if is_gone && turn.is_ok() {
                self.queue.finish(request);
            }
        }
    }

    /// Takes an idle connection.
    pub fn take_idle(&mut self) -> Option<Upstream> {
        self.idle.pop()
    }

    /// Keeps a connection for the next request.
    pub fn put_idle(&mut self, upstream: Upstream) {
        self.idle.push(upstream);
    }
}
