//! Groups and servers known to a node.

use crate::allowance::Allowances;
use crate::catalog::Catalog;
use crate::channel;
use crate::context;
use crate::currency::{Currencies, Origin};
use crate::group::Group;
use crate::intake::Intake;
use crate::metrics::Metrics;
use crate::ownership::{Members, Ownership};
use crate::priority;
use crate::protocol::Protocol;
use crate::record::Records;
use crate::registry::{self, Entry, Registry};
use crate::server::{Role, Server};
use crate::source::{Reading, Revision};
use crate::trace::Trace;
use agateport_domain::admission::Share;
use agateport_domain::allowance::Tolerance;
use agateport_domain::prelude::*;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError, RwLock, RwLockWriteGuard};
use tokio::sync::watch;

/// Connections that a server is assumed to have if the configuration does not
/// specify them.
const DEFAULT_CONNECTIONS: usize = 16;

/// Share of the time for which a leaving server keeps serving in which new work is sent to
/// it. The rest is for the time until a node knows that it is leaving, and for that work.
const LEAVING_SHARE: f64 = 0.8;

/// Age of the configuration up to which a known key is accepted: the 5 s in which a change
/// takes effect, and the 15 s by which an unstable store may delay it.
pub const DEFAULT_KEY_VALIDITY: Duration = Duration::from_secs(20);

/// Groups and servers known to a node.
#[derive(Debug)]
pub struct Upstreams<W> {
    zone: Zone,
    /// Time for which new work is sent to a leaving server.
    leaving_limit: Duration,
    /// Whether placement and limits follow the measured pace of the servers.
    adapts_to_servers: bool,
    /// Whether a statement leaves the queue when its caller closes its connection.
    dequeues_disconnected: bool,
    /// Whether what is not expected to start in time is refused on arrival.
    refuses_on_arrival: bool,
    groups: Sharded<GroupId, Arc<Group>>,
    servers: Sharded<ServerId, Arc<Server<W>>>,
    registry: RwLock<Arc<Registry>>,
    catalog: RwLock<Arc<Catalog>>,
    currencies: Currencies,
    /// Publishes the version of the configuration; zero before the first one.
    catalog_version: watch::Sender<BundleVersion>,
    /// Counts the changes of the configuration and of the registry.
    changes: watch::Sender<u64>,
    /// Which nodes connect to which servers.
    ownership: Ownership,
    /// Channels to the owners of servers.
    channels: Arc<channel::Pool>,
    /// Size of the values and prepared statements of this node's sessions.
    context_usage: Arc<context::Usage>,
    /// What clients make this node hold.
    intake: Arc<Intake>,
    /// Revision of the registry.
    registry_revision: Mutex<Revision>,
    /// Fingerprint of the registry, for comparison between nodes.
    fingerprint: AtomicU64,
    /// Logs and counts prepared statements.
    trace: Arc<Trace>,
    /// Age of the configuration up to which a known key is accepted.
    key_validity: Duration,
    /// Operations that the workspaces may run.
    allowances: Allowances,
}

impl<W: Protocol> Upstreams<W> {
    /// Creates the empty state of `node` in `zone`.
    #[must_use]
    pub fn new(node: NodeId, zone: Zone) -> Self {
        Self {
            allowances: Allowances::new(node.clone(), zone.clone()),
            ownership: Ownership::new(node, zone.clone()),
            zone,
            leaving_limit: Duration::MAX,
            adapts_to_servers: false,
            dequeues_disconnected: false,
            refuses_on_arrival: false,
            groups: Sharded::new(),
            servers: Sharded::new(),
            registry: RwLock::default(),
            catalog: RwLock::default(),
            currencies: Currencies::default(),
            catalog_version: watch::Sender::new(0),
            changes: watch::Sender::new(0),
            channels: Arc::default(),
            context_usage: Arc::default(),
            intake: Arc::default(),
            registry_revision: Mutex::default(),
            fingerprint: AtomicU64::new(0),
            trace: Arc::default(),
            key_validity: DEFAULT_KEY_VALIDITY,
        }
    }

    /// Sets the age of the configuration up to which a known key is accepted.
    #[must_use]
    pub fn with_key_validity(self, key_validity: Duration) -> Self {
        Self {
            key_validity,
            ..self
        }
    }

    /// Returns the age of the configuration up to which a known key is accepted.
    #[must_use]
    pub fn key_validity(&self) -> Duration {
        self.key_validity
    }

