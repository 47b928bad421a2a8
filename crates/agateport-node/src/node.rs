//! One node: the state that its tasks share, its start and its end.

use crate::config::{Config, Seed};
use crate::control;
use crate::control::status::Interest;
use crate::drain;
use crate::error::Error;
use crate::frontend::throttles::Throttles;
use crate::frontend::{self, startup};
use crate::metrics::Metrics;
use crate::owner::server;
use crate::peers::{self, Peers};
use agateport_domain::bundle::{self, Accepted, Bundle, Force, Spread, Trust};
use agateport_domain::group::{Group, PromoterId};
use agateport_domain::membership::View;
use agateport_domain::owner::{Order, Policy};
use agateport_domain::prelude::*;
use agateport_domain::session::Session;
use agateport_wire::peer::Endpoint;
use agateport_wire::platform::Platform;
use agateport_wire::secure::Acceptor;
use agateport_wire::tls::Identity;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Semaphore, watch};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Time that peers get to hear that the connections are closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// The state that a node's tasks share.
#[derive(Debug)]
pub struct Node<P> {
    /// Settings of the node.
    pub config: Config,
    /// How servers are shared among the nodes.
    pub policy: P,
    /// Client of the platform.
    pub platform: Platform,
    /// Connections to peers.
    pub peers: Peers,
    /// Operators whose signatures count.
    pub trust: Trust,
    /// What is known of the bundle in force.
    pub active: Mutex<Force>,
    /// This node's part in spreading bundles.
    pub dissemination: Mutex<Spread>,
    /// Last bundle taken over; none until the first is known.
    pub accepted: watch::Sender<Option<Accepted>>,
    /// Bundle that the node goes by; none until the first is known.
    pub bundle: watch::Sender<Option<Arc<Bundle>>>,
    /// What is known of the other nodes.
    pub view: Mutex<View>,
    /// Owners of each server, as the view has them.
    pub order: Order,
    /// What is known of the groups.
    pub groups: Sharded<GroupId, Group>,
    /// Notified when a status of the group came in.
    pub reports: watch::Sender<u64>,
    /// Who waits for the groups' positions.
    pub interest: Interest,
    /// This process's number in the terms that it opens.
    pub promoter: PromoterId,
    /// What owners say of each priority at their servers.
    pub throttles: Throttles,
    /// Servers that this node keeps connections of.
    pub servers: Sharded<ServerId, server::State>,
    /// Callers' sessions.
    pub sessions: Sharded<SessionId, Session>,
    /// What the frontend keeps beside the sessions.
    pub frontend: Arc<frontend::state::State>,
    /// Counters.
    pub metrics: Metrics,
    /// Cancelled when the node takes no new work.
    pub leaving: CancellationToken,
    /// Cancelled when the node ends.
    pub stopping: CancellationToken,
    /// Callers' tasks.
    pub callers: TaskTracker,
    /// Takes callers' TLS connections; none refuses them.
    pub acceptor: Option<Acceptor>,
    /// Places for callers that haven't logged in yet.
    pub logins: Semaphore,
    /// Streams that this node serves, its own callers' among them.
    pub streams: TaskTracker,
    /// Cancelled when an operator orders the node to end.
    pub draining: CancellationToken,
    /// Cancelled when no new stream is served any more.
    pub closing: CancellationToken,
    /// When the node started.
    pub started: SystemTime,
    next_id: AtomicU64,
}

