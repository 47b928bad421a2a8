//! A slot of an upstream server with a connection to it.

use crate::node::Node;
use agateport_domain::admission::Ticket;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_domain::request::{Command, Reason, Refusal};
use agateport_wire::postgres::Upstream;
use tokio::time::timeout_at;

/// User that owners log in as.
const USER: &str = "agateport";

/// A slot of an upstream server with a connection to it, both given back when
/// it is dropped.
#[derive(Debug)]
pub struct Lease<P: Policy + Send + Sync + 'static> {
    node: Arc<Node<P>>,
    server: ServerId,
    request: RequestId,
    upstream: Option<Upstream>,
}

impl<P: Policy + Send + Sync + 'static> Lease<P> {
    /// Waits for a slot and a connection.
    ///
    /// # Errors
    ///
    /// A refusal if there is none within the target.
    pub async fn take(node: Arc<Node<P>>, command: &Command) -> Result<Self, Refusal> {
        let bundle = node.bundle().ok_or(Reason::NoBundle)?;
        let priority = bundle.priority(&command.priority);
        let due = Instant::now() + command.target;
        let ticket = Ticket {
            request: node.next_id(),
            worth: priority.map_or(0, |priority| priority.worth),
            due,
        };
        let offer = node
            .servers
            .update(&command.server, |server| server.offer(ticket));
        let turn = offer.ok_or(Reason::UnknownServer)??;
        let mut lease = Self {
            server: command.server.clone(),
            request: ticket.request,
            upstream: None,
            node,
        };
        match timeout_at(due.into(), turn).await {
            Ok(Ok(turn)) => turn?,
            Ok(Err(_)) | Err(_) => return Err(Reason::TargetMissed.into()),
        }
        lease.connect(&command.group).await?;
        Ok(lease)
    }

    async fn connect(&mut self, group: &GroupId) -> Result<(), Refusal> {
        let found = self.node.servers.update(&self.server, |server| {
            (server.address(), server.take_idle())
        });
        let (address, idle) = found.ok_or(Reason::UnknownServer)?;
        let upstream = if let Some(upstream) = idle {
            upstream
        } else {
            let connected = Upstream::connect(address, USER, group).await;
            connected.map_err(|_| Reason::UpstreamUnreachable)?
        };
        self.upstream = Some(upstream);
        Ok(())
    }

    /// Returns the connection.
    pub fn upstream(&mut self) -> Option<&mut Upstream> {
        self.upstream.as_mut()
    }

    /// Gives the connection back for others; it must be idle.
    pub fn keep(mut self) {
        if let Some(upstream) = self.upstream.take() {
            self.node
                .servers
                .update(&self.server, |server| server.put_idle(upstream));
        }
    }
}

impl<P: Policy + Send + Sync + 'static> Drop for Lease<P> {
    fn drop(&mut self) {
        // A connection that is still here may have an answer outstanding: it
        // closes, and the upstream rolls back.
        self.node.servers.update(&self.server, |server| {
            server.finish(self.request, Instant::now());
        });
    }
}
