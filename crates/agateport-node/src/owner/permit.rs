//! The right to run at an upstream server: a slot and a connection.

use super::server::Waiter;
use crate::node::Node;
use agateport_domain::admission::Ticket;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_domain::request::{Command, Reason, Refusal};
use agateport_wire::postgres::Upstream;
use tokio::time::{timeout, timeout_at};

/// User that owners log in as.
const USER: &str = "agateport";

/// Time limit for connecting to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A slot of an upstream server with a connection to it. Dropping the permit
/// releases the slot and closes the connection.
#[derive(Debug)]
pub struct Permit<P: Policy + Send + Sync + 'static> {
    node: Arc<Node<P>>,
    server: ServerId,
    request: RequestId,
    upstream: Option<Upstream>,
}

impl<P: Policy + Send + Sync + 'static> Permit<P> {
    /// Waits for a slot and a connection. Dropping the returned future removes the
    /// request from the queue.
    ///
    /// # Errors
    ///
    /// A refusal if the queue refuses the request, no slot becomes free within the
    /// target latency, or no connection can be opened.
    pub async fn acquire(node: Arc<Node<P>>, command: &Command) -> Result<Self, Refusal> {
        let now = Instant::now();
        let due = now + command.target;
        let ticket = Ticket {
            request: node.next_id(),
            priority: command.priority.clone(),
            caller: command.caller.clone(),
            due,
        };
        let request = ticket.request;
        let admission = node
            .servers
            .update(&command.server, |server| server.offer(ticket, now));
        let waiter = admission.ok_or(Reason::UnknownServer)??;
        let mut permit = Self {
            server: command.server.clone(),
            request,
            upstream: None,
            node,
        };
        let Waiter {
            outcome,
            latest_start,
        } = waiter;
        match timeout_at(latest_start.into(), outcome).await {
            Ok(Ok(outcome)) => outcome?,
            Ok(Err(_)) | Err(_) => return Err(Reason::TargetMissed.into()),
        }
        permit.connect(&command.group).await?;
        Ok(permit)
    }

    async fn connect(&mut self, group: &GroupId) -> Result<(), Refusal> {
        let found = self.node.servers.update(&self.server, |server| {
            (server.address(), server.take_idle())
        });
        let (address, idle) = found.ok_or(Reason::UnknownServer)?;
        if idle.is_some() {
            self.upstream = idle;
            return Ok(());
        }
        let connecting = Upstream::connect(address, USER, group);
        let connected = timeout(CONNECT_TIMEOUT, connecting).await;
        let upstream = connected.ok().and_then(Result::ok);
        self.record(upstream.is_some());
        let upstream = upstream.ok_or(Reason::UpstreamUnreachable)?;
        self.upstream = Some(upstream);
        Ok(())
    }

    /// Records for the server's circuit breaker whether the upstream answered.
    pub fn record(&self, is_answered: bool) {
        self.node.servers.update(&self.server, |server| {
            server.record(is_answered, Instant::now());
        });
    }

    /// Returns the connection to the upstream.
    pub fn upstream(&mut self) -> Option<&mut Upstream> {
        self.upstream.as_mut()
    }

    /// Releases the slot until the transaction's next statement.
    pub fn pause(&self) {
        self.node.servers.update(&self.server, |server| {
            server.pause(self.request, Instant::now());
        });
    }

    /// Takes a slot for the transaction's next statement.
    pub fn resume(&self) {
        self.node.servers.update(&self.server, |server| {
            server.resume(self.request, Instant::now());
        });
    }

    /// Releases the slot and keeps the connection for reuse; the connection must be
    /// idle.
    pub fn release(mut self) {
        if let Some(upstream) = self.upstream.take() {
            self.node.servers.update(&self.server, |server| {
                server.put_idle(upstream, self.request, Instant::now());
            });
        }
    }
}

impl<P: Policy + Send + Sync + 'static> Drop for Permit<P> {
    fn drop(&mut self) {
        // A connection that was not released may have an answer outstanding. It
        // is closed, so that the upstream rolls back.
        self.node.servers.update(&self.server, |server| {
            server.finish(self.request, Instant::now());
        });
    }
}