impl<P: Policy + Send + Sync + 'static> Node<P> {
    /// Opens the node's sockets and starts its tasks.
    ///
    /// # Errors
    ///
    /// [`Error`] if an address is taken or a certificate can't be used.
    pub async fn start(config: Config, policy: P) -> Result<Running<P>, Error> {
        let tls = &config.tls;
        let identity =
            Identity::load(&tls.authority, &tls.certificate, &tls.key).map_err(Error::Identity)?;
        let endpoint = Endpoint::bind(config.peers, identity).map_err(Error::Peers)?;
        let callers = bind(config.callers).await?;
        let admin = bind(config.admin).await?;
        let addresses = Addresses {
            callers: callers.local_addr()?,
            peers: endpoint.address().map_err(Error::Peers)?,
            admin: admin.local_addr()?,
        };
        let seeds = config.seeds.iter().map(Seed::member).collect();
        let dissemination = Spread::new(
            config.name.clone(),
            config.zone.clone(),
            seeds,
            Pcg64Mcg::from_rng(&mut rand::rng()),
            Instant::now(),
        );
        let view = View::new(
            config.name.clone(),
            config.zone.clone(),
            addresses.peers,
            rand::random(),
            Instant::now(),
        );
        let node = Arc::new(Self {
            policy,
            platform: Platform::new(config.platform)?,
            peers: Peers::new(endpoint),
            trust: config.trust()?,
            active: Mutex::default(),
            dissemination: Mutex::new(dissemination),
            accepted: watch::Sender::new(None),
            bundle: watch::Sender::new(None),
            view: Mutex::new(view),
            order: Order::default(),
            groups: Sharded::new(),
            reports: watch::Sender::new(0),
            interest: Interest::default(),
            promoter: rand::random(),
            throttles: Throttles::default(),
            servers: Sharded::new(),
            sessions: Sharded::new(),
            frontend: Arc::default(),
            metrics: Metrics::new(config.statsd)?,
            leaving: CancellationToken::new(),
            stopping: CancellationToken::new(),
            callers: TaskTracker::new(),
            acceptor: config.acceptor()?,
            logins: Semaphore::new(startup::MAXIMUM_LOGINS),
            streams: TaskTracker::new(),
            draining: CancellationToken::new(),
            closing: CancellationToken::new(),
            started: SystemTime::now(),
            next_id: AtomicU64::new(1),
            config,
        });
        control::start(&node, admin);
        tokio::spawn(peers::accept(Arc::clone(&node)));
        tokio::spawn(frontend::listen(Arc::clone(&node), callers));
        tracing::info!(node = %node.config.name, "the node has started");
        Ok(Running { node, addresses })
    }

    /// Returns a number that no other request or session of this node has.
    pub fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the first nodes that may serve `server`, the preferred one first.
    pub fn owners(&self, server: &bundle::Server) -> Arc<[NodeId]> {
        let view = self.view.lock().unwrap_or_else(PoisonError::into_inner);
        let (name, zone) = (&server.name, &server.zone);
        self.order
            .owners(&self.policy, &self.config.name, name, zone, &view)
    }

    /// Returns the bundle in force.
    pub fn bundle(&self) -> Option<Arc<Bundle>> {
        self.bundle.borrow().clone()
    }
}

/// A node that has started.
#[derive(Debug)]
pub struct Running<P> {
    node: Arc<Node<P>>,
    addresses: Addresses,
}

/// The addresses that a node got, where its settings left the port open.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for peers.
    pub peers: SocketAddr,
    /// Address for status and readiness.
    pub admin: SocketAddr,
}

impl<P: Policy + Send + Sync + 'static> Running<P> {
    /// Returns the addresses that the node got.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns a token that makes the node finish what it does and end.
    #[must_use]
    pub fn draining(&self) -> CancellationToken {
        self.node.draining.clone()
    }

    /// Runs until a signal or an operator's order, then lets requests finish; a
    /// second signal ends the node at once.
    ///
    /// # Errors
    ///
    /// [`Error`] if signals can't be received.
    pub async fn run(self) -> Result<(), Error> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
            () = self.node.draining.cancelled() => {}
        }
        tokio::select! {
            () = drain::run(&self.node) => {}
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        self.node.stopping.cancel();
        // A peer that is gone can't be told.
        let _ = timeout(CLOSE_TIMEOUT, self.node.peers.close()).await;
        tracing::info!(node = %self.node.config.name, "the node has ended");
        Ok(())
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(|source| Error::Bind { address, source })
}
