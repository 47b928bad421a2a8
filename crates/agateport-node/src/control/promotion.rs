//! Watches groups and gives them a new primary when theirs fails.

mod attempt;

use crate::control::claim::Obstacle;
use crate::control::status::Guard;
use crate::control::{suspicion, watcher};
use crate::node::Node;
use agateport_domain::bundle::{self, Bundle};
use agateport_domain::group::promotion::{Effect, Failure, Step};
use agateport_domain::group::{Ballot, Cause, Cooldown};
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use attempt::Attempt;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Interval between two looks at a group.
const TICK: Duration = Duration::from_millis(50);

/// Time by which each watcher lets the one before it go first.
const RANK_DELAY: Duration = Duration::from_millis(300);

/// Interval between two tries to point a stray server at the primary.
const STRAY_INTERVAL: Duration = Duration::from_millis(500);

/// Keeps one task for each group of the bundle in force until the node ends.
pub async fn run<P>(node: Arc<Node<P>>)
where
    P: Policy + Send + Sync + 'static,
{
    let mut bundles = node.bundle.subscribe();
    loop {
        let round = node.stopping.child_token();
        let bundle = bundles.borrow_and_update().clone();
        if let Some(bundle) = bundle {
            start(&node, &bundle, &round);
        }
        tokio::select! {
            changed = bundles.changed() => if changed.is_err() { return },
            () = node.stopping.cancelled() => return,
        }
        round.cancel();
    }
}

fn start<P>(node: &Arc<Node<P>>, bundle: &Arc<Bundle>, round: &CancellationToken)
where
    P: Policy + Send + Sync + 'static,
{
    for group in &bundle.groups {
        let watch = Watch {
            node: Arc::clone(node),
            bundle: Arc::clone(bundle),
            group: group.clone(),
            cooldown: Cooldown::default(),
            attempted: 0,
            obstacle: None,
            interest: None,
            pointed: None,
        };
        tokio::spawn(round.clone().run_until_cancelled_owned(watch.run()));
    }
}

/// The watch over one group.
struct Watch<P> {
    node: Arc<Node<P>>,
    bundle: Arc<Bundle>,
    group: bundle::Group,
    cooldown: Cooldown,
    /// Highest term that this node has tried.
    attempted: Term,
    obstacle: Obstacle,
    /// Keeps the questions frequent while the group is in trouble.
    interest: Option<Guard>,
    /// When strays were last pointed at the primary.
    pointed: Option<Instant>,
}

/// What a look at the group shows.
struct Look {
    cause: Option<Cause>,
    is_troubled: bool,
    trouble: Duration,
    primary: Option<ServerId>,
    reigning: Term,
    highest: Term,
    strays: Vec<Effect>,
}

impl<P: Policy + Send + Sync + 'static> Watch<P> {
    async fn run(mut self) {
        loop {
            sleep(TICK).await;
            let rank = watcher::rank(&self.node, &self.bundle, &self.group.name);
            if let Some(rank) = rank {
                self.tick(rank).await;
            }
        }
    }

    async fn tick(&mut self, rank: usize) {
        let now = Instant::now();
        let Some(look) = self.look(now) else {
            return;
        };
        if !look.is_troubled {
            self.interest = None;
        } else if self.interest.is_none() {
            self.interest = Some(self.node.interest.raise(&self.group.name));
        }
        let Some(cause) = look.cause else {
            self.point(rank, look.strays, now);
            return;
        };
        let delay = RANK_DELAY * u32::try_from(rank).unwrap_or(u32::MAX);
        if look.trouble < delay {
            return;
        }
        if !self.cooldown.is_over(now) {
            self.node.metrics.count("promotion_damped", cause.name());
            return;
        }
        if let (Cause::Silent, Some(primary)) = (cause, &look.primary)
            && !suspicion::is_confirmed(&self.node, &self.group, primary).await
        {
            self.node.metrics.count("promotion_refused", "reachable");
            return;
        }
        self.promote(cause, &look).await;
    }

    fn look(&self, now: Instant) -> Option<Look> {
        self.node.groups.update(&self.group.name, |group| Look {
            cause: group.diagnose(now),
            is_troubled: group.unhealthy_for(now).is_some(),
            trouble: group.unhealthy_for(now).unwrap_or_default(),
            primary: group.primary().cloned(),
            reigning: group.primary_term(),
            highest: group.highest_term(),
            strays: group.realign(now),
        })
    }

    /// Points strays at the primary; the first watcher does, and a later one if
    /// that takes too long.
    fn point(&mut self, rank: usize, strays: Vec<Effect>, now: Instant) {
        if strays.is_empty() || rank > 0 {
            return;
        }
        let is_due = self.pointed.is_none_or(|at| now >= at + STRAY_INTERVAL);
        if !is_due {
            return;
        }
        self.pointed = Some(now);
        for effect in strays {
            attempt::follow_up(&self.node, &self.group, effect);
        }
    }

    async fn promote(&mut self, cause: Cause, look: &Look) {
        self.cooldown.start(Instant::now());
        let highest = look.highest.max(self.attempted);
        let highest = highest.max(self.obstacle.unwrap_or(0));
        let ballot = Ballot::above(highest, self.node.promoter);
        self.attempted = ballot.term();
        self.node.metrics.count("promotion_started", cause.name());
        let name = &self.group.name;
        tracing::warn!(group = %name, cause = cause.name(), %ballot, "a promotion starts");
        let attempt = Attempt {
            node: &self.node,
            group: &self.group,
            reigning: look.reigning,
            obstacle: self.obstacle.take(),
        };
        let (step, obstacle) = attempt.run(ballot.term(), None).await;
        self.obstacle = obstacle;
        match step {
            Step::Done(primary) => {
                self.node.metrics.count("promotion_done", cause.name());
                tracing::warn!(group = %name, %primary, %ballot, "the group has a new primary");
            }
            Step::Ended(failure) => self.report(failure),
            Step::Claiming | Step::Fencing | Step::Promoting(_) => {}
        }
    }

    fn report(&self, failure: Failure) {
        let reason = failure.name();
        self.node.metrics.count("promotion_failed", reason);
        tracing::warn!(group = %self.group.name, reason, "a promotion failed");
    }
}
