//! State of an upstream server at one node: its request queue, its connections, its
//! reachability and its pace.

mod observation;
mod pacing;
mod pool;

pub use pacing::Grant;

use crate::clock::uptime;
use crate::link::Link;
use crate::probe;
use crate::protocol::Protocol;
use crate::registry::Entry;
use crate::slot::Slot;
use crate::trace::Trace;
use agateport_domain::admission::{Admission, Decision, Queue, Share, Ticket};
use agateport_domain::bundle::Priority;
use agateport_domain::group::Detector;
use agateport_domain::prelude::*;
use agateport_domain::request::{Reason, Refusal};
use pacing::Pacing;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError, RwLock};
use tokio::sync::oneshot;

/// Maximum number of queued requests per priority, server and node.
const QUEUE_CAPACITY: usize = 64;

/// Time after which an unused connection is closed, so that other nodes can use
/// it.
const IDLE_TIMEOUT: Duration = Duration::from_millis(600);

/// Idle timeout at a borrower, or if the node's share has fewer than
/// [`SCARCE_CONNECTIONS`] connections: the time of a few statements.
const SCARCE_IDLE_TIMEOUT: Duration = Duration::from_millis(100);

/// Number of connections in a node's share below which idle ones are closed early,
/// so that other nodes can use them.
const SCARCE_CONNECTIONS: usize = 2;

/// Maximum age of a load reported by the server's owner.
const MAX_LOAD_AGE: Duration = Duration::from_millis(500);

/// Age up to which a server's last known watermark counts as recent.
const MAX_WATERMARK_AGE: Duration = Duration::from_millis(150);

/// How a node accesses a server.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Role {
    /// The node connects to the server itself. If the server can serve all nodes, each
    /// of them does, otherwise only the assigned owners and backups.
    #[default]
    Owner,
    /// The node borrows permits from these owners and backups, tried in order.
    Borrower(Vec<SocketAddr>),
    /// The node is one of these owners and backups, and each workspace has its connections at
    /// one of them. So that they stay few, the node borrows permits from the others.
    CoOwner(Vec<Place>),
}

/// Where an owner of a server is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Place {
    /// This node.
    Here,
    /// Another node, with its address.
    Node(SocketAddr),
}

impl Role {
    /// Returns whether the node connects to the server itself.
    #[must_use]
    pub fn is_owner(&self) -> bool {
        matches!(self, Self::Owner | Self::CoOwner(_))
    }
}

#[derive(Debug)]
struct Inner<W> {
    queue: Queue,
    waiting: BTreeMap<RequestId, oneshot::Sender<Result<(), Refusal>>>,
    idle: Vec<Link<W>>,
    watermark: Option<(Uptime, Watermark)>,
    /// Load last reported by the server's owner.
    owner_load: Option<(Uptime, usize)>,
    /// What is known of the server's pace; none if the node does not adapt to it.
    pacing: Option<Pacing>,
    /// Number of permits that this node has borrowed, or is claiming, from owners.
    borrowed: usize,
    detector: Detector,
    /// Id of the latest request.
    last_request: RequestId,
    share: Share,
    /// Time after which an unused connection is closed.
    idle_timeout: Duration,
}

/// The registry entry of a server.
#[derive(Debug)]
struct Registration {
    entry: Arc<Entry>,
    /// When this node first saw that the server is leaving; none if it was leaving when
    /// the node first saw it.
    leaving_since: Option<Uptime>,
}

/// State of an upstream server at one node.
#[derive(Debug)]
pub struct Server<W> {
    registration: RwLock<Registration>,
    role: RwLock<Arc<Role>>,
    /// The outcome of the last probe, and when it was sent.
    last_probe: tokio::sync::Mutex<Option<(Uptime, probe::Outcome)>>,
    inner: Mutex<Inner<W>>,
    trace: Arc<Trace>,
}

impl<W: Protocol> Inner<W> {
    fn change_share(&mut self, share: Share, priorities: &[Priority]) {
        if self.share.slots == share.slots {
            // Reconfiguring would reset the slot limit that follows from measured latency.
            self.queue.set_connections(share.connections);
        } else if let Err(error) =
            self.queue
                .reconfigure(share, QUEUE_CAPACITY, priorities, Instant::now())
        {
            tracing::warn!(event = "share_unusable", %error, "the share of a server cannot be applied");
            return;
        }
        self.share = share;
    }
}

