//! Connections to peers, and the streams that come from them.

use crate::control;
use crate::frontend;
use crate::node::Node;
use crate::owner;
use agateport_domain::membership::Member;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_wire::Error;
use agateport_wire::frame::Frame;
use agateport_wire::link::{Exchange, Link, Local};
use agateport_wire::peer::{Connection, Endpoint};

/// Connections to peers, one each.
#[derive(Debug)]
pub struct Peers {
    endpoint: Endpoint,
    connections: Sharded<NodeId, Connection>,
}

impl Peers {
    /// Creates an empty set.
    #[must_use]
    pub fn new(endpoint: Endpoint) -> Self {
        Self {
            endpoint,
            connections: Sharded::new(),
        }
    }

    /// Returns a connection to a peer, a new one if need be.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if the peer can't be reached.
    pub async fn connection(&self, member: &Member) -> Result<Connection, Error> {
        if let Some(connection) = self.connections.get(&member.name)
            && !connection.is_closed()
        {
            return Ok(connection);
        }
        let connection = self.endpoint.connect(&member.name, member.address).await?;
        self.connections
            .insert(member.name.clone(), connection.clone());
        Ok(connection)
    }

    /// Closes all connections.
    pub fn close(&self) {
        self.endpoint.close();
    }
}

/// Opens a link to the owner named `name`, which may be this node itself.
///
/// # Errors
///
/// [`Error`] if the owner isn't known or can't be reached.
pub async fn link<P>(node: &Arc<Node<P>>, name: &NodeId) -> Result<Link, Error>
where
    P: Policy + Send + Sync + 'static,
{
    if *name == node.config.name {
        let (near, far) = Local::pair();
        tokio::spawn(dispatch(Arc::clone(node), far));
        return Ok(Link::Local(near));
    }
    let member = {
        let view = node
            .view
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        view.member(name).cloned()
    };
    let member = member.map_err(|error| Error::Unreachable {
        peer: name.to_string(),
        source: std::io::Error::other(error),
    })?;
    let connection = node.peers.connection(&member).await?;
    Ok(Link::Remote(Box::new(connection.open().await?)))
}

/// Takes connections of peers until the node ends.
pub async fn accept<P>(node: Arc<Node<P>>)
where
    P: Policy + Send + Sync + 'static,
{
    while let Some(incoming) = node.peers.endpoint.accept().await {
        let node = Arc::clone(&node);
        tokio::spawn(async move {
            match Connection::admit(incoming).await {
                Ok(connection) => serve(node, connection).await,
                Err(error) => tracing::warn!(%error, "a peer was turned away"),
            }
        });
    }
}

async fn serve<P>(node: Arc<Node<P>>, connection: Connection)
where
    P: Policy + Send + Sync + 'static,
{
    while let Ok(stream) = connection.accept().await {
        tokio::spawn(dispatch(Arc::clone(&node), stream));
    }
}

/// Hands a stream to whom its first frame is for.
async fn dispatch<P, E>(node: Arc<Node<P>>, mut exchange: E)
where
    P: Policy + Send + Sync + 'static,
    E: Exchange,
{
    let result = match exchange.receive().await {
        Ok(Frame::Open(command)) => owner::serve(&node, exchange, command).await,
        Ok(Frame::Locate(group, server)) => owner::locate(&node, exchange, &group, &server).await,
        Ok(Frame::CancelCaller(secret)) => {
            frontend::cancel(&node, secret);
            Ok(())
        }
        Ok(frame) => control::answer(&node, exchange, frame).await,
        Err(error) => Err(error),
    };
    if let Err(error) = result {
        tracing::debug!(%error, "a stream ended early");
    }
}
