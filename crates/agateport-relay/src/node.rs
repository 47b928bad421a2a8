//! Entry point of a node: starts its listeners and background tasks, and drains
//! them on a stop.

use crate::accept::accept;
use crate::catalog::Catalog;
use crate::control::confirmation;
use crate::control::follower::Follower;
use crate::control::handover::Handover;
use crate::control::monitor::Monitor;
use crate::control::peer;
use crate::control::poller::Poller;
use crate::control::presence::{self, Presence};
use crate::control::snapshot::Snapshot;
use crate::control::suspicion::{self, Suspicions};
use crate::control::trigger::Trigger;
use crate::currency::Origin;
use crate::drain::Drain;
use crate::error::Error;
use crate::http;
use crate::intake::Intake;
use crate::lend::Lender;
use crate::metrics::Metrics;
use crate::pacing;
use crate::protocol::Protocol;
use crate::readiness::{DRAIN_DELAY, Readiness, close_idle_sessions};
use crate::record::{ProcessId, Records};
use crate::registry;
use crate::source::{Promoter, Reading, Source, Store};
use crate::statement::Runner;
use crate::tasks::Tasks;
use crate::upstreams::Upstreams;
use agateport_domain::allowance::Tolerance;
use agateport_domain::intake::Limits;
use agateport_domain::prelude::*;
use agateport_domain::tree::Capacity;
use std::net::SocketAddr;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant as Deadline, timeout_at};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Interval between two checks for new groups and idle connections.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Identity and addresses of a node.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the node.
    pub node: NodeId,
    /// Availability zone that it runs in.
    pub zone: Zone,
    /// Processing power of its VM.
    pub capacity: Capacity,
    /// Maximum time to wait before the first read of the store; nodes that start together
    /// spread over it.
    pub start_spread: Duration,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// HTTP path of the readiness check.
    pub ready_path: &'static str,
    /// Address for metrics.
    pub metrics: SocketAddr,
    /// Address for other nodes.
    pub peers: SocketAddr,
    /// Grace period: time from the request to stop until the process is killed.
    pub grace: Duration,
    /// Time for which a server that announced that it leaves keeps serving.
    pub drain: Duration,
    /// Age of the configuration up to which the key of a workspace is accepted.
    pub key_validity: Duration,
    /// How exactly the limits of workspaces are kept.
    pub tolerance: Tolerance,
    /// Whether placement and limits follow the measured pace of the servers.
    pub adapts_to_servers: bool,
    /// Whether a statement leaves the queue when its caller closes its connection.
    pub dequeues_disconnected: bool,
    /// Whether what is not expected to start in time is refused on arrival.
    pub refuses_on_arrival: bool,
    /// Limits on what clients make the node hold.
    pub limits: Limits,
}

/// Services of the platform that a node runs on.
#[derive(Debug)]
pub struct Platform<S, C, R, P> {
    /// The table that holds the project's persistent state.
    pub store: S,
    /// The stream of configurations.
    pub catalogs: C,
    /// The stream of registries.
    pub registries: R,
    /// Executes promotions.
    pub promoter: P,
    /// Counters, to which the platform's adapters add theirs.
    pub metrics: Arc<Metrics>,
}

