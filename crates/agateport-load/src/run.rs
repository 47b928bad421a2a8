//! Runs the callers, then checks what they were told.

use crate::check;
use crate::cli::Config;
use crate::endpoints;
use crate::error::Error;
use crate::outcome::Outcome;
use crate::plan::{Arrival, Plan};
use crate::profile::{Priority, Profile};
use crate::report::Report;
use crate::session::{self, Fleet, Session};
use crate::tally::{Class, Ending, Gap, Phase, Tally};
use agateport_domain::shard::Sharded;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Semaphore;
use tokio::time::{interval, sleep, sleep_until};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Tries to create the tables of a group.
const PREPARE_TRIES: usize = 20;

/// Pause between two tries.
const PREPARE_PAUSE: Duration = Duration::from_millis(250);

/// Interval of progress lines.
const PROGRESS: Duration = Duration::from_secs(1);

/// Sessions that connect at once ahead of the run.
const CONNECTING: usize = 16;

/// Statements that create the tables.
const TABLES: [&str; 3] = [
    "CREATE TABLE IF NOT EXISTS stock (item BIGINT, holder TEXT)",
    "CREATE TABLE IF NOT EXISTS sale (item BIGINT, holder TEXT)",
    "CREATE INDEX IF NOT EXISTS stock_item ON stock (item)",
];

/// What the tasks of a run share.
#[derive(Debug)]
struct Run {
    fleet: Arc<Fleet>,
    profile: Profile,
    start: Instant,
    tallies: Sharded<Class, Tally>,
    gaps: Sharded<usize, Gap>,
}

/// The sessions of one priority that no arrival uses.
#[derive(Debug)]
struct Pool {
    idle: Mutex<VecDeque<Session>>,
    permits: Semaphore,
}

/// Runs the callers, then checks what they were told.
///
/// # Errors
///
/// [`Error`] if no node can be used, or a promise was broken.
pub async fn run(config: Config) -> Result<(), Error> {
    let fleet = Arc::new(Fleet::new(
        config.nodes.clone(),
        config.profile.groups.clone(),
    ));
    if !config.quiet {
        eprintln!("seed {}", config.seed);
    }
    for group in &fleet.groups {
        create_tables(&fleet, group).await?;
    }
    let before = endpoints::reads(&config.admins).await;
    let run = offer(&config, &fleet).await;
    let after = endpoints::reads(&config.admins).await;
    check::check(&fleet).await?;
    let mut report = run.report(config.seed);
    if let (Some(before), Some(after)) = (before, after) {
        report.set_reads(after.since(before));
    }
    report.print(config.json);
    match report.broken.len() {
        0 => Ok(()),
        broken => Err(Error::Broken(broken)),
    }
}

async fn create_tables(fleet: &Fleet, group: &str) -> Result<(), Error> {
    let mut tries = 0;
    loop {
        let address = fleet.nodes[tries % fleet.nodes.len()];
        tries += 1;
        let result = async {
            let client = session::connect(address, group, None).await?;
            for table in TABLES {
                client.batch_execute(table).await?;
            }
            Ok(())
        };
        match result.await {
            Ok(()) => return Ok(()),
            Err(source) if tries >= PREPARE_TRIES => return Err(Error::Node { address, source }),
            Err(_) => sleep(PREPARE_PAUSE).await,
        }
    }
}

/// Offers all arrivals at their times, and waits until all have ended.
async fn offer(config: &Config, fleet: &Arc<Fleet>) -> Arc<Run> {
    let mut pools = Vec::new();
    for priority in &config.profile.priorities {
        pools.push(Arc::new(Pool::connect(fleet, priority).await));
    }
    let start = Instant::now();
    let run = Arc::new(Run {
        fleet: Arc::clone(fleet),
        profile: config.profile.clone(),
        start,
        tallies: Sharded::new(),
        gaps: Sharded::new(),
    });
    for group in 0..fleet.groups.len() {
        run.gaps.insert(group, Gap::new(start));
    }
    let ending = CancellationToken::new();
    if !config.quiet {
        let progress = Arc::clone(&run).progress();
        tokio::spawn(ending.clone().run_until_cancelled_owned(progress));
    }
    let tracker = TaskTracker::new();
    let numbered = config.profile.priorities.iter().zip(0..);
    for ((priority, number), pool) in numbered.zip(pools) {
        let seed = config.seed.wrapping_add(number);
        let plan = Plan::new(priority.clone(), seed, config.profile.time);
        let offering = dispatch(Arc::clone(&run), pool, plan, priority.clone());
        tracker.spawn(offering.run(tracker.clone()));
    }
    tracker.close();
    sleep_until((start + config.profile.time).into()).await;
    for group in 0..fleet.groups.len() {
        run.gaps.update(&group, |gap| gap.close(Instant::now()));
    }
    tracker.wait().await;
    ending.cancel();
    run
}

/// One priority's arrivals with what serves them.
#[derive(Debug)]
struct Offering {
    run: Arc<Run>,
    pool: Arc<Pool>,
    plan: Plan,
    priority: Arc<Priority>,
}

