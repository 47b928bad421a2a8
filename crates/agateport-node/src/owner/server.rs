//! State of one upstream server at a node that uses it.

use crate::node::Node;
use agateport_domain::admission::{
    Admission, Breaker, Decision, Error as QueueError, Queue, Share, Ticket,
};
use agateport_domain::bundle::{self, Bundle};
use agateport_domain::owner::{Allowance, Policy};
use agateport_domain::prelude::*;
use agateport_domain::request::{Reason, Refusal};
use agateport_wire::postgres::Upstream;
use std::net::SocketAddr;
use std::sync::PoisonError;
use tokio::sync::oneshot;

/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Outcome of a wait in the queue: the request may start, or the refusal.
pub type Outcome = Result<(), Refusal>;

/// A request that waits for a slot.
#[derive(Debug)]
pub struct Waiter {
    /// Receives the outcome of the wait.
    pub outcome: oneshot::Receiver<Outcome>,
    /// Time after which the target latency can no longer be met.
    pub latest_start: Instant,
}

/// An idle connection.
#[derive(Debug)]
struct Idle {
    upstream: Upstream,
    since: Instant,
}

/// Applies a bundle to one of its servers.
pub fn apply<P>(node: &Node<P>, server: &bundle::Server, bundle: &Bundle)
where
    P: Policy + Send + Sync + 'static,
{
    let share = {
        let view = node.view.lock().unwrap_or_else(PoisonError::into_inner);
        node.policy.share(&node.config.name, server, &view)
    };
    let now = Instant::now();
    let result = node.servers.with(&server.name, |servers| {
        match servers.get_mut(&server.name) {
            Some(state) => state.reconfigure(server, bundle, share, now),
            None => State::new(server, bundle, share, now)
                .map(|state| drop(servers.insert(server.name.clone(), state))),
        }
    });
    if let Err(error) = result {
        tracing::warn!(server = %server.name, %error, "failed to apply the bundle to a server");
    }
}

/// Queue and idle connections of one upstream server.
#[derive(Debug)]
pub struct State {
    declared: bundle::Server,
    queue: Queue,
    allowance: Allowance,
    breaker: Breaker,
    waiting: BTreeMap<RequestId, oneshot::Sender<Outcome>>,
    /// Ordered by last use. Requests take the most recently used connection, from the
    /// end, so that the others remain unused until they time out.
    idle: Vec<Idle>,
}

impl State {
    /// Creates the state of a server without connections and with an empty queue.
    ///
    /// # Errors
    ///
    /// An error of the queue if the server has no slots.
    pub fn new(
        server: &bundle::Server,
        bundle: &Bundle,
        share: Share,
        now: Instant,
    ) -> Result<Self, QueueError> {
        let allowance = Allowance::default();
        let share = Share {
            connections: allowance.current(),
            ..share
        };
        Ok(Self {
            declared: server.clone(),
            queue: Queue::new(share, bundle.limits.queue, &bundle.priorities, now)?,
            allowance,
            breaker: Breaker::default(),
            waiting: BTreeMap::new(),
            idle: Vec::new(),
        })
    }

    /// Returns the state of the server for operators.
    #[must_use]
    pub fn observe(&self, server: &ServerId, group: &GroupId) -> agateport_domain::report::Server {
        agateport_domain::report::Server {
            server: server.clone(),
            group: group.clone(),
            pace_percent: None,
            slots: self.declared.slots,
            limit: self.queue.slots(),
            running: self.queue.running(),
            waiting: self.queue.waiting(),
        }
    }

    /// Applies another bundle; running and queued requests remain.
    ///
    /// # Errors
    ///
    /// An error of the queue if the server has no slots.
    pub fn reconfigure(
        &mut self,
        server: &bundle::Server,
        bundle: &Bundle,
        share: Share,
        now: Instant,
    ) -> Result<(), QueueError> {
        let share = Share {
            connections: self.allowance.current(),
            ..share
        };
        self.queue
            .reconfigure(share, bundle.limits.queue, &bundle.priorities, now)?;
        if self.declared.address != server.address {
            self.idle.clear();
        }
        self.declared = server.clone();
        Ok(())
    }

    /// Returns the server as the bundle declares it.
    #[must_use]
    pub fn declared(&self) -> &bundle::Server {
        &self.declared
    }