impl<W: Protocol> Server<W> {
    /// Creates a server without connections or requests.
    ///
    /// # Errors
    ///
    /// [`agateport_domain::admission::Error`] if the share has no slot, or the minimum
    /// shares of the priorities exceed 100 percent.
    pub fn new(
        entry: Entry,
        share: Share,
        priorities: &[Priority],
        trace: Arc<Trace>,
    ) -> Result<Self, agateport_domain::admission::Error> {
        let queue = Queue::new(share, QUEUE_CAPACITY, priorities, Instant::now())?.reserving();
        let inner = Inner {
            queue,
            waiting: BTreeMap::new(),
            idle: Vec::new(),
            watermark: None,
            owner_load: None,
            pacing: None,
            borrowed: 0,
            detector: Detector::default(),
            last_request: 0,
            share,
            idle_timeout: IDLE_TIMEOUT,
        };
        Ok(Self {
            registration: RwLock::new(Registration {
                entry: Arc::new(entry),
                leaving_since: None,
            }),
            role: RwLock::default(),
            last_probe: tokio::sync::Mutex::default(),
            inner: Mutex::new(inner),
            trace,
        })
    }

    /// Returns the log of prepared statements.
    #[must_use]
    pub fn trace(&self) -> &Trace {
        &self.trace
    }

    /// Returns the registry entry of the server.
    #[must_use]
    pub fn entry(&self) -> Arc<Entry> {
        let registration = self.registration.read();
        let registration = registration.unwrap_or_else(PoisonError::into_inner);
        registration.entry.clone()
    }

    /// Replaces the registry entry with a changed one of the same process.
    pub fn update_entry(&self, entry: Entry) {
        let registration = self.registration.write();
        let mut registration = registration.unwrap_or_else(PoisonError::into_inner);
        if entry.is_leaving && !registration.entry.is_leaving {
            registration.leaving_since = Some(uptime());
        }
        registration.entry = Arc::new(entry);
    }

    /// Returns whether the server may have been leaving for at least `limit`.
    #[must_use]
    pub fn has_been_leaving_for(&self, limit: Duration) -> bool {
        let registration = self.registration.read();
        let registration = registration.unwrap_or_else(PoisonError::into_inner);
        let since = registration.leaving_since;
        registration.entry.is_leaving
            && since.is_none_or(|since| uptime().saturating_sub(since) >= limit)
    }

    /// Waits until `latest` for a slot at the server, for a request whose answer is due at
    /// `due`. A request that is then due to start waits on.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the queue refuses the request, or no slot becomes free in time;
    /// nothing was sent.
    pub async fn admit(
        self: &Arc<Self>,
        priority: &PriorityId,
        caller: &CallerId,
        due: Instant,
        latest: Instant,
    ) -> Result<Slot<W>, Refusal> {
        let (request, admission, mut receiver) = self.enqueue(priority, caller, due)?;
        let slot = Slot::new(self.clone(), request);
        let Admission::Queued { latest_start, .. } = admission else {
            return Ok(slot);
        };
        let waited = tokio::time::timeout_at(latest.min(latest_start).into(), &mut receiver).await;
        let waited = match waited {
            Err(_) if self.may_wait_on(request) => {
                tokio::time::timeout_at(latest_start.into(), receiver).await
            }
            waited => waited,
        };
        match waited {
            Ok(Ok(Ok(()))) => Ok(slot),
            Ok(Ok(Err(refusal))) => Err(refusal),
            // Dropping the slot removes the request from the queue.
            Ok(Err(_)) | Err(_) => Err(Reason::TargetMissed.into()),
        }
    }

    /// Returns whether a request that has waited for its maximum wait waits on: if it is due
    /// to start, unless a refusal must not come later.
    fn may_wait_on(&self, request: RequestId) -> bool {
        let queue = &self.lock().queue;
        !queue.refuses_on_arrival() && queue.is_due_to_start(request, Instant::now())
    }