fn dispatch(run: Arc<Run>, pool: Arc<Pool>, plan: Plan, priority: Priority) -> Offering {
    Offering {
        run,
        pool,
        plan,
        priority: Arc::new(priority),
    }
}

impl Offering {
    /// Starts a task for each arrival when it is due, whatever the others do.
    async fn run(self, tracker: TaskTracker) {
        for arrival in self.plan {
            sleep_until((self.run.start + arrival.due).into()).await;
            let (run, pool) = (Arc::clone(&self.run), Arc::clone(&self.pool));
            let priority = Arc::clone(&self.priority);
            tracker.spawn(async move { run.serve(&pool, &priority, &arrival).await });
        }
    }
}

impl Pool {
    async fn connect(fleet: &Arc<Fleet>, priority: &Priority) -> Self {
        let name: Arc<str> = priority.name.as_str().into();
        let mut idle: VecDeque<_> = (0..priority.sessions)
            .map(|number| Session::new(Arc::clone(fleet), Arc::clone(&name), number))
            .collect();
        for chunk in idle.make_contiguous().chunks_mut(CONNECTING) {
            futures::future::join_all(chunk.iter_mut().map(Session::prepare)).await;
        }
        Self {
            idle: Mutex::new(idle),
            permits: Semaphore::new(priority.sessions),
        }
    }

    fn take(&self) -> Option<Session> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.pop_front()
    }

    fn put(&self, session: Session) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.push_back(session);
    }
}

impl Run {
    async fn serve(&self, pool: &Pool, priority: &Priority, arrival: &Arrival) {
        // The semaphore is never closed, and there is a session for each permit.
        let (Ok(_permit), due) = (pool.permits.acquire().await, self.start + arrival.due) else {
            return;
        };
        let Some(mut session) = pool.take() else {
            return;
        };
        let result = session.serve(arrival).await;
        let now = Instant::now();
        let ending = Ending {
            outcome: result.outcome,
            latency: now.saturating_duration_since(due),
            reason: result.reason,
        };
        if arrival.kind.is_write() && ending.outcome == Outcome::Done {
            self.gaps.update(&session.group(), |gap| gap.close(now));
        }
        pool.put(session);
        let class = Class {
            priority: priority.label().into(),
            phase: self.phase(arrival.due),
            kind: arrival.kind,
        };
        self.tallies.with(&class, |tallies| {
            let tally = tallies.entry(class.clone()).or_default();
            tally.record(&ending, priority.target);
        });
    }

    fn phase(&self, at: Duration) -> Phase {
        let mut floods = self.profile.priorities.iter().filter_map(|one| one.flood);
        if floods.any(|flood| (flood.from..flood.until).contains(&at)) {
            Phase::Flood
        } else {
            Phase::Calm
        }
    }

    async fn progress(self: Arc<Self>) {
        let mut ticks = interval(PROGRESS);
        ticks.tick().await;
        loop {
            ticks.tick().await;
            let all = self.sum(|_| true);
            let (ended, done) = (all.ended(), all.count(Outcome::Done));
            eprintln!(
                "{:>4} s  ended {ended:>8}  done {done:>8}  p50 {:>8.1} ms  p99 {:>8.1} ms  broken promises {}",
                self.start.elapsed().as_secs(),
                1000.0 * all.percentile(50.0).as_secs_f64(),
                1000.0 * all.percentile(99.0).as_secs_f64(),
                self.fleet.broken().len(),
            );
        }
    }

    fn sum(&self, includes: impl Fn(&Class) -> bool) -> Tally {
        let mut sum = Tally::new();
        self.tallies.for_each(|class, tally| {
            if includes(class) {
                sum.add(tally);
            }
        });
        sum
    }

    fn report(&self, seed: u64) -> Report {
        let mut report = Report {
            seed,
            seconds: self.profile.time.as_secs_f64(),
            broken: self.fleet.broken(),
            reasons: self.sum(|_| true).reasons().clone(),
            ..Report::default()
        };
        let has_flood = self
            .profile
            .priorities
            .iter()
            .any(|one| one.flood.is_some());
        for priority in &self.profile.priorities {
            let label = priority.label();
            let is_ours = |class: &Class| &*class.priority == label;
            report.add(label.to_owned(), &self.sum(is_ours));
            for (phase, name) in [(Phase::Calm, "calm"), (Phase::Flood, "flood")] {
                if has_flood {
                    let sum = self.sum(|class| is_ours(class) && class.phase == phase);
                    report.add(format!("{label}, {name}"), &sum);
                }
            }
        }
        self.add_kinds(&mut report);
        self.gaps.for_each(|group, gap| {
            report.add_gap(self.fleet.groups[*group].clone(), gap.longest());
        });
        report
    }

    fn add_kinds(&self, report: &mut Report) {
        let mut classes = Vec::new();
        self.tallies
            .for_each(|class, _| classes.push(class.clone()));
        for class in classes {
            let name = format!("{}: {}", class.priority, class.kind.name());
            let sum = self.sum(|one| one.priority == class.priority && one.kind == class.kind);
            report.add(name, &sum);
        }
    }
}
