//! What clients make this node hold, and the closing of connections for it.

use crate::clock::uptime;
use crate::metrics::Metrics;
use agateport_domain::intake::{Account, Admission, Budget, Gate, Limits, Reason, Ticket};
use agateport_domain::prelude::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio_util::sync::CancellationToken;

/// Maximum number of connections to the address of the readiness check, and to that of the
/// metrics. The platform needs one or two.
const HTTP_CONNECTIONS: usize = 32;

tokio::task_local! {
    /// What the client holds that the current task serves. Answers of servers count there
    /// while they are received.
    pub static HOLDING: Arc<Holding>;
}

/// Which address a client is connected to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The address for callers.
    Caller,
    /// The address for other nodes.
    Peer,
    /// The address of the readiness check.
    Ready,
    /// The address of the metrics.
    Metrics,
}

impl Kind {
    /// Returns the name of the event and of the counter of closed connections.
    fn event(self) -> &'static str {
        match self {
            Self::Caller => "caller_closed",
            Self::Peer => "peer_closed",
            Self::Ready => "ready_closed",
            Self::Metrics => "metrics_closed",
        }
    }
}

/// What a client's memory is used for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Part {
    /// Received bytes that have not been decoded.
    Input,
    /// An answer that is being received from a server.
    Answer,
    /// An answer that is being sent.
    Output,
}

/// A client's connection, as far as it is needed to close it.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    kind: Kind,
    closed: CancellationToken,
}

/// The limits of this node, and what its clients hold.
#[derive(Debug)]
pub struct Intake {
    limits: Limits,
    budget: Budget<Client>,
    callers: Gate<Client>,
    peers: Gate<Client>,
    ready: Gate<Client>,
    metrics_gate: Gate<Client>,
    metrics: Option<Arc<Metrics>>,
}

impl Default for Intake {
    /// Creates an intake without limits of memory and connections.
    fn default() -> Self {
        Self::new(Limits::default(), None)
    }
}

impl Intake {
    /// Creates an intake that no client has been let into.
    #[must_use]
    pub fn new(limits: Limits, metrics: Option<Arc<Metrics>>) -> Self {
        Self {
            limits,
            budget: Budget::new(limits.memory),
            callers: Gate::new(limits.callers),
            peers: Gate::new(limits.peers),
            ready: Gate::new(Some(HTTP_CONNECTIONS)),
            metrics_gate: Gate::new(Some(HTTP_CONNECTIONS)),
            metrics,
        }
    }

    /// Returns the limits.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the number of bytes that clients hold beyond what does not count.
    #[must_use]
    pub fn held(&self) -> usize {
        self.budget.held()
    }

    /// Returns the number of callers.
    #[must_use]
    pub fn callers(&self) -> usize {
        self.callers.open()
    }

    /// Returns whether the node has nearly as many callers as it accepts.
    #[must_use]
    pub fn is_nearly_full(&self) -> bool {
        self.callers.is_nearly_full()
    }

    /// Decides on a new connection, and closes another one for it if necessary. Returns
    /// none if the new one must be closed.
    pub fn admit(self: &Arc<Self>, kind: Kind, address: SocketAddr) -> Option<Arc<Holding>> {
        let client = Client {
            address,
            kind,
            closed: CancellationToken::new(),
        };
        let (ticket, replaced) = match self.gate(kind).admit(client.clone()) {
            Admission::Accepted(ticket) => (ticket, None),
            Admission::Replacing(ticket, replaced) => (ticket, Some(replaced)),
            Admission::Refused => {
                self.report(&client, Reason::Limit);
                return None;
            }
        };
        if let Some(replaced) = replaced {
            replaced.closed.cancel();
            self.report(&replaced, Reason::Silent);
        }
        Some(Arc::new(Holding {
            account: self.budget.open(client, uptime()),
            ticket,
            input: AtomicUsize::new(0),
            answer: AtomicUsize::new(0),
            output: AtomicUsize::new(0),
            intake: self.clone(),
        }))
    }

    fn gate(&self, kind: Kind) -> &Gate<Client> {
        match kind {
            Kind::Caller => &self.callers,
            Kind::Peer => &self.peers,
            Kind::Ready => &self.ready,
            Kind::Metrics => &self.metrics_gate,
        }
    }

    fn report(&self, client: &Client, reason: Reason) {
        let Some(metrics) = &self.metrics else {
            return;
        };
        let event = client.kind.event();
        metrics.count(event, reason.name());
        if let Some(omitted) = metrics.allow_log(event) {
            tracing::warn!(
                event,
                address = %client.address,
                reason = reason.name(),
                held = self.held(),
                omitted,
                "a connection is closed: {reason}"
            );
        }
    }
}

/// What one client makes this node hold.
#[derive(Debug)]
pub struct Holding {
    account: Arc<Account<Client>>,
    ticket: Ticket,
    /// Size of each part in bytes.
    input: AtomicUsize,
    answer: AtomicUsize,
    output: AtomicUsize,
    intake: Arc<Intake>,
}

impl Holding {
    /// Returns the limits.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        &self.intake.limits
    }

    /// Records that a part has, or is about to have, this size in bytes. If the memory is
    /// short, the connections that use the most are closed.
    ///
    /// # Errors
    ///
    /// [`Reason`] if this connection is closed; the memory must not be used.
    pub fn set(&self, part: Part, bytes: usize) -> Result<(), Reason> {
        let size = match part {
            Part::Input => &self.input,
            Part::Answer => &self.answer,
            Part::Output => &self.output,
        };
        if size.swap(bytes, Ordering::Relaxed) == bytes {
            return Ok(());
        }
        let parts = [&self.input, &self.answer, &self.output];
        let total = parts.iter().map(|part| part.load(Ordering::Relaxed)).sum();
        let resized = self.intake.budget.resize(&self.account, total, uptime());
        for closed in resized.closed {
            closed.owner.closed.cancel();
            self.intake.report(&closed.owner, Reason::Memory);
        }
        resized.refusal.map_or(Ok(()), Err)
    }

    /// Records the first message of the client.
    pub fn speak(&self) {
        self.intake.gate(self.account.owner.kind).speak(self.ticket);
    }

    /// Closes the connection.
    pub fn close(&self, reason: Reason) {
        if self.intake.budget.close(&self.account, reason) {
            self.account.owner.closed.cancel();
            self.intake.report(&self.account.owner, reason);
        }
    }

    /// Waits until the connection is to be closed.
    pub async fn closed(&self) {
        self.account.owner.closed.cancelled().await;
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        self.intake.budget.remove(&self.account);
        self.intake.gate(self.account.owner.kind).leave(self.ticket);
    }
}