/// Runs a node until `stop` is cancelled and its sessions have ended or are cut.
///
/// # Errors
///
/// [`enum@Error`] if an address cannot be bound.
pub async fn run<W, S, C, R, P>(
    config: Config,
    platform: Platform<S, C, R, P>,
    stop: CancellationToken,
) -> Result<(), Error>
where
    W: Protocol,
    S: Store,
    C: Source<Item = Catalog>,
    R: Source<Item = registry::Observation>,
    P: Promoter,
{
    let metrics = platform.metrics;
    let callers = TcpListener::bind(config.callers).await?;
    let peers = TcpListener::bind(config.peers).await?;
    let (publisher, snapshots) = watch::channel(None);
    let intake = Arc::new(Intake::new(config.limits, Some(metrics.clone())));
    let node = Node {
        upstreams: Arc::new(
            Upstreams::<W>::new(config.node.clone(), config.zone.clone())
                .with_drain(config.drain)
                .with_key_validity(config.key_validity)
                .with_tolerance(config.tolerance)
                .with_adaptation(config.adapts_to_servers)
                .with_dequeuing(config.dequeues_disconnected)
                .with_refusal_on_arrival(config.refuses_on_arrival)
                .with_metrics(metrics.clone())
                .with_intake(intake),
        ),
        config,
        process: rand::random(),
        metrics: metrics.clone(),
        store: Arc::new(platform.store),
        trigger: Arc::default(),
        suspicions: Arc::default(),
        snapshots,
        tasks: Tasks::new(stop.clone()),
        drain: Drain::new(stop),
        end: CancellationToken::new(),
    };
    node.follow_store(platform.catalogs, platform.registries, publisher);
    let lent = node.serve_peers(peers);
    node.maintain_membership();
    node.run_handover(platform.promoter);
    let upstreams = node.upstreams.clone();
    let upkeep = run_upkeep(
        upstreams,
        metrics.clone(),
        node.tasks.clone(),
        node.end.clone(),
    );
    node.tasks.spawn("upkeep", upkeep);
    let (shutdown, shutdown_receiver) = watch::channel(false);
    let shutdown = Arc::new(shutdown);
    let readiness = node.readiness();
    let closing_idle = close_idle_sessions(readiness.clone(), shutdown.clone(), node.end.clone());
    node.tasks.spawn("idle_sessions", closing_idle);
    http::serve_ready(node.config.ready, node.config.ready_path, readiness).await?;
    let (upstreams, snapshots) = (node.upstreams.clone(), node.snapshots.clone());
    http::serve_metrics(node.config.metrics, upstreams, snapshots, metrics.clone()).await?;

    tracing::info!(
        event = "node_started",
        node = &*node.config.node,
        zone = &*node.config.zone,
        "the node has started"
    );
    let runner = Runner::new(node.upstreams.clone(), metrics);
    let sessions = TaskTracker::new();
    let accepting = accept(
        callers,
        &sessions,
        runner,
        shutdown_receiver,
        node.drain.clone(),
    );
    tokio::join!(accepting, node.drain(&shutdown, [&sessions, &lent]));
    node.end.cancel();
    tracing::info!(
        event = "node_stopped",
        node = &*node.config.node,
        "the node has stopped"
    );
    node.tasks
        .panicked()
        .map_or(Ok(()), |task| Err(Error::Panicked(task)))
}

/// State shared by the tasks of a node.
struct Node<W, S> {
    config: Config,
    process: ProcessId,
    metrics: Arc<Metrics>,
    upstreams: Arc<Upstreams<W>>,
    store: Arc<S>,
    trigger: Arc<Trigger>,
    suspicions: Arc<Suspicions>,
    snapshots: watch::Receiver<Option<Snapshot>>,
    drain: Drain,
    /// Cancelled when the sessions have ended or are cut.
    end: CancellationToken,
    tasks: Tasks,
}

impl<W: Protocol, S: Store> Node<W, S> {
    /// Starts to follow configurations, registries and the project's rows.
    fn follow_store<C, R>(
        &self,
        catalogs: C,
        registries: R,
        publisher: watch::Sender<Option<Snapshot>>,
    ) where
        C: Source<Item = Catalog>,
        R: Source<Item = registry::Observation>,
    {
        let (reading, is_reading) = watch::channel(false);
        let (heads, head_receiver) = watch::channel(None);
        let upstreams = self.upstreams.clone();
        let catalogs = Follower {
            source: catalogs,
            apply: move |reading| upstreams.apply_catalog(reading, Origin::Store),
            is_reading: is_reading.clone(),
            heads: head_receiver.clone(),
        };
        self.tasks
            .spawn("configurations", catalogs.run(self.end.clone()));
        let upstreams = self.upstreams.clone();
        let registries = Follower {
            source: registries,
            apply: move |reading: Reading<registry::Observation>| {
                if let Some(observation) = reading.change {
                    let registry = observation.over(&upstreams.registry());
                    upstreams.apply_registry(registry);
                }
                let currency = &upstreams.currencies().registry;
                currency.confirm(reading.read_at, Origin::Store);
            },
            is_reading,
            heads: head_receiver,
        };
        self.tasks
            .spawn("registries", registries.run(self.end.clone()));
        let poller = Poller {
            node: self.config.node.clone(),
            process: self.process,
            zone: self.config.zone.clone(),
            start_delay: self.config.start_spread.mul_f64(rand::random()),
            store: self.store.clone(),
            upstreams: self.upstreams.clone(),
            snapshots: publisher,
            reading,
            heads,
            trigger: self.trigger.clone(),
            metrics: self.metrics.clone(),
        };
        self.tasks.spawn("poller", poller.run(self.end.clone()));
    }

    /// Starts to answer other nodes, and returns the tracker of permits lent to them.
    fn serve_peers(&self, listener: TcpListener) -> TaskTracker {
        let lent = TaskTracker::new();
        let lender = Lender {
            upstreams: self.upstreams.clone(),
            drain: self.drain.clone(),
            suspicions: self.suspicions.clone(),
            lent: lent.clone(),
        };
        let server = peer::serve(listener, lender, self.snapshots.clone(), self.end.clone());
        self.tasks.spawn("peers", server);
        lent
    }