    /// Sets the metrics that prepared statements and allowances are logged and counted with.
    #[must_use]
    pub fn with_metrics(self, metrics: Arc<Metrics>) -> Self {
        Self {
            allowances: self.allowances.with_metrics(metrics.clone()),
            trace: Arc::new(Trace::new(metrics)),
            ..self
        }
    }

    /// Sets the limits on what clients make this node hold.
    #[must_use]
    pub fn with_intake(self, intake: Arc<Intake>) -> Self {
        let context_usage = match intake.limits().contexts {
            Some(limit) => Arc::new(context::Usage::new(limit)),
            None => Arc::default(),
        };
        Self {
            context_usage,
            intake,
            ..self
        }
    }

    /// Returns what clients make this node hold.
    #[must_use]
    pub fn intake(&self) -> &Arc<Intake> {
        &self.intake
    }

    /// Returns the log of prepared statements.
    #[must_use]
    pub fn trace(&self) -> &Trace {
        &self.trace
    }

    /// Sets how exactly the limits of workspaces are kept.
    #[must_use]
    pub fn with_tolerance(self, tolerance: Tolerance) -> Self {
        Self {
            allowances: self.allowances.with_tolerance(tolerance),
            ..self
        }
    }

    /// Returns the zone of this node.
    #[must_use]
    pub fn zone(&self) -> &Zone {
        &self.zone
    }

    /// Returns the allowances of the workspaces.
    #[must_use]
    pub fn allowances(&self) -> &Allowances {
        &self.allowances
    }

    /// Sets the time for which a leaving server keeps serving.
    #[must_use]
    pub fn with_drain(self, drain: Duration) -> Self {
        Self {
            leaving_limit: drain.mul_f64(LEAVING_SHARE),
            ..self
        }
    }

    /// Sets whether placement and limits follow the measured pace of the servers.
    #[must_use]
    pub fn with_adaptation(self, adapts_to_servers: bool) -> Self {
        Self {
            adapts_to_servers,
            ..self
        }
    }

    /// Returns whether placement and limits follow the measured pace of the servers.
    #[must_use]
    pub fn adapts_to_servers(&self) -> bool {
        self.adapts_to_servers
    }

    /// Sets whether a statement leaves the queue when its caller closes its connection.
    #[must_use]
    pub fn with_dequeuing(self, dequeues_disconnected: bool) -> Self {
        Self {
            dequeues_disconnected,
            ..self
        }
    }

    /// Returns whether a statement leaves the queue when its caller closes its connection.
    #[must_use]
    pub fn dequeues_disconnected(&self) -> bool {
        self.dequeues_disconnected
    }

    /// Sets whether what is not expected to start in time is refused on arrival.
    #[must_use]
    pub fn with_refusal_on_arrival(self, refuses_on_arrival: bool) -> Self {
        Self {
            refuses_on_arrival,
            ..self
        }
    }

    /// Returns whether what is not expected to start in time is refused on arrival.
    #[must_use]
    pub fn refuses_on_arrival(&self) -> bool {
        self.refuses_on_arrival
    }

    /// Returns the time for which new work is sent to a leaving server if no other can run
    /// it.
    #[must_use]
    pub fn leaving_limit(&self) -> Duration {
        self.leaving_limit
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn catalog(&self) -> Arc<Catalog> {
        read(&self.catalog)
    }

    /// Returns how current the configuration and the registry are.
    #[must_use]
    pub fn currencies(&self) -> &Currencies {
        &self.currencies
    }

    /// Returns a receiver that is notified when the configuration or the registry changes.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Waits for the first configuration, for at most `max_wait`.
    pub async fn wait_configured(&self, max_wait: Duration) {
        let mut catalog_version = self.catalog_version.subscribe();
        let first = catalog_version.wait_for(|version| *version > 0);
        // After a timeout the callers are refused, since no database has a route.
        let _ = tokio::time::timeout(max_wait, first).await;
    }

    /// Returns the registered servers.
    #[must_use]
    pub fn registry(&self) -> Arc<Registry> {
        read(&self.registry)
    }

    /// Returns the route of a database.
    #[must_use]
    pub fn route(&self, database: &str) -> Option<Arc<crate::catalog::Route>> {
        self.catalog().routes.get(database).cloned()
    }

    /// Returns the names of the groups that are configured and have servers.
    #[must_use]
    pub fn groups(&self) -> BTreeSet<GroupId> {
        let catalog = self.catalog();
        let registry = self.registry();
        let registered = registry.values().map(|entry| entry.group.clone());
        registered
            .filter(|group| catalog.connections.contains_key(group))
            .collect()
    }

    /// Returns a fingerprint of the registry.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint.load(Ordering::Relaxed)
    }

