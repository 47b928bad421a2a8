//! Executes handovers as the coordinator, and replaces an unresponsive coordinator.

use super::basis::Basis;
use super::snapshot::Snapshot;
use super::suspicion::Suspicions;
use super::trigger::Trigger;
use crate::clock::uptime;
use crate::message::Command;
use crate::metrics::millis;
use crate::protocol::Protocol;
use crate::source::{self, Order, Promoter, Revision, RowVersion, Store};
use crate::upstreams::Upstreams;
use agateport_domain::group::handover::{self, Candidate, Former, State, Step};
use agateport_domain::group::roster::Tenure;
use agateport_domain::group::{LEASE_DURATION, Leadership, Reign, Wait};
use agateport_domain::prelude::*;
use futures::future::join_all;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Interval between two checks of all groups.
const INTERVAL: Duration = Duration::from_millis(100);

/// Progress of a group's handover at this node.
#[derive(Clone, Debug, Default)]
pub(super) struct Transition {
    /// Reign of the leadership record.
    reign: Option<Reign>,
    /// Whether the former primary has confirmed its demotion to this node.
    pub(super) is_demoted: bool,
    /// When this node last ordered the promotion of the recorded primary.
    ordered_at: Option<Uptime>,
    /// Since when the group has been waiting for a step of another node, the
    /// coordinator.
    pub(super) needed_since: Option<Uptime>,
    /// Since when no server reports that it is the primary.
    leaderless_since: Option<Uptime>,
    /// Since when the recorded server is not registered while another server is.
    missing_since: Option<Uptime>,
    /// Servers that led after the record was written, although it names another one.
    pub(super) leading: BTreeSet<ServerId>,
    /// Revision of this node's last write of the record.
    written: Revision,
}

impl Transition {
    fn former_state(&self, former: Option<&ServerId>) -> Former {
        match former {
            Some(_) if self.is_demoted => Former::Demoted,
            Some(_) => Former::Known,
            None => Former::Unknown,
        }
    }

    /// Updates since when no server reports that it is the primary, and since when the
    /// server `recorded` is missing.
    fn track(&mut self, candidates: &[Candidate], recorded: Option<&ServerId>) {
        let has_leader = candidates.iter().any(|candidate| candidate.is_primary);
        track(&mut self.leaderless_since, !has_leader);
        let is_recorded = |candidate: &Candidate| Some(&candidate.server) == recorded;
        let is_missing = !candidates.is_empty() && !candidates.iter().any(is_recorded);
        track(&mut self.missing_since, is_missing);
    }
}

/// Updates the time since when a condition holds.
fn track(since: &mut Option<Uptime>, holds: bool) {
    if holds {
        since.get_or_insert_with(uptime);
    } else {
        *since = None;
    }
}

/// Executes handovers while this node is the coordinator, and takes over when the
/// coordinator is unresponsive.
#[derive(Debug)]
pub struct Handover<W, S, P> {
    pub(super) node: NodeId,
    pub(super) upstreams: Arc<Upstreams<W>>,
    pub(super) store: Arc<S>,
    promoter: P,
    pub(super) trigger: Arc<Trigger>,
    suspicions: Arc<Suspicions>,
    /// The coordinator that groups have been waiting for since `needed_since`.
    pub(super) coordinator: Option<NodeId>,
    pub(super) transitions: BTreeMap<GroupId, Transition>,
    /// How long the servers of each group have been listed in its record.
    pub(super) tenures: BTreeMap<GroupId, Tenure>,
    /// When this node last attempted to become the coordinator, and the version that the
    /// row then got if it succeeded.
    pub(super) taken_over: Option<(Uptime, Option<RowVersion>)>,
    /// Fencing token under which this node is the coordinator, if it is.
    pub(super) held_fence: Option<Fence>,
    /// Earliest time at which this node may order a promotion.
    pub(super) promotions_allowed_at: Uptime,
    /// Cancelled when a stop of the node is requested.
    stop: CancellationToken,
}

impl<W: Protocol, S: Store, P: Promoter> Handover<W, S, P> {
    /// Creates the task of `node`; `trigger` triggers a read of the store, and after `stop`
    /// the node does not become the coordinator any more.
    #[must_use]
    pub fn new(
        node: NodeId,
        upstreams: Arc<Upstreams<W>>,
        store: Arc<S>,
        promoter: P,
        trigger: Arc<Trigger>,
        suspicions: Arc<Suspicions>,
        stop: CancellationToken,
    ) -> Self {
        Self {
            node,
            upstreams,
            store,
            promoter,
            trigger,
            suspicions,
            coordinator: None,
            transitions: BTreeMap::new(),
            tenures: BTreeMap::new(),
            taken_over: None,
            held_fence: None,
            promotions_allowed_at: Uptime::ZERO,
            stop,
        }
    }

