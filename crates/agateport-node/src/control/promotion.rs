//! Monitors groups and promotes a new primary when the current one fails.

mod attempt;

use crate::control::claim::Conflict;
use crate::control::status::Subscription;
use crate::control::{monitor, suspicion};
use crate::node::Node;
use agateport_domain::bundle::{self, Bundle};
use agateport_domain::group::promotion::{Effect, Failure, Step};
use agateport_domain::group::{Ballot, Cause, Cooldown};
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use attempt::Attempt;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Interval between two checks of a group.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Delay of a promotion, multiplied by the monitor's rank, so that the monitor of
/// rank 0 starts first.
const RANK_DELAY: Duration = Duration::from_millis(300);

/// Interval between two attempts to make the other servers follow the primary.
const REALIGN_INTERVAL: Duration = Duration::from_millis(500);

/// Runs one task for each group of the bundle in force, until the node ends.
pub async fn run<P>(node: Arc<Node<P>>)
where
    P: Policy + Send + Sync + 'static,
{
    let mut bundles = node.bundle.subscribe();
    loop {
        let token = node.stopping.child_token();
        let bundle = bundles.borrow_and_update().clone();
        if let Some(bundle) = bundle {
            start(&node, &bundle, &token);
        }
        tokio::select! {
            changed = bundles.changed() => if changed.is_err() { return },
            () = node.stopping.cancelled() => return,
        }
        token.cancel();
    }
}

fn start<P>(node: &Arc<Node<P>>, bundle: &Arc<Bundle>, token: &CancellationToken)
where
    P: Policy + Send + Sync + 'static,
{
    for group in &bundle.groups {
        let monitor = Monitor {
            node: Arc::clone(node),
            bundle: Arc::clone(bundle),
            group: group.clone(),
            cooldown: Cooldown::default(),
            attempted: 0,
            conflict: None,
            subscription: None,
            realigned_at: None,
        };
        tokio::spawn(token.clone().run_until_cancelled_owned(monitor.run()));
    }
}

/// Monitors one group.
struct Monitor<P> {
    node: Arc<Node<P>>,
    bundle: Arc<Bundle>,
    group: bundle::Group,
    cooldown: Cooldown,
    /// Highest term that this node has used for a promotion.
    attempted: Term,
    conflict: Conflict,
    /// Keeps status queries frequent while the group is unhealthy.
    subscription: Option<Subscription>,
    /// When servers were last ordered to follow the primary.
    realigned_at: Option<Instant>,
}

/// A group's health at one moment.
struct Snapshot {
    cause: Option<Cause>,
    is_unhealthy: bool,
    unhealthy_for: Duration,
    primary: Option<ServerId>,
    primary_term: Term,
    highest_term: Term,
    realignment: Vec<Effect>,
}

impl<P: Policy + Send + Sync + 'static> Monitor<P> {
    async fn run(mut self) {
        loop {
            sleep(CHECK_INTERVAL).await;
            let rank = monitor::rank(&self.node, &self.bundle, &self.group.name);
            if let Some(rank) = rank {
                self.check(rank).await;
            }
        }
    }

    async fn check(&mut self, rank: usize) {
        let now = Instant::now();
        let Some(snapshot) = self.snapshot(now) else {
            return;
        };
        if !snapshot.is_unhealthy {
            self.subscription = None;
        } else if self.subscription.is_none() {
            self.subscription = Some(self.node.subscriptions.add(&self.group.name));
        }
        let Some(cause) = snapshot.cause else {
            self.realign(rank, snapshot.realignment, now);
            return;
        };
        let delay = RANK_DELAY * u32::try_from(rank).unwrap_or(u32::MAX);
        if snapshot.unhealthy_for < delay {
            return;
        }
        if !self.cooldown.is_over(now) {
            self.node.metrics.count("promotion_damped", cause.name());
            return;
        }
        if let (Cause::Silent, Some(primary)) = (cause, &snapshot.primary)
            && !suspicion::is_confirmed(&self.node, &self.group, primary).await
        {
            self.node.metrics.count("promotion_refused", "reachable");
            return;
        }
        self.promote(cause, &snapshot).await;
    }

    fn snapshot(&self, now: Instant) -> Option<Snapshot> {
        self.node.groups.update(&self.group.name, |group| Snapshot {
            cause: group.diagnose(now),
            is_unhealthy: group.unhealthy_for(now).is_some(),
            unhealthy_for: group.unhealthy_for(now).unwrap_or_default(),
            primary: group.primary().cloned(),
            primary_term: group.primary_term(),
            highest_term: group.highest_term(),
            realignment: group.realign(now),
        })
    }

    /// Orders servers that do not follow the primary to follow it. Only the monitor
    /// of rank 0 sends these orders.
    fn realign(&mut self, rank: usize, realignment: Vec<Effect>, now: Instant) {
        if realignment.is_empty() || rank > 0 {
            return;
        }
        let is_due = self
            .realigned_at
            .is_none_or(|at| now >= at + REALIGN_INTERVAL);
        if !is_due {
            return;
        }
        self.realigned_at = Some(now);
        for effect in realignment {
            attempt::follow_up(&self.node, &self.group, effect);
        }
    }

    async fn promote(&mut self, cause: Cause, snapshot: &Snapshot) {
        self.cooldown.start(Instant::now());
        let highest = snapshot.highest_term.max(self.attempted);
        let highest = highest.max(self.conflict.unwrap_or(0));
        let ballot = Ballot::above(highest, self.node.promoter);
        self.attempted = ballot.term();
        self.node.metrics.count("promotion_started", cause.name());
        let name = &self.group.name;
        tracing::warn!(group = %name, cause = cause.name(), %ballot, "promotion started");
        let attempt = Attempt {
            node: &self.node,
            group: &self.group,
            primary_term: snapshot.primary_term,
            conflict: self.conflict.take(),
        };
        let (step, conflict) = attempt.run(ballot.term(), None).await;
        self.conflict = conflict;
        match step {
            Step::Done(primary) => {
                self.node.metrics.count("promotion_done", cause.name());
                tracing::warn!(group = %name, %primary, %ballot, "promoted a new primary");
            }
            Step::Ended(failure) => self.report(failure),
            Step::Claiming | Step::Fencing | Step::Promoting(_) => {}
        }
    }

    fn report(&self, failure: Failure) {
        let reason = failure.name();
        self.node.metrics.count("promotion_failed", reason);
        tracing::warn!(group = %self.group.name, reason, "promotion failed");
    }
}