    /// Returns the registry with its revision.
    #[must_use]
    pub fn registry_snapshot(&self) -> registry::Snapshot {
        registry::Snapshot {
            registry: Registry::clone(&self.registry()),
            revision: *self.registry_revision(),
        }
    }

    /// Returns the group with this name.
    #[must_use]
    pub fn group(&self, name: &GroupId) -> Arc<Group> {
        self.groups.with(name, |groups| {
            let group = groups
                .entry(name.clone())
                .or_insert_with(|| Arc::new(Group::new(name.clone())));
            group.clone()
        })
    }

    /// Returns the server with this name, if it is registered.
    #[must_use]
    pub fn server(&self, name: &ServerId) -> Option<Arc<Server<W>>> {
        self.servers.get(name)
    }

    /// Returns the registered servers of a group.
    #[must_use]
    pub fn servers(&self, group: &GroupId) -> Vec<Arc<Server<W>>> {
        let registry = self.registry();
        let entries = registry.values().filter(|entry| entry.group == *group);
        entries
            .filter_map(|entry| self.server(&entry.server))
            .collect()
    }

    /// Returns the servers with a failed attempt of this node since their last answer.
    #[must_use]
    pub fn suspects(&self) -> Vec<Arc<Server<W>>> {
        let mut suspects = Vec::new();
        self.servers.for_each(|_, server| {
            if server.detector().is_suspected() {
                suspects.push(server.clone());
            }
        });
        suspects
    }

    /// Returns whether a server is in the zone of this node.
    #[must_use]
    pub fn is_same_zone(&self, entry: &Entry) -> bool {
        entry.zone == self.zone
    }

    /// Applies a configuration from `origin` if it is newer than the one in force. In any
    /// case the one in force then includes all that was known when it was read.
    pub fn apply_catalog(&self, reading: Reading<Catalog>, origin: Origin) {
        let mut current = write(&self.catalog);
        let newer = reading
            .change
            .filter(|catalog| current.version < catalog.version);
        let Some(catalog) = newer else {
            self.currencies.catalog.confirm(reading.read_at, origin);
            return;
        };
        tracing::info!(
            event = "configuration_applied",
            version = catalog.version,
            former = current.version,
            routes = catalog.routes.len(),
            %origin,
            "a newer configuration is in force"
        );
        let version = catalog.version;
        let directory = catalog.workspaces.clone().unwrap_or_default();
        self.allowances.apply_directory(version, directory);
        *current = Arc::new(catalog);
        self.currencies.catalog.confirm(reading.read_at, origin);
        drop(current);
        self.catalog_version.send_replace(version);
        self.assign_shares();
        self.changes.send_modify(|count| *count += 1);
    }

    /// Applies a registry unless a newer one is known.
    pub fn apply_registry(&self, snapshot: registry::Snapshot) {
        let registry::Snapshot { registry, revision } = snapshot;
        let former = self.registry();
        {
            let mut known = self.registry_revision();
            if revision < *known {
                return;
            }
            *known = revision;
        }
        if *former == registry {
            return;
        }
        for (name, entry) in &registry {
            if former.get(name) == Some(entry) {
                continue;
            }
            self.register(entry);
        }
        for name in former.keys().filter(|name| !registry.contains_key(*name)) {
            tracing::info!(
                event = "server_gone",
                server = &**name,
                "a server left the registry"
            );
            self.servers.remove(name);
            self.ownership.remove(name);
        }
        let mut current = write(&self.registry);
        let mut hasher = DefaultHasher::new();
        registry.hash(&mut hasher);
        self.fingerprint.store(hasher.finish(), Ordering::Relaxed);
        *current = Arc::new(registry);
        drop(current);
        self.select_leaders();
        self.changes.send_modify(|count| *count += 1);
    }

    /// Applies a new or changed registry entry. If the server is a new process or has
    /// another address, its state is created anew.
    fn register(&self, entry: &Entry) {
        tracing::info!(
            event = "server_listed",
            server = &*entry.server,
            group = &*entry.group,
            zone = &*entry.zone,
            is_primary = entry.is_primary,
            is_leaving = entry.is_leaving,
            "the registry entry of a server changed"
        );
        let known = self.servers.get(&entry.server).filter(|server| {
            let known = server.entry();
            known.address == entry.address && known.incarnation == entry.incarnation
        });
        if let Some(server) = known {
            server.update_entry(entry.clone());
            return;
        }
        let (role, share) = self.share(entry);
        let priorities = priority::all();
        match Server::new(entry.clone(), share, &priorities, self.trace.clone()) {
            Ok(server) => {
                let server = if self.adapts_to_servers {
                    server.adapting()
                } else {
                    server
                };
                let server = if self.refuses_on_arrival {
                    server.refusing_on_arrival()
                } else {
                    server
                };
                server.set_role(role, share, &priorities);
                self.servers.insert(entry.server.clone(), Arc::new(server));
            }
            Err(error) => tracing::warn!(
                event = "server_unusable",
                server = &*entry.server,
                %error,
                "the registry entry of a server is unusable"
            ),
        }
    }

