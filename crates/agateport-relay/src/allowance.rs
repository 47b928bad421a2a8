//! Takes operations out of the allowances of workspaces, and lends them to other nodes.

mod usage;

use crate::channel;
use crate::clock::uptime;
use crate::metrics::Metrics;
use crate::ownership::Members as Nodes;
use crate::record::Records;
use crate::source::Revision;
use agateport_domain::allowance::{
    Account, Lent, Listing, Members, Refusal, Request, Tolerance, Views,
};
use agateport_domain::prelude::*;
use agateport_domain::workspace::{Directory, Limits};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{PoisonError, RwLock, RwLockWriteGuard};
use tokio::sync::Mutex;
use usage::Usage;

/// Largest fraction by which a retry time is extended at random, so that refused callers do
/// not retry together.
const RETRY_JITTER: f64 = 0.5;

/// The operations of one workspace that wait for a lease.
#[derive(Debug, Default)]
struct Gate {
    /// Held while a lease is requested, so that each node has one open request.
    asking: Mutex<()>,
    waiting: AtomicU32,
}

/// Counts an operation as waiting until it is dropped.
struct Waiting<'a>(&'a Gate);

impl<'a> Waiting<'a> {
    fn new(gate: &'a Gate) -> Self {
        gate.waiting.fetch_add(1, Ordering::Relaxed);
        Self(gate)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

/// State of a workspace.
#[derive(Debug)]
struct Entry {
    account: Account,
    gate: Arc<Gate>,
    usage: Usage,
}

/// Limits of the configuration in force.
#[derive(Debug, Default)]
struct Configured {
    version: BundleVersion,
    directory: Arc<Directory>,
}

/// The allowances of the workspaces at this node.
#[derive(Debug)]
pub struct Allowances {
    node: NodeId,
    zone: Zone,
    tolerance: Tolerance,
    views: RwLock<Arc<Views>>,
    /// Addresses of the members.
    nodes: RwLock<Arc<Nodes>>,
    configured: RwLock<Arc<Configured>>,
    accounts: Sharded<WorkspaceId, Entry>,
    /// Channels to allocators. They are separate from those to owners of servers, so that a
    /// node that does not know these calls or answers them late is still used as an owner.
    channels: Arc<channel::Pool>,
    metrics: Option<Arc<Metrics>>,
}

impl Allowances {
    /// Creates the state of `node` in `zone`, which knows no other nodes yet.
    #[must_use]
    pub fn new(node: NodeId, zone: Zone) -> Self {
        Self {
            views: RwLock::new(Arc::new(Views::new(node.clone()))),
            node,
            zone,
            tolerance: Tolerance::default(),
            nodes: RwLock::default(),
            configured: RwLock::default(),
            accounts: Sharded::new(),
            channels: Arc::default(),
            metrics: None,
        }
    }

    /// Sets how exactly limits are kept.
    #[must_use]
    pub fn with_tolerance(self, tolerance: Tolerance) -> Self {
        Self { tolerance, ..self }
    }

    /// Sets the metrics that refusals are logged and counted with.
    #[must_use]
    pub fn with_metrics(self, metrics: Arc<Metrics>) -> Self {
        let metrics = Some(metrics);
        Self { metrics, ..self }
    }

    /// Applies the nodes of a read of the store that was sent at `read_at`.
    pub fn apply_members(&self, records: &Records, read_at: Uptime) {
        let mut views = write(&self.views);
        let mut changed = Views::clone(&views);
        let revision: Revision = records.revision;
        let listing = || self.listing(records);
        changed.apply(listing, revision.fence(), read_at, uptime());
        *views = Arc::new(changed);
        drop(views);
        let mut nodes = write(&self.nodes);
        if **nodes != records.members {
            *nodes = Arc::new(records.members.clone());
        }
    }

    /// Returns what the records say about the nodes that count. A node that left counts until
    /// its standing is deleted; this node only if it may continue its shares and is not marked
    /// as gone.
    fn listing(&self, records: &Records) -> Listing {
        let zoned = |nodes: &Nodes| -> BTreeMap<NodeId, Zone> {
            let nodes = nodes.iter();
            let zoned = nodes.map(|(node, member)| (node.clone(), member.zone.clone()));
            zoned.collect()
        };
        let mut members = zoned(&records.members);
        let is_established = records.is_established(&self.node, &self.zone);
        let is_returning = is_established && !records.gone.contains_key(&self.node);
        let left = records.left();
        let left = left.filter(|(node, _)| **node != self.node || is_returning);
        members.extend(left.map(|(node, standing)| (node.clone(), standing.zone.clone())));
        Listing {
            era: records.revision.era,
            members: members.iter().collect::<Members>(),
            gone: zoned(&records.gone).iter().collect::<Members>(),
            is_established,
        }
    }

    /// Returns whether workspaces with limits are configured; none if no configuration is
    /// known.
    #[must_use]
    pub fn has_limits(&self) -> Option<bool> {
        let configured = read(&self.configured);
        let mut workspaces = configured.directory.workspaces();
        let has_limits = workspaces.any(|(_, limits)| limits.is_some());
        (configured.version > 0).then_some(has_limits)
    }

    /// Returns whether this node has counted for long enough that its next process may use
    /// its shares at once.
    #[must_use]
    pub fn is_established(&self) -> bool {
        read(&self.views).is_established(uptime())
    }

    /// Applies the workspaces of a configuration. Those that are not listed any more are
    /// forgotten.
    pub fn apply_directory(&self, version: BundleVersion, directory: Arc<Directory>) {
        let mut configured = write(&self.configured);
        if version < configured.version {
            return;
        }
        let former = std::mem::replace(
            &mut *configured,
            Arc::new(Configured { version, directory }),
        );
        let current = configured.clone();
        drop(configured);
        let limited = |configured: &Configured| -> BTreeSet<WorkspaceId> {
            let workspaces = configured.directory.workspaces();
            workspaces.map(|(name, _)| name.clone()).collect()
        };
        for workspace in limited(&former).difference(&limited(&current)) {
            self.accounts.remove(workspace);
        }
    }

    /// Takes an operation of a workspace with these limits, and requests a lease from the
    /// allocators if needed. A workspace without limits always gets one.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if there is none; nothing may be run.
    pub async fn take(
        &self,
        workspace: &WorkspaceId,
        limits: Option<Limits>,
    ) -> Result<(), Refusal> {
        let Some(limits) = limits else {
            return Ok(());
        };
        let (is_taken, gate) = self.with(workspace, limits, |entry, views, now| {
            entry.account.record_demand(now);
            let is_taken = entry.take(views, now);
            (is_taken, (!is_taken).then(|| entry.gate.clone()))
        });
        let Some(gate) = gate.filter(|_| !is_taken) else {
            return Ok(());
        };
        let waiting = Waiting::new(&gate);
        let asking = gate.asking.lock().await;
        let taken = self.take_leased(workspace, limits, &gate).await;
        drop(asking);
        drop(waiting);
        taken.map_err(|refusal| self.report(workspace, refusal))
    }

    /// Asks allocators until an operation can be taken or all of them were asked.
    async fn take_leased(
        &self,
        workspace: &WorkspaceId,
        limits: Limits,
        gate: &Gate,
    ) -> Result<(), Refusal> {
        loop {
            let waiting = gate.waiting.load(Ordering::Relaxed);
            let step = self.with(workspace, limits, |entry, views, now| {
                if entry.take(views, now) {
                    return Ok(None);
                }
                let account = &mut entry.account;
                match account.request(waiting, now) {
                    Some(request) => Ok(Some(request)),
                    None => Err(account.refuse(views, now)),
                }
            });
            let Some(request) = step? else {
                return Ok(());
            };
            let sent_at = uptime();
            let lent = self.ask(workspace, limits, &request).await;
            self.with(workspace, limits, |entry, _, now| {
                entry.account.receive(&request, lent, sent_at, now);
            });
        }
    }

    /// Requests a lease from an allocator, which may be this node.
    async fn ask(
        &self,
        workspace: &WorkspaceId,
        limits: Limits,
        request: &Request,
    ) -> Option<Lent> {
        if request.allocator == self.node {
            let lent = |entry: &mut Entry, views: &Views, now| {
                entry.account.lend(request.count, views, now)
            };
            return Some(self.with(workspace, limits, lent));
        }
        let address = self.address(&request.allocator)?;
        let version = read(&self.configured).version;
        let lent = self
            .channels
            .borrow(address, workspace, version, request.count)
            .await;
        if lent.is_none() {
            self.count("allocator_silent");
        }
        lent
    }

    /// Lends operations of a workspace to another node, whose configuration has this version.
    ///
    /// The limits are those of this node's configuration. If it lists no limits, it may be
    /// the older one.
    #[must_use]
    pub fn lend(&self, workspace: &WorkspaceId, version: BundleVersion, count: u32) -> Lent {
        let configured = read(&self.configured);
        let Some(limits) = configured.directory.limits(workspace) else {
            let is_newer = configured.version >= version;
            return Lent {
                count: if is_newer { count } else { 0 },
                retry_after: Duration::ZERO,
            };
        };
        if limits == Limits::NOTHING {
            return Lent {
                count: 0,
                retry_after: Duration::ZERO,
            };
        }
        self.with(workspace, limits, |entry, views, now| {
            entry.account.lend(count, views, now)
        })
    }

    /// Closes channels that were idle for too long.
    pub fn close_idle(&self) {
        self.channels.close_idle();
    }

    /// Runs `action` on the state of a workspace, brought up to date.
    fn with<T>(
        &self,
        workspace: &WorkspaceId,
        limits: Limits,
        action: impl FnOnce(&mut Entry, &Views, Uptime) -> T,
    ) -> T {
        let views = read(&self.views);
        self.accounts.with(workspace, |accounts| {
            let now = uptime();
            let entry = accounts.entry(workspace.clone()).or_insert_with(|| Entry {
                account: Account::new(
                    workspace.clone(),
                    self.zone.clone(),
                    limits,
                    self.tolerance,
                    &views,
                    now,
                ),
                gate: Arc::default(),
                usage: Usage::default(),
            });
            entry.account.update(&views, limits, now);
            action(entry, &views, now)
        })
    }

    fn address(&self, node: &NodeId) -> Option<SocketAddr> {
        let nodes = read(&self.nodes);
        nodes.get(node).map(|member| member.address)
    }

    fn count(&self, reason: &'static str) {
        if let Some(metrics) = &self.metrics {
            metrics.count("allowance", reason);
        }
    }

    /// Logs and counts a refusal, and returns it with a random extension of the retry time.
    fn report(&self, workspace: &WorkspaceId, refusal: Refusal) -> Refusal {
        let extension = 1.0 + rand::random::<f64>() * RETRY_JITTER;
        let refusal = Refusal {
            retry_after: refusal.retry_after.mul_f64(extension),
            ..refusal
        };
        self.count(refusal.cause.name());
        let metrics = self.metrics.as_ref();
        let Some(omitted) = metrics.and_then(|metrics| metrics.allow_log("allowance_refused"))
        else {
            return refusal;
        };
        let allocator = self.accounts.update(workspace, |entry| {
            let allocators = entry.account.allocators();
            allocators.first().cloned()
        });
        tracing::info!(
            event = "allowance_refused",
            workspace = &**workspace,
            cause = refusal.cause.name(),
            allocator = allocator.flatten().as_deref(),
            version = read(&self.configured).version,
            retry_ms = crate::metrics::millis(refusal.retry_after),
            omitted,
            "an operation was refused because of its workspace's allowance"
        );
        refusal
    }
}

/// Returns the current value.
fn read<T>(lock: &RwLock<Arc<T>>) -> Arc<T> {
    lock.read().unwrap_or_else(PoisonError::into_inner).clone()
}

fn write<T>(lock: &RwLock<T>) -> RwLockWriteGuard<'_, T> {
    lock.write().unwrap_or_else(PoisonError::into_inner)
}
