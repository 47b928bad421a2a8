//! Succession of the coordinator when it is unresponsive.

use super::basis::Basis;
use super::handover::{Handover, outcome};
use crate::clock::uptime;
use crate::protocol::Protocol;
use crate::record::{self, COORDINATOR, Coordinator, Records};
use crate::source::{Change, ORDER_LIFETIME, Promoter, Store};
use agateport_domain::group::LEASE_DURATION;
use agateport_domain::group::handover::Step;
use agateport_domain::prelude::*;
use std::mem::discriminant;

/// Time for which a group must have needed a leadership record before another node
/// becomes the coordinator: longer than the coordinator takes to detect the need
/// and to write the record.
const RECORD_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for which a group must have needed a later step before another node becomes
/// the coordinator: longer than the lease duration plus a promotion by the
/// platform.
const STEP_TIMEOUT: Duration = Duration::from_millis(3_500);

/// The timeout for any step when there is no coordinator, or it has left or is
/// unresponsive.
const VACANT_TIMEOUT: Duration = Duration::from_millis(300);

/// Additional delay per rank in the succession order.
const RANK_DELAY: Duration = Duration::from_millis(100);

/// Delay before the first promotion of a new coordinator if a handover of the former
/// one was in progress: by then the former coordinator's snapshot of the store has
/// expired, so it sends no more orders, and the last one that it sent has ended.
const TAKEOVER_DELAY: Duration = LEASE_DURATION.saturating_add(ORDER_LIFETIME);

impl<W: Protocol, S: Store, P: Promoter> Handover<W, S, P> {
    /// Delays promotions if this node has become the coordinator while a handover of the
    /// former one was in progress.
    pub(super) fn track_coordinator(&mut self, records: &Records) {
        let coordinator = records.coordinator.as_ref();
        let held = coordinator.filter(|(row, _)| row.holder == self.node);
        let fence = held.and_then(|_| records.fence());
        if fence == self.held_fence {
            return;
        }
        self.held_fence = fence;
        let Some((_, version)) = held else { return };
        // The store may have carried the change out long after the call was given up.
        let known = self
            .taken_over
            .filter(|(_, taken)| *taken == Some(*version));
        let held_since = known.map_or_else(uptime, |(at, _)| at);
        let mut leaderships = records.leaderships.values();
        let is_in_progress = leaderships
            .any(|(leadership, _)| !leadership.is_settled && Some(leadership.fence) != fence);
        self.promotions_allowed_at = if is_in_progress {
            held_since + TAKEOVER_DELAY
        } else {
            Uptime::ZERO
        };
    }

    /// Attempts to make this node the coordinator if a group has been waiting too long
    /// for a step of the current one.
    pub(super) async fn take_over(&mut self, basis: &Basis, records: &Records, step: &Step) {
        let now = uptime();
        let coordinator = basis.coordinator();
        if self.coordinator.as_ref() != coordinator {
            // A new coordinator gets the full timeout.
            self.coordinator = coordinator.cloned();
            for transition in self.transitions.values_mut() {
                transition.needed_since = None;
            }
        }
        let transition = self.transitions.entry(basis.group.clone()).or_default();
        let needed_since = *transition.needed_since.get_or_insert(now);
        let channels = self.upstreams.channels();
        let is_vacant = records
            .live_coordinator()
            .is_none_or(|member| channels.is_backing_off(member.address));
        let timeout = match step {
            _ if is_vacant => VACANT_TIMEOUT,
            Step::Adopt(_) => RECORD_TIMEOUT,
            step if step.needs_answers() => RECORD_TIMEOUT,
            _ => STEP_TIMEOUT,
        };
        let rank = u32::try_from(records.succession_rank(&self.node)).unwrap_or(u32::MAX);
        if now < needed_since + timeout + RANK_DELAY * rank {
            return;
        }
        transition.needed_since = None;
        // Without a query it is not known which servers lead, and which logs are on the
        // primary's branch; the coordinator may be waiting for one.
        let is_uncertain = match step {
            Step::Record(_) => basis.base().is_some(),
            step => step.needs_answers(),
        };
        if is_uncertain && !self.is_due_still(basis, step).await {
            return;
        }
        let version = records
            .coordinator
            .as_ref()
            .map_or(0, |(_, version)| *version);
        let row = Coordinator {
            holder: self.node.clone(),
        };
        let change = Change {
            expected: BTreeMap::from([(COORDINATOR.to_owned(), version)]),
            set: BTreeMap::from([(COORDINATOR.to_owned(), record::encode(&row))]),
            ..Change::default()
        };
        let taken = self.store.change(record::with_change_marker(change)).await;
        tracing::info!(
            event = "duty_taken",
            group = &*basis.group,
            former = coordinator.map(|former| &**former),
            outcome = outcome(&taken),
            "this node attempted to become the coordinator"
        );
        self.taken_over = Some((uptime(), taken.ok()));
        self.trigger.reread_store();
    }

    /// Returns whether the answers of the servers confirm that a step is due.
    ///
    /// Servers that do not answer can take longer than the timeout. Another step may then be due
    /// that the coordinator has not had the time for.
    async fn is_due_still(&mut self, basis: &Basis, step: &Step) -> bool {
        let sent_at = uptime();
        let confirmed = self.decide(basis, true).await;
        let is_same = discriminant(&confirmed) == discriminant(step);
        is_same || (confirmed.needs_answers() && uptime() < sent_at + RECORD_TIMEOUT)
    }
}