    /// Returns the address of the server's PostgreSQL port.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.declared.address
    }

    /// Requests a slot.
    ///
    /// # Errors
    ///
    /// A refusal if the circuit breaker is open, the target latency cannot be met
    /// or the queue is full.
    pub fn offer(&mut self, ticket: Ticket, now: Instant) -> Result<Waiter, Refusal> {
        if let Err(wait) = self.breaker.admit(now) {
            return Err(Refusal {
                reason: Reason::UpstreamUnreachable,
                retry_after: Some(wait),
            });
        }
        let (sender, outcome) = oneshot::channel();
        let request = ticket.request;
        let due = ticket.due;
        match self.queue.offer(ticket, now)? {
            Admission::Started => {
                // The receiver exists: it is returned below.
                let _ = sender.send(Ok(()));
                Ok(Waiter {
                    outcome,
                    latest_start: due,
                })
            }
            Admission::Queued {
                latest_start,
                evicted,
            } => {
                self.waiting.insert(request, sender);
                if let Some((evicted, refusal)) = evicted {
                    self.notify(evicted, Err(refusal));
                }
                // The number of connections may have been raised since the last
                // request ended.
                self.start_waiting(now);
                Ok(Waiter {
                    outcome,
                    latest_start,
                })
            }
        }
    }

    /// Releases the slot and the connection of a request and starts the next
    /// requests.
    pub fn finish(&mut self, request: RequestId, now: Instant) {
        self.waiting.remove(&request);
        self.queue.finish(request, now);
        self.start_waiting(now);
    }

    /// Releases the slot of an open transaction until its next statement.
    pub fn pause(&mut self, request: RequestId, now: Instant) {
        self.queue.pause(request, now);
        self.start_waiting(now);
    }

    /// Takes a slot for the next statement of an open transaction.
    pub fn resume(&mut self, request: RequestId, now: Instant) {
        self.queue.resume(request, now);
    }

    fn start_waiting(&mut self, now: Instant) {
        while let Some(decision) = self.queue.next(now) {
            let (request, outcome) = match decision {
                Decision::Start(request) => (request, Ok(())),
                Decision::Refuse(request, refusal) => (request, Err(refusal)),
            };
            let is_gone = !self.notify(request, outcome);
            if is_gone && outcome.is_ok() {
                self.queue.finish(request, now);
            }
        }
    }

    /// Sends the outcome to a waiting request. Returns false if it no longer waits.
    fn notify(&mut self, request: RequestId, outcome: Outcome) -> bool {
        let sender = self.waiting.remove(&request);
        sender.is_some_and(|sender| sender.send(outcome).is_ok())
    }

    /// Records in the circuit breaker whether the server answered.
    pub fn record(&mut self, is_answered: bool, now: Instant) {
        if is_answered {
            self.breaker.record_success();
        } else {
            self.breaker.record_failure(now);
        }
    }

    /// Sets the share of the server that this node may use.
    pub fn set_share(&mut self, share: Share, is_joined: bool, now: Instant) {
        self.allowance.set(share.connections, is_joined, now);
        self.queue.set_connections(self.allowance.current());
        self.close_excess(now);
        self.start_waiting(now);
    }

    /// Returns the number of connections that are open or being opened.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.queue.connections_in_use() + self.idle.len()
    }

    /// Returns whether no request waits for the server or uses a connection to
    /// it.
    #[must_use]
    pub fn is_unused(&self) -> bool {
        self.queue.connections_in_use() == 0 && self.queue.waiting() == 0
    }

    /// Takes the most recently used idle connection.
    pub fn take_idle(&mut self) -> Option<Upstream> {
        self.idle.pop().map(|idle| idle.upstream)
    }

    /// Keeps the connection of `request` as an idle one and releases its slot.
    pub fn put_idle(&mut self, upstream: Upstream, request: RequestId, now: Instant) {
        let idle = Idle {
            upstream,
            since: now,
        };
        self.idle.push(idle);
        self.finish(request, now);
        self.close_excess(now);
    }

    /// Closes idle connections that are unused for too long or exceed the
    /// allowance.
    fn close_excess(&mut self, now: Instant) {
        self.idle
            .retain(|idle| now.saturating_duration_since(idle.since) < IDLE_TIMEOUT);
        let excess = self.connections().saturating_sub(self.allowance.current());
        self.idle.drain(..excess.min(self.idle.len()));
    }
}
