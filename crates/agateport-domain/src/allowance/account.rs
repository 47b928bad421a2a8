//! What a node knows of the allowance of one workspace.

use super::bucket::Bucket;
use super::demand::Demand;
use super::role::{Role, Shares, allocators};
use super::views::Views;
use super::{Cause, FIXED, LEASE, Refusal, Tolerance, VIEW_DELAY};
use crate::id::{NodeId, Uptime, WorkspaceId, Zone};
use crate::workspace::Limits;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time of the expected demand that a request for a lease covers. It is shorter than
/// [`LEASE`], because operations that are not run before the lease expires are lost.
const LEASE_USE: Duration = Duration::from_millis(200);

/// Time for which an allocator that lent too little is not asked again, so that refused
/// operations cause no message each.
const ASK_INTERVAL: Duration = Duration::from_millis(20);

/// Shortest and longest time after which a refused operation is to be retried.
const MIN_RETRY: Duration = Duration::from_millis(20);
const MAX_RETRY: Duration = Duration::from_secs(5);

/// Retry time while the shares are not valid: about the interval at which a node that has
/// lost the store tries to reach it again.
const UNCONFIRMED_RETRY: Duration = Duration::from_secs(1);

/// A request for a lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Node to ask.
    pub allocator: NodeId,
    /// Number of operations.
    pub count: u32,
}

/// The answer of an allocator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lent {
    /// Number of operations, which may be zero.
    pub count: u32,
    /// Time after which more operations are expected to be available.
    pub retry_after: Duration,
}

/// Operations that an allocator lent to this node.
#[derive(Clone, Copy, Debug, Default)]
struct Lease {
    count: u32,
    expires_at: Uptime,
}

/// The allowance of one workspace at one node: its own bucket, the one from which it lends
/// if it is an allocator, and the operations lent to it.
#[derive(Clone, Debug)]
pub struct Account {
    workspace: WorkspaceId,
    zone: Zone,
    tolerance: Tolerance,
    limits: Limits,
    /// Bursts of limits that were replaced, and when.
    former_bursts: Vec<(f64, Uptime)>,
    /// Role in each list of members that counts, by the number of the list.
    roles: BTreeMap<u64, Role>,
    /// Number of the current list.
    view: Option<u64>,
    /// Allocators in the order in which they are asked.
    allocators: Arc<[NodeId]>,
    /// When a list or a burst ceases to count; none if all that count are current.
    next_change: Option<Uptime>,
    fixed: Bucket,
    leased: Bucket,
    lease: Lease,
    demand: Demand,
    /// Allocators that lent too little, and until when they are not asked.
    paused: BTreeMap<NodeId, Uptime>,
    /// When the next refused operation of this node is to be retried.
    retry_at: Uptime,
    /// When the next node that this one refused to lend to is to ask again.
    lend_at: Uptime,
}

impl Account {
    /// Creates the account of `workspace` at a node of `zone`, when it is first used.
    #[must_use]
    pub fn new(
        workspace: WorkspaceId,
        zone: Zone,
        limits: Limits,
        tolerance: Tolerance,
        views: &Views,
        now: Uptime,
    ) -> Self {
        let mut account = Self {
            workspace,
            zone,
            tolerance,
            limits,
            former_bursts: Vec::new(),
            roles: BTreeMap::new(),
            view: None,
            allocators: Arc::default(),
            next_change: None,
            fixed: Bucket::new(0.0, 0.0, now),
            leased: Bucket::new(0.0, 0.0, now),
            lease: Lease::default(),
            demand: Demand::default(),
            paused: BTreeMap::new(),
            retry_at: Uptime::ZERO,
            lend_at: Uptime::ZERO,
        };
        account.compute(views, now);
        // The buckets have filled since this node has had its shares.
        let since = views.effective_at(now);
        account.fixed = account.fixed.emptied(since);
        account.leased = account.leased.emptied(since);
        account
    }

    /// Applies the current limits and lists of members.
    pub fn update(&mut self, views: &Views, limits: Limits, now: Uptime) {
        self.accrue(views, now);
        let is_due = self.next_change.is_some_and(|at| at <= now);
        if limits == self.limits && views.current_id() == self.view && !is_due {
            return;
        }
        if limits.burst().total_cmp(&self.limits.burst()).is_ne() && !self.is_covered(limits) {
            let former = self.limits.burst();
            self.former_bursts
                .retain(|(burst, _)| burst.total_cmp(&former).is_ne());
            self.former_bursts.push((former, now));
        }
        self.limits = limits;
        self.compute(views, now);
    }

    /// Returns whether lower limits can be lent as a whole while other nodes still use their
    /// fixed shares of the former ones. Both together stay within the former limits, and lower
    /// ones only bind once all nodes know them.
    fn is_covered(&self, limits: Limits) -> bool {
        let rest = 1.0 - FIXED;
        let former = self.limits;
        limits.rate() <= former.rate() * rest && limits.burst() <= former.burst() * rest
    }

    /// Adds what the buckets received until `now`; nothing while the shares are not valid.
    fn accrue(&mut self, views: &Views, now: Uptime) {
        for bucket in [&mut self.fixed, &mut self.leased] {
            bucket.skip(views.resumed_at().min(now));
            bucket.refill(now.min(views.valid_until()));
        }
    }