    /// Checks all groups until `token` is cancelled.
    pub async fn run(
        mut self,
        snapshots: watch::Receiver<Option<Snapshot>>,
        token: CancellationToken,
    ) {
        loop {
            tokio::select! {
                () = token.cancelled() => return,
                () = self.suspicions.wait() => {}
                () = tokio::time::sleep(INTERVAL) => {}
            }
            let Some(snapshot) = snapshots.borrow().clone() else {
                continue;
            };
            // With an expired snapshot, another node may be the coordinator.
            if uptime() < snapshot.sent_at + LEASE_DURATION {
                self.check_groups(&snapshot).await;
            }
        }
    }

    async fn check_groups(&mut self, snapshot: &Snapshot) {
        self.suspicions
            .query_quorums(&self.upstreams, &snapshot.records)
            .await;
        if self.taken_over.is_some_and(|(at, _)| snapshot.sent_at < at) {
            // The last actions of the former coordinator are not known yet.
            return;
        }
        self.track_coordinator(&snapshot.records);
        let mut pending = Vec::new();
        for group in self.upstreams.groups() {
            pending.extend(self.advance(&group, snapshot).await);
        }
        // A zone that fails takes the primaries of several groups with it. Each query waits for
        // the lost servers, so one group after the other would delay the last handover by
        // seconds.
        let queries = pending.iter().map(|basis| self.candidates(basis, true));
        let candidates = join_all(queries).await;
        for (basis, candidates) in pending.iter().zip(candidates) {
            let step = self.decide_among(basis, &candidates, true);
            if let Step::Wait(wait) = step {
                self.record_wait(&basis.group, wait);
            }
            self.execute(basis, step).await;
        }
    }

    /// Executes the next step for one group, if there is one. Returns what a step rests on for
    /// which the servers have to be queried first.
    async fn advance(&mut self, group: &GroupId, snapshot: &Snapshot) -> Option<Basis> {
        let basis = Basis::new(group, snapshot);
        self.observe(&basis);
        let transition = self.transition(&basis);
        if basis.revision < transition.written {
            // The rows lack this node's own last step.
            return None;
        }
        let is_coordinator = basis.coordinator() == Some(&self.node);
        if is_coordinator && basis.awaits_acceptances(uptime()) {
            self.trigger.reread_store();
        }
        let step = self.decide(&basis, false).await;
        if let Step::Wait(wait) = step {
            self.record_wait(group, wait);
            self.transition(&basis).needed_since = None;
            return None;
        }
        if !is_coordinator {
            self.record_wait(group, Wait::Coordinator);
            // A node that stops would end in the midst of the handover.
            if !self.stop.is_cancelled() {
                self.take_over(&basis, &snapshot.records, &step).await;
            }
            return None;
        }
        // Only the coordinator queries the servers for their current watermarks.
        if step.needs_answers() || basis.is_outdated() {
            return Some(basis);
        }
        self.execute(&basis, step).await;
        None
    }

    /// Returns the progress of a group's handover. It starts anew with each reign.
    pub(super) fn transition(&mut self, basis: &Basis) -> &mut Transition {
        let transition = self.transitions.entry(basis.group.clone()).or_default();
        let reign = basis.reign();
        if transition.reign != reign && basis.revision >= transition.written {
            *transition = Transition {
                reign,
                needed_since: transition.needed_since,
                leaderless_since: transition.leaderless_since,
                ..Transition::default()
            };
        }
        transition
    }

    /// Decides the next step for a group. If `is_queried`, the servers are queried for
    /// their watermarks first.
    pub(super) async fn decide(&mut self, basis: &Basis, is_queried: bool) -> Step {
        let candidates = self.candidates(basis, is_queried).await;
        self.decide_among(basis, &candidates, is_queried)
    }

    /// Decides the next step for a group whose servers are in this state.
    fn decide_among(&mut self, basis: &Basis, candidates: &[Candidate], is_queried: bool) -> Step {
        let transition = self.transition(basis);
        transition.track(candidates, basis.primary());
        let transition = transition.clone();
        let reported = candidates.iter().find(|candidate| candidate.is_primary);
        let reported = reported.map(|candidate| &candidate.server);
        let primary = basis.primary().or(reported);
        let is_unreachable = primary.is_some_and(|primary| self.suspicions.is_unreachable(primary));
        let is_roster_due = self.is_roster_due(basis);
        let state = State {
            record: basis.record(),
            candidates,
            base: basis.base().filter(|_| is_queried),
            term: basis.term(),
            leaderless_since: transition.leaderless_since,
            missing_since: transition.missing_since,
            is_unreachable,
            leading: &transition.leading,
            former: transition.former_state(basis.former()),
            is_released: basis.is_released(),
            ordered_at: transition.ordered_at,
            is_roster_due,
        };
        handover::decide(&state, uptime())
    }