    /// Adds a request to the queue; the receiver gets its result if it is queued.
    #[expect(
        clippy::type_complexity,
        reason = "the three values are created together under the lock"
    )]
    fn enqueue(
        &self,
        priority: &PriorityId,
        caller: &CallerId,
        due: Instant,
    ) -> Result<(RequestId, Admission, oneshot::Receiver<Result<(), Refusal>>), Refusal> {
        let (sender, receiver) = oneshot::channel();
        let mut inner = self.lock();
        inner.last_request += 1;
        let request = inner.last_request;
        let ticket = Ticket {
            request,
            priority: priority.clone(),
            caller: caller.clone(),
            due,
        };
        let admission = inner.queue.offer(ticket, Instant::now())?;
        if let Admission::Queued { evicted, .. } = &admission {
            inner.waiting.insert(request, sender);
            let evicted = evicted.and_then(|(other, refusal)| {
                let waiter = inner.waiting.remove(&other)?;
                Some((waiter, refusal))
            });
            if let Some((waiter, refusal)) = evicted {
                // The evicted request may have been abandoned already.
                let _ = waiter.send(Err(refusal));
            }
            // The slot may be free, if it was left so for more urgent requests.
            Self::dispatch(&mut inner);
        }
        Ok((request, admission, receiver))
    }

    /// Assigns free slots to queued requests.
    fn dispatch(inner: &mut Inner<W>) {
        while let Some(decision) = inner.queue.next(Instant::now()) {
            let (request, result) = match decision {
                Decision::Start(request) => (request, Ok(())),
                Decision::Refuse(request, refusal) => (request, Err(refusal)),
            };
            let is_started = result.is_ok();
            let waiter = inner.waiting.remove(&request);
            let is_abandoned = waiter.is_none_or(|waiter| waiter.send(result).is_err());
            if is_started && is_abandoned {
                inner.queue.finish(request, Instant::now());
            }
        }
    }

    /// Records an answer to a request that was sent at `sent_at`, with its watermark.
    pub fn record_answer(&self, sent_at: Uptime, watermark: Option<Watermark>) {
        let mut inner = self.lock();
        inner.detector.record_success();
        let Some(watermark) = watermark else { return };
        let is_newer = inner.watermark.is_none_or(|(known, _)| known <= sent_at);
        if is_newer {
            inner.watermark = Some((sent_at, watermark));
        }
    }

    /// Records that a request sent at `sent_at` was not answered.
    pub fn record_failure(&self, sent_at: Uptime) {
        self.lock().detector.record_failure(sent_at);
    }

    /// Returns the failure detector of the server.
    #[must_use]
    pub fn detector(&self) -> Detector {
        self.lock().detector
    }

    /// Returns whether the server is unreachable for this node.
    #[must_use]
    pub fn is_unreachable(&self) -> bool {
        self.detector().is_unreachable(uptime())
    }

    /// Returns the last known watermark of the server's log, and whether it is
    /// recent.
    #[must_use]
    pub fn watermark(&self) -> Option<(Watermark, bool)> {
        let now = uptime();
        let watermark = self.lock().watermark;
        watermark.map(|(sent_at, watermark)| (watermark, now < sent_at + MAX_WATERMARK_AGE))
    }

    /// Returns the number of requests that use the server or wait for it, as known to
    /// this node.
    #[must_use]
    pub fn load(&self) -> usize {
        let now = uptime();
        let inner = self.lock();
        let own = inner.queue.running() + inner.queue.waiting() + inner.borrowed;
        let owner = inner.owner_load.filter(|(at, _)| now < *at + MAX_LOAD_AGE);
        owner.map_or(own, |(_, owner)| owner.max(own))
    }

    /// Returns the number of requests that hold a slot of this node.
    #[must_use]
    pub fn running(&self) -> usize {
        self.lock().queue.running()
    }

    /// Records the load reported by the server's owner.
    pub fn record_owner_load(&self, load: usize) {
        self.lock().owner_load = Some((uptime(), load));
    }

    /// Counts a permit that is being borrowed.
    pub(crate) fn begin_usage(&self) {
        self.lock().borrowed += 1;
    }

    /// Returns how this node accesses the server.
    #[must_use]
    pub fn role(&self) -> Arc<Role> {
        let role = self.role.read();
        role.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Changes how this node accesses the server, and the share that it may use.
    pub fn set_role(&self, role: Role, share: Share, priorities: &[Priority]) {
        let is_borrower = matches!(role, Role::Borrower(_));
        let mut current = self.role.write().unwrap_or_else(PoisonError::into_inner);
        if **current != role {
            *current = Arc::new(role);
        }
        drop(current);
        let mut inner = self.lock();
        inner.idle_timeout = if is_borrower || share.connections < SCARCE_CONNECTIONS {
            SCARCE_IDLE_TIMEOUT
        } else {
            IDLE_TIMEOUT
        };
        if inner.share != share {
            inner.change_share(share, priorities);
        }
        Self::dispatch(&mut inner);
    }

    /// Returns the outcome of the last probe, and when it was sent. The lock is held
    /// during a probe, so that concurrent callers share its outcome.
    pub(crate) fn last_probe(&self) -> &tokio::sync::Mutex<Option<(Uptime, probe::Outcome)>> {
        &self.last_probe
    }

    /// Releases the slot of an open transaction until its next statement.
    pub(crate) fn pause(&self, request: RequestId) {
        let mut inner = self.lock();
        inner.queue.pause(request, Instant::now());
        Self::dispatch(&mut inner);
    }

    /// Takes a slot for the next statement of an open transaction.
    pub(crate) fn resume(&self, request: RequestId) {
        self.lock().queue.resume(request, Instant::now());
    }

    /// Releases a request's slot, or removes the request from the queue.
    pub(crate) fn finish(&self, request: RequestId) {
        let mut inner = self.lock();
        inner.waiting.remove(&request);
        inner.queue.finish(request, Instant::now());
        Self::dispatch(&mut inner);
    }

    /// Releases the slot of a request that ran nothing.
    pub(crate) fn discard(&self, request: RequestId) {
        let mut inner = self.lock();
        inner.queue.discard(request, Instant::now());
        Self::dispatch(&mut inner);
    }

    /// Stops counting a permit that was released, or was not lent.
    pub(crate) fn end_usage(&self) {
        let mut inner = self.lock();
        inner.borrowed = inner.borrowed.saturating_sub(1);
    }

    fn lock(&self) -> MutexGuard<'_, Inner<W>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
