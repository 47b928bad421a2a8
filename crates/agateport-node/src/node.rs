//! The node: shared state of its tasks, startup and shutdown.

use crate::config::{Config, Seed};
use crate::control;
use crate::control::status::Subscriptions;
use crate::drain;
use crate::error::Error;
use crate::frontend::throttles::Throttles;
use crate::frontend::{self, startup};
use crate::metrics::Metrics;
use crate::owner::server;
use crate::peers::{self, Peers};
use agateport_domain::bundle::{self, Accepted, Active, Bundle, Dissemination, Trust};
use agateport_domain::group::{Group, PromoterId};
use agateport_domain::membership::View;
use agateport_domain::owner::{Cache, Policy};
use agateport_domain::prelude::*;
use agateport_domain::session::Session;
use agateport_wire::peer::Endpoint;
use agateport_wire::platform::Platform;
use agateport_wire::stream::Acceptor;
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

/// Time limit for closing the connections to peers.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// State shared by the node's tasks.
#[derive(Debug)]
pub struct Node<P> {
    /// Settings from the settings file.
    pub config: Config,
    /// Policy by which the nodes share the servers.
    pub policy: P,
    /// Client of the platform.
    pub platform: Platform,
    /// Connections to peers, at most one each.
    pub peers: Peers,
    /// Operators whose signatures are valid.
    pub trust: Trust,
    /// The bundle in force and the last rejected one.
    pub active: Mutex<Active>,
    /// State of the dissemination of bundles among the nodes.
    pub dissemination: Mutex<Dissemination>,
    /// Last accepted bundle with its signatures; `None` until the first is accepted.
    pub accepted: watch::Sender<Option<Accepted>>,
    /// Bundle in force; `None` until the first is accepted.
    pub bundle: watch::Sender<Option<Arc<Bundle>>>,
    /// Membership view: the nodes and their states.
    pub view: Mutex<View>,
    /// Cache of the owners of each server by the membership view.
    pub owner_cache: Cache,
    /// State of each group: primary, terms and log positions of its servers.
    pub groups: Sharded<GroupId, Group>,
    /// Number of status reports received from servers; a change wakes the tasks that
    /// wait for a report.
    pub reports: watch::Sender<u64>,
    /// Number of tasks that need frequent status queries of each group.
    pub subscriptions: Subscriptions,
    /// Id of this process in the terms that it starts, chosen at random.
    pub promoter: PromoterId,
    /// Throttles by server and priority, driven by the owners' answers.
    pub throttles: Throttles,
    /// Queue and idle connections of each server.
    pub servers: Sharded<ServerId, server::State>,
    /// Sessions of connected callers.
    pub sessions: Sharded<SessionId, Session>,
    /// Other state of the frontend.
    pub frontend: Arc<frontend::state::State>,
    /// Event counters.
    pub metrics: Metrics,
    /// Cancelled when the node stops accepting callers and begins to leave.
    pub leaving: CancellationToken,
    /// Cancelled when all background tasks must end.
    pub stopping: CancellationToken,
    /// Tasks that serve callers.
    pub callers: TaskTracker,
    /// TLS acceptor for callers; `None` refuses TLS.
    pub acceptor: Option<Acceptor>,
    /// Limits the number of callers that are logging in.
    pub logins: Semaphore,
    /// Tasks that serve streams, both from peers and from local callers.
    pub streams: TaskTracker,
    /// Cancelled to drain the node, for example on an operator's order.
    pub draining: CancellationToken,
    /// Cancelled when the node has drained or the time limit has passed; it then
    /// refuses requests of peers.
    pub closing: CancellationToken,
    /// Time at which the node started.
    pub started_at: SystemTime,
    next_id: AtomicU64,
}

impl<P: Policy + Send + Sync + 'static> Node<P> {
    /// Opens the node's sockets and starts its tasks.
    ///
    /// # Errors
    ///
    /// [`Error`] if an address cannot be bound, a certificate or key cannot be loaded, or
    /// the client of the platform or of statsd cannot be created.
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
        let dissemination = Dissemination::new(
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
            owner_cache: Cache::default(),
            groups: Sharded::new(),
            reports: watch::Sender::new(0),
            subscriptions: Subscriptions::default(),
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
            logins: Semaphore::new(startup::MAX_LOGINS),
            streams: TaskTracker::new(),
            draining: CancellationToken::new(),
            closing: CancellationToken::new(),
            started_at: SystemTime::now(),
            next_id: AtomicU64::new(1),
            config,
        });
        control::start(&node, admin);
        tokio::spawn(peers::accept(Arc::clone(&node)));
        tokio::spawn(frontend::listen(Arc::clone(&node), callers));
        tracing::info!(node = %node.config.name, "node started");
        Ok(Running { node, addresses })
    }

    /// Returns an id that is unique among the requests and sessions of this node.
    pub fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the first candidates for the owner of `server`, in order of preference.
    pub fn owners(&self, server: &bundle::Server) -> Arc<[NodeId]> {
        let view = self.view.lock().unwrap_or_else(PoisonError::into_inner);
        let (name, zone) = (&server.name, &server.zone);
        self.owner_cache
            .owners(&self.policy, &self.config.name, name, zone, &view)
    }

    /// Returns the bundle in force.
    pub fn bundle(&self) -> Option<Arc<Bundle>> {
        self.bundle.borrow().clone()
    }
}

/// A started node.
#[derive(Debug)]
pub struct Running<P> {
    node: Arc<Node<P>>,
    addresses: Addresses,
}

/// Bound addresses of a node, with the actual ports where the settings have port 0.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Address on which the node accepts callers.
    pub callers: SocketAddr,
    /// Address on which the node accepts peers.
    pub peers: SocketAddr,
    /// Address of the HTTP server for status, readiness and drain orders.
    pub admin: SocketAddr,
}

impl<P: Policy + Send + Sync + 'static> Running<P> {
    /// Returns the bound addresses.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns a token; cancelling it drains and then ends the node.
    #[must_use]
    pub fn draining(&self) -> CancellationToken {
        self.node.draining.clone()
    }

    /// Runs until SIGTERM, SIGINT or an operator's order, then drains the node. A
    /// second signal ends it immediately.
    ///
    /// # Errors
    ///
    /// [`Error`] if the signal handlers cannot be installed.
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
        // Peers that are unreachable do not confirm the close.
        let _ = timeout(CLOSE_TIMEOUT, self.node.peers.close()).await;
        tracing::info!(node = %self.node.config.name, "node stopped");
        Ok(())
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(|source| Error::Bind { address, source })
}