    /// Applies the leadership records of the store. If their read was sent at
    /// `read_at`, those that are not outdated also renew the leases.
    ///
    /// The records of groups that are not configured or have no servers yet count too, so
    /// that no primary is used before its group's record.
    pub fn apply_leaderships(&self, records: &Records, read_at: Option<Uptime>) {
        let mut groups = self.groups();
        groups.extend(records.leaderships.keys().cloned());
        for group in groups {
            let leadership = records.leaderships.get(&group);
            let leadership = leadership.map(|(leadership, _)| leadership);
            let is_outdated = leadership.is_some_and(|leadership| records.is_outdated(leadership));
            let read_at = read_at.filter(|_| !is_outdated);
            self.group(&group)
                .record_leadership(leadership.cloned(), read_at);
        }
        self.select_leaders();
    }

    /// Requests that each group's servers be queried to confirm its primary.
    pub fn request_confirmations(&self) {
        for group in self.groups() {
            self.group(&group).confirmation_requested.notify_one();
        }
    }

    /// Returns whether at least half of the groups renewed their leases after
    /// `moment`. Groups without a primary count as well, since reads of the store
    /// renew their leases too.
    #[must_use]
    pub fn has_leases_since(&self, moment: Uptime) -> bool {
        let groups = self.groups();
        let renewed = groups
            .iter()
            .filter(|group| self.group(group).was_renewed_since(moment));
        renewed.count() * 2 >= groups.len()
    }

    /// Applies the list of nodes that use the servers.
    pub fn apply_members(&self, members: &Members) {
        if self.ownership.apply(members) {
            self.assign_shares();
        }
    }

    /// Returns the channels to the owners of servers.
    #[must_use]
    pub fn channels(&self) -> &Arc<channel::Pool> {
        &self.channels
    }

    /// Returns the size of the values and prepared statements of this node's sessions.
    #[must_use]
    pub fn context_usage(&self) -> &Arc<context::Usage> {
        &self.context_usage
    }

    /// Closes connections and channels that were idle for too long.
    pub fn close_idle(&self) {
        self.servers.for_each(|_, server| server.close_idle());
        self.channels.close_idle();
        self.allowances.close_idle();
    }

    fn registry_revision(&self) -> MutexGuard<'_, Revision> {
        self.registry_revision
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn assign_shares(&self) {
        let mut servers = Vec::new();
        self.servers
            .for_each(|_, server| servers.push(server.clone()));
        let priorities = priority::all();
        for server in servers {
            let (role, share) = self.share(&server.entry());
            server.set_role(role, share, &priorities);
        }
    }

    /// Returns how this node accesses a server, and the share that it may use.
    fn share(&self, entry: &Entry) -> (Role, Share) {
        let catalog = self.catalog();
        let declared = catalog.connections.get(&entry.group).copied();
        let total = declared.unwrap_or(DEFAULT_CONNECTIONS);
        let has_workspaces = catalog.workspaces.is_some();
        self.ownership.role(entry, total, has_workspaces)
    }

    /// Selects the leader of each group among the servers that report that they are
    /// its primary.
    fn select_leaders(&self) {
        let mut claimants: BTreeMap<GroupId, Vec<ServerId>> = BTreeMap::new();
        for entry in self.registry().values() {
            let claimants = claimants.entry(entry.group.clone()).or_default();
            if entry.is_primary {
                claimants.push(entry.server.clone());
            }
        }
        for (group, claimants) in claimants {
            self.group(&group).select_leader(&claimants);
        }
    }
}

/// Returns the current value.
fn read<T>(lock: &RwLock<Arc<T>>) -> Arc<T> {
    let value = lock.read().unwrap_or_else(PoisonError::into_inner);
    Arc::clone(&value)
}

fn write<T>(lock: &RwLock<Arc<T>>) -> RwLockWriteGuard<'_, Arc<T>> {
    lock.write().unwrap_or_else(PoisonError::into_inner)
}