    /// Starts to publish this node's membership and to monitor the next node by name.
    fn maintain_membership(&self) {
        let presence = Presence {
            node: self.config.node.clone(),
            zone: self.config.zone.clone(),
            address: self.config.peers,
            capacity: self.config.capacity,
            process: self.process,
            store: self.store.clone(),
            upstreams: self.upstreams.clone(),
        };
        let publisher = presence.run(self.snapshots.clone(), self.drain.cut.clone());
        self.tasks.spawn("presence", publisher);
        let monitor = Monitor {
            node: self.config.node.clone(),
            store: self.store.clone(),
            upstreams: self.upstreams.clone(),
        };
        let monitoring = monitor.run(self.snapshots.clone(), self.end.clone());
        self.tasks.spawn("monitor", monitoring);
    }

    /// Starts to monitor the primaries, and to replace those that are down or leave.
    fn run_handover<P: Promoter>(&self, promoter: P) {
        let detecting = suspicion::run(
            self.config.node.clone(),
            self.upstreams.clone(),
            self.suspicions.clone(),
            self.snapshots.clone(),
            self.end.clone(),
        );
        self.tasks.spawn("suspicion", detecting);
        let handover = Handover::new(
            self.config.node.clone(),
            self.upstreams.clone(),
            self.store.clone(),
            promoter,
            self.trigger.clone(),
            self.suspicions.clone(),
            self.drain.stop.clone(),
        );
        let handing_over = handover.run(self.snapshots.clone(), self.end.clone());
        self.tasks.spawn("handover", handing_over);
    }

    fn readiness(&self) -> Readiness<W> {
        Readiness {
            upstreams: self.upstreams.clone(),
            snapshots: self.snapshots.clone(),
            stop: self.drain.stop.clone(),
        }
    }

    /// Waits for the request to stop, then for the sessions and lent permits to end,
    /// within the grace period.
    async fn drain(&self, shutdown: &watch::Sender<bool>, served: [&TaskTracker; 2]) {
        self.drain.stop.cancelled().await;
        let schedule = self.drain.begin(self.config.grace);
        let cut = Deadline::from_std(schedule.cut);
        let drained_at = cut.min(Deadline::now() + DRAIN_DELAY);
        let [sessions, lent] = served;
        tracing::info!(
            event = "node_leaving",
            sessions = sessions.len(),
            "a stop of the node is requested"
        );
        let _ = timeout_at(drained_at, self.resign()).await;
        tokio::time::sleep_until(drained_at).await;
        shutdown.send_replace(true);
        if timeout_at(cut, wait(served)).await.is_err() {
            tracing::warn!(
                event = "sessions_cut",
                sessions = sessions.len(),
                lent = lent.len(),
                "sessions that outlast the grace period are cut"
            );
        }
        // Callers may have been accepted since the last session ended.
        self.drain.cut.cancel();
        // Nothing is passed on any more, so handovers need not wait for this node while it
        // sends its last answers.
        let leaving = async { tokio::join!(wait(served), self.leave()) };
        let _ = timeout_at(Deadline::from_std(schedule.end), leaving).await;
    }

    /// Gives up the coordinator's row if this node holds it.
    async fn resign(&self) {
        if let Some(records) = self.records() {
            presence::resign(&self.config.node, self.store.as_ref(), &records).await;
        }
    }

    /// Deletes the rows of this node.
    async fn leave(&self) {
        if let Some(records) = self.records() {
            let (node, store) = (&self.config.node, self.store.as_ref());
            presence::leave(node, self.process, store, &records).await;
        }
    }

    /// Returns the rows of the latest read of the store.
    fn records(&self) -> Option<Arc<Records>> {
        let snapshot = self.snapshots.borrow();
        snapshot.as_ref().map(|snapshot| snapshot.records.clone())
    }
}

/// Waits until nothing is served any more.
async fn wait([sessions, lent]: [&TaskTracker; 2]) {
    sessions.close();
    lent.close();
    sessions.wait().await;
    lent.wait().await;
}

/// Starts the confirmation tasks of new groups, and closes idle connections.
async fn run_upkeep<W: Protocol>(
    upstreams: Arc<Upstreams<W>>,
    metrics: Arc<Metrics>,
    tasks: Tasks,
    end: CancellationToken,
) {
    let mut known = BTreeSet::new();
    let mut paces = pacing::Watch::default();
    loop {
        for name in upstreams.groups() {
            if known.insert(name.clone()) {
                let group = upstreams.group(&name);
                let confirming = confirmation::run(group, upstreams.clone(), end.clone());
                tasks.spawn("confirmation", confirming);
            }
        }
        upstreams.close_idle();
        paces.observe(&upstreams, &metrics);
        tokio::select! {
            () = end.cancelled() => return,
            () = tokio::time::sleep(UPKEEP_INTERVAL) => {}
        }
    }
}