    /// Computes the shares from the lists and bursts that count.
    fn compute(&mut self, views: &Views, now: Uptime) {
        self.former_bursts.retain(|(_, at)| now < *at + VIEW_DELAY);
        let (workspace, node) = (&self.workspace, views.node());
        let roles = views.counting(now).map(|view| {
            let known = self.roles.get(&view.id).copied();
            let role = known.unwrap_or_else(|| Role::new(node, workspace, &view.members));
            (view.id, role)
        });
        self.roles = roles.collect();
        if self.view != views.current_id() {
            self.view = views.current_id();
            let current = views.current();
            let order = current.map(|members| allocators(node, &self.zone, workspace, members));
            self.allocators = order.unwrap_or_default().into();
            self.paused.clear();
        }
        let replaced = views.counting(now).filter_map(|view| view.replaced_at);
        let replaced = replaced.chain(self.former_bursts.iter().map(|(_, at)| *at));
        self.next_change = replaced.min().map(|at| at + VIEW_DELAY);
        let shares = self.shares();
        // Without valid shares nothing accrues, whatever the rate.
        let now = now.min(views.valid_until());
        let (rate, capacity) = shares.fixed_bucket(self.limits);
        self.fixed.set(rate, capacity, now);
        let (rate, capacity) = shares.leased_bucket(self.limits, &self.tolerance);
        self.leased.set(rate, capacity, now);
    }

    /// Returns the lowest shares among all lists and bursts that count.
    ///
    /// A burst decides whether a part of the allowance is divided, so nodes that know
    /// different limits could otherwise use more than the whole.
    fn shares(&self) -> Shares {
        let current = self.limits.burst();
        let bursts = self.former_bursts.iter().map(|(burst, _)| *burst);
        let bursts = std::iter::once(current).chain(bursts);
        let shares =
            bursts.flat_map(|burst| self.roles.values().map(move |role| role.shares(burst)));
        shares.reduce(Shares::min).unwrap_or(Shares::NONE)
    }

    /// Records that an operation is wanted.
    pub fn record_demand(&mut self, now: Uptime) {
        self.demand.record(now);
    }

    /// Takes an operation from the node's own share or from a lease; returns whether there
    /// was one. [`Account::update`] must have been called at `now`.
    pub fn take(&mut self, views: &Views, now: Uptime) -> bool {
        if views.are_valid(now) && self.fixed.take(1, now) == 1 {
            return true;
        }
        if self.lease.count == 0 || now >= self.lease.expires_at {
            return false;
        }
        self.lease.count -= 1;
        true
    }

    /// Returns the next allocator to ask when `waiting` operations cannot be taken; none if
    /// all of them were asked.
    #[must_use]
    pub fn request(&self, waiting: u32, now: Uptime) -> Option<Request> {
        if self.limits == Limits::NOTHING {
            return None;
        }
        let is_paused = |node: &NodeId| self.paused.get(node).is_some_and(|until| now < *until);
        let allocator = self.allocators.iter().find(|node| !is_paused(node))?;
        let rate = (self.demand.rate(now) - self.fixed.rate()).max(0.0);
        let expected = rate * LEASE_USE.as_secs_f64();
        Some(Request {
            allocator: allocator.clone(),
            count: waiting.max(1).saturating_add(whole(expected)),
        })
    }

    /// Records the answer to a request that was sent at `sent_at`; none if there was none.
    pub fn receive(&mut self, request: &Request, lent: Option<Lent>, sent_at: Uptime, now: Uptime) {
        let expires_at = sent_at + LEASE;
        let count = lent.map_or(0, |lent| lent.count.min(request.count));
        if count < request.count || now >= expires_at {
            let until = now + ASK_INTERVAL;
            self.paused.insert(request.allocator.clone(), until);
        }
        if count == 0 {
            if let Some(lent) = lent {
                self.retry_at = self.retry_at.max(now + lent.retry_after.min(MAX_RETRY));
            }
            return;
        }
        // Only one request is open at a time, so nothing is left of an earlier lease.
        self.lease = Lease { count, expires_at };
    }

    /// Refuses an operation that could not be taken.
    pub fn refuse(&mut self, views: &Views, now: Uptime) -> Refusal {
        if self.limits == Limits::NOTHING {
            return Refusal {
                cause: Cause::Forbidden,
                retry_after: MAX_RETRY,
            };
        }
        if !views.are_valid(now) {
            return Refusal {
                cause: Cause::Unconfirmed,
                retry_after: UNCONFIRMED_RETRY,
            };
        }
        let retry_at = self.retry_at.clamp(now + MIN_RETRY, now + MAX_RETRY);
        self.retry_at = retry_at + interval(self.limits.rate());
        Refusal {
            cause: Cause::Exhausted,
            retry_after: retry_at.saturating_sub(now),
        }
    }

    /// Lends up to `count` operations to a node. [`Account::update`] must have been called at
    /// `now`.
    pub fn lend(&mut self, count: u32, views: &Views, now: Uptime) -> Lent {
        let lent = if views.are_valid(now) {
            self.leased.take(count, now)
        } else {
            0
        };
        if lent > 0 {
            return Lent {
                count: lent,
                retry_after: Duration::ZERO,
            };
        }
        let next = self
            .leased
            .time_to_next()
            .unwrap_or(MAX_RETRY)
            .min(MAX_RETRY);
        let lend_at = self.lend_at.max(now + next).min(now + MAX_RETRY);
        self.lend_at = lend_at + interval(self.leased.rate());
        Lent {
            count: 0,
            retry_after: lend_at.saturating_sub(now),
        }
    }

    /// Returns the allocators in the order in which this node asks them.
    #[must_use]
    pub fn allocators(&self) -> &[NodeId] {
        &self.allocators
    }
}

/// Returns the interval between two operations at a rate.
fn interval(rate: f64) -> Duration {
    let interval = Duration::try_from_secs_f64(1.0 / rate);
    interval.unwrap_or(MAX_RETRY).min(MAX_RETRY)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates"
)]
fn whole(operations: f64) -> u32 {
    operations as u32
}
