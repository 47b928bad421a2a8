//! Connections to peers, and the streams that peers open.

use crate::control;
use crate::frontend;
use crate::node::Node;
use crate::owner;
use agateport_domain::membership::Member;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_domain::request::Reason;
use agateport_wire::Error;
use agateport_wire::frame::Frame;
use agateport_wire::link::{Exchange, Link, Local};
use agateport_wire::peer::{Connection, Endpoint};
use std::io;
use std::net::SocketAddr;
use tokio::sync::Mutex;
use tokio::time::timeout;

/// Minimum time between a failed attempt to connect to a peer and the next one.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Time limit for opening a link to a peer.
const LINK_TIMEOUT: Duration = Duration::from_secs(1);

/// State of the connection to one peer.
#[derive(Debug, Default)]
struct Peer {
    connection: Option<Connection>,
    failed_at: Option<Instant>,
}

/// Connections to peers, at most one each.
#[derive(Debug)]
pub struct Peers {
    endpoint: Endpoint,
    peers: Sharded<NodeId, Arc<Mutex<Peer>>>,
}

impl Peers {
    /// Creates an empty set of connections.
    #[must_use]
    pub fn new(endpoint: Endpoint) -> Self {
        Self {
            endpoint,
            peers: Sharded::new(),
        }
    }

    /// Returns the open connection to a peer, or connects to it.
    ///
    /// An attempt to connect continues if the returned future is dropped, so that a
    /// slow handshake is not restarted by every request that times out.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if the peer cannot be reached, or the last attempt
    /// failed less than `RECONNECT_DELAY` ago.
    pub async fn connection(&self, member: &Member) -> Result<Connection, Error> {
        let peer = self.peers.with(&member.name, |peers| {
            Arc::clone(peers.entry(member.name.clone()).or_default())
        });
        let endpoint = self.endpoint.clone();
        let (name, address) = (member.name.clone(), member.address);
        let connecting = tokio::spawn(async move {
            let mut peer = peer.lock().await;
            peer.connect(&endpoint, &name, address).await
        });
        connecting.await.map_err(|error| Error::Unreachable {
            peer: member.name.to_string(),
            source: io::Error::other(error),
        })?
    }

    /// Closes all connections and waits until the peers have been notified.
    pub async fn close(&self) {
        self.endpoint.close().await;
    }
}

impl Peer {
    async fn connect(
        &mut self,
        endpoint: &Endpoint,
        name: &NodeId,
        address: SocketAddr,
    ) -> Result<Connection, Error> {
        let open = self
            .connection
            .clone()
            .filter(|connection| !connection.is_closed());
        if let Some(connection) = open {
            return Ok(connection);
        }
        if self
            .failed_at
            .is_some_and(|failed_at| failed_at.elapsed() < RECONNECT_DELAY)
        {
            return Err(Error::Unreachable {
                peer: name.to_string(),
                source: io::ErrorKind::NotConnected.into(),
            });
        }
        let connected = endpoint.connect(name, address).await;
        self.failed_at = connected.is_err().then(Instant::now);
        let connection = connected?;
        self.connection = Some(connection.clone());
        Ok(connection)
    }
}

/// Opens a link to the node named `name`, which may be this node itself.
///
/// # Errors
///
/// [`Error`] if the node is not a member or cannot be reached.
pub async fn link<P>(node: &Arc<Node<P>>, name: &NodeId) -> Result<Link, Error>
where
    P: Policy + Send + Sync + 'static,
{
    if *name == node.config.name {
        let (near, far) = Local::pair();
        let own = node.config.name.clone();
        node.streams.spawn(dispatch(Arc::clone(node), own, far));
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
        source: io::Error::other(error),
    })?;
    let opening = async { node.peers.connection(&member).await?.open().await };
    let opened = timeout(LINK_TIMEOUT, opening).await;
    let stream = opened.map_err(|error| Error::Unreachable {
        peer: name.to_string(),
        source: error.into(),
    })?;
    Ok(Link::Remote(Box::new(stream?)))
}

/// Accepts connections of peers until the endpoint is closed.
pub async fn accept<P>(node: Arc<Node<P>>)
where
    P: Policy + Send + Sync + 'static,
{
    while let Some(incoming) = node.peers.endpoint.accept().await {
        let node = Arc::clone(&node);
        tokio::spawn(async move {
            match Connection::handshake(incoming).await {
                Ok((peer, connection)) => serve(node, peer, connection).await,
                Err(error) => tracing::warn!(%error, "handshake with a peer failed"),
            }
        });
    }
}

async fn serve<P>(node: Arc<Node<P>>, peer: NodeId, connection: Connection)
where
    P: Policy + Send + Sync + 'static,
{
    while let Ok(stream) = connection.accept().await {
        node.streams
            .spawn(dispatch(Arc::clone(&node), peer.clone(), stream));
    }
}

/// Dispatches a stream by its first frame.
async fn dispatch<P, E>(node: Arc<Node<P>>, peer: NodeId, mut exchange: E)
where
    P: Policy + Send + Sync + 'static,
    E: Exchange,
{
    let result = match exchange.receive().await {
        Ok(Frame::Open(_)) if node.closing.is_cancelled() => {
            let refusal = Reason::Leaving.into();
            exchange.send(Frame::Refused(refusal)).await
        }
        Ok(Frame::Open(command)) => owner::serve(&node, exchange, command).await,
        Ok(Frame::Locate(group, server)) => {
            owner::report_status(&node, exchange, &group, &server).await
        }
        Ok(Frame::CancelCaller(secret)) => {
            frontend::cancel(&node, secret);
            Ok(())
        }
        Ok(frame) => control::answer(&node, &peer, exchange, frame).await,
        Err(error) => Err(error),
    };
    if let Err(error) = result {
        tracing::debug!(%error, "stream failed");
    }
}