    fn record_wait(&self, group: &GroupId, wait: Wait) {
        let pending = &self.upstreams.group(group).pending;
        pending.record(group, wait, uptime());
    }

    async fn execute(&mut self, basis: &Basis, step: Step) {
        match step {
            Step::Wait(_) => {}
            Step::Adopt(server) => {
                self.settle(basis, server).await;
            }
            Step::Resume(server) => {
                let term = self.led_term(&server).await;
                if term.is_some() && term == basis.term() {
                    let roster = self.next_roster(basis, &server);
                    self.write(basis, basis.resume(server, roster)).await;
                }
            }
            Step::Enroll if !basis.is_settled() => {
                if let Some(primary) = basis.primary() {
                    let roster = self.next_roster(basis, primary);
                    self.write(basis, basis.enroll(roster)).await;
                }
            }
            Step::Settle | Step::Enroll => {
                if let Some(primary) = basis.primary().cloned() {
                    self.settle(basis, primary).await;
                }
            }
            Step::Record(choice) => {
                let roster = self.next_roster(basis, &choice.server);
                let leadership = basis.hand_over(&choice, roster);
                if self.write(basis, leadership).await {
                    self.demote(&basis.group, choice.former).await;
                }
            }
            Step::Demote => {
                let former = basis.former().cloned();
                self.demote(&basis.group, former).await;
            }
            Step::Retire(server) => self.retire(basis, &server).await,
            Step::Promote(server) => {
                if self.is_still_demoted(basis).await {
                    self.promote(basis, &server).await;
                }
            }
        }
    }

    /// Records that `primary` is the only server that may accept writes.
    async fn settle(&mut self, basis: &Basis, primary: ServerId) {
        let term = self.led_term(&primary).await;
        let roster = self.next_roster(basis, &primary);
        self.write(basis, basis.settle(primary, term, roster)).await;
    }

    /// Returns the term in which a server answers that it leads, if it does.
    pub(super) async fn led_term(&self, server: &ServerId) -> Option<Term> {
        let server = self.upstreams.server(server)?;
        if server.is_unreachable() {
            return None;
        }
        let status = server.request_status(Command::Status).await.ok()?;
        status.is_primary.then_some(status.term)
    }

    /// Replaces a group's leadership record, and returns whether it was replaced.
    async fn write(&mut self, basis: &Basis, leadership: Option<Leadership>) -> bool {
        let Some(leadership) = leadership else {
            return false;
        };
        let written = self.store.change(basis.replace(&leadership)).await;
        tracing::info!(
            event = "reign_recorded",
            group = &*basis.group,
            primary = &*leadership.primary,
            is_settled = leadership.is_settled,
            fence = leadership.fence,
            base = leadership.base.map(tracing::field::display),
            term = leadership.term,
            based_on = basis.version(),
            version = written.as_ref().ok(),
            outcome = outcome(&written),
            "a write of a leadership record was attempted"
        );
        self.trigger.reread_store();
        let Ok(version) = written else {
            return false;
        };
        let transition = self.transition(basis);
        let reign = Some(leadership.reign());
        if transition.reign != reign {
            *transition = Transition {
                reign,
                ..Transition::default()
            };
        }
        let era = basis.revision.era;
        transition.written = Revision { era, version };
        true
    }

    async fn promote(&mut self, basis: &Basis, server: &ServerId) {
        let Some(fence) = basis.fence() else { return };
        let (group, now) = (&basis.group, uptime());
        let valid_until = basis.sent_at + LEASE_DURATION;
        if now < self.promotions_allowed_at || now >= valid_until {
            return;
        }
        tracing::info!(
            event = "promotion_started",
            group = &**group,
            server = &**server,
            fence,
            snapshot_age_ms = millis(now.saturating_sub(basis.sent_at)),
            "a promotion is being ordered"
        );
        let order = Order {
            group,
            server,
            coordinator: &self.node,
            fence,
            valid_until,
        };
        let ordered = self.promoter.promote(order).await;
        let is_unsent = matches!(ordered, Err(source::Error::Unsent(_)));
        tracing::info!(
            event = "promotion_ordered",
            group = &**group,
            server = &**server,
            fence,
            outcome = outcome(&ordered.map(|()| 0)),
            took_ms = millis(uptime().saturating_sub(now)),
            "a promotion was ordered"
        );
        if !is_unsent {
            self.transition(basis).ordered_at = Some(now);
        }
    }
}

/// Returns the outcome of a call to the platform, for the log.
pub(super) fn outcome(result: &Result<RowVersion, source::Error>) -> String {
    match result {
        Ok(_) => "done".to_owned(),
        Err(error) => error.to_string(),
    }
}
