//! Runs the callers, then checks the outcomes that they received.

use crate::check;
use crate::cli::Config;
use crate::endpoints;
use crate::error::Error;
use crate::outcome::Outcome;
use crate::plan::{Arrival, Plan};
use crate::profile::{Priority, Profile};
use crate::report::Report;
use crate::session::{self, Context, Session};
use crate::statistics::{Class, Downtime, Phase, Sample, Statistics};
use agateport_domain::shard::Sharded;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Semaphore;
use tokio::time::{interval, sleep, sleep_until};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Maximum number of attempts to create the tables of a group.
const MAX_CREATE_ATTEMPTS: usize = 20;

/// Delay between two attempts to create the tables of a group.
const CREATE_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Interval between progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Number of sessions that connect concurrently before the run.
const CONNECT_BATCH: usize = 16;

/// Statements that create the tables and an index.
const TABLES: [&str; 3] = [
    "CREATE TABLE IF NOT EXISTS stock (item BIGINT, holder TEXT)",
    "CREATE TABLE IF NOT EXISTS sale (item BIGINT, holder TEXT)",
    "CREATE INDEX IF NOT EXISTS stock_item ON stock (item)",
];

/// State shared by the tasks of a run.
#[derive(Debug)]
struct Run {
    context: Arc<Context>,
    profile: Profile,
    start: Instant,
    statistics: Sharded<Class, Statistics>,
    downtimes: Sharded<usize, Downtime>,
}

/// Idle sessions of one priority.
#[derive(Debug)]
struct Pool {
    idle: Mutex<VecDeque<Session>>,
    permits: Semaphore,
}

/// Runs the callers, checks the outcomes that they received, and prints the
/// report.
///
/// # Errors
///
/// Returns [`Error`] if the tables cannot be created or read, or if the run
/// violated a guarantee.
pub async fn run(config: Config) -> Result<(), Error> {
    let context = Arc::new(Context::new(
        config.nodes.clone(),
        config.profile.groups.clone(),
    ));
    if !config.quiet {
        eprintln!("seed {}", config.seed);
    }
    for group in &context.groups {
        create_tables(&context, group).await?;
    }
    let before = endpoints::fetch_reads(&config.admins).await;
    let run = run_arrivals(&config, &context).await;
    let after = endpoints::fetch_reads(&config.admins).await;
    check::check(&context).await?;
    let mut report = run.report(config.seed);
    if let (Some(before), Some(after)) = (before, after) {
        report.set_reads(after.since(before));
    }
    report.print(config.json);
    match report.broken.len() {
        0 => Ok(()),
        violations => Err(Error::Violations(violations)),
    }
}

async fn create_tables(context: &Context, group: &str) -> Result<(), Error> {
    let mut attempts = 0;
    loop {
        let address = context.nodes[attempts % context.nodes.len()];
        attempts += 1;
        let result = async {
            let client = session::connect(address, group, None).await?;
            for table in TABLES {
                client.batch_execute(table).await?;
            }
            Ok(())
        };
        match result.await {
            Ok(()) => return Ok(()),
            Err(source) if attempts >= MAX_CREATE_ATTEMPTS => {
                return Err(Error::Node { address, source });
            }
            Err(_) => sleep(CREATE_RETRY_DELAY).await,
        }
    }
}

/// Starts all arrivals at their due times, and waits until all have completed.
async fn run_arrivals(config: &Config, context: &Arc<Context>) -> Arc<Run> {
    let mut pools = Vec::new();
    for priority in &config.profile.priorities {
        pools.push(Arc::new(Pool::connect(context, priority).await));
    }
    let start = Instant::now();
    let run = Arc::new(Run {
        context: Arc::clone(context),
        profile: config.profile.clone(),
        start,
        statistics: Sharded::new(),
        downtimes: Sharded::new(),
    });
    for group in 0..context.groups.len() {
        run.downtimes.insert(group, Downtime::new(start));
    }
    let stop_progress = CancellationToken::new();
    if !config.quiet {
        let progress = Arc::clone(&run).progress();
        tokio::spawn(stop_progress.clone().run_until_cancelled_owned(progress));
    }
    let tracker = TaskTracker::new();
    let numbered = config.profile.priorities.iter().zip(0..);
    for ((priority, number), pool) in numbered.zip(pools) {
        let seed = config.seed.wrapping_add(number);
        let plan = Plan::new(priority.clone(), seed, config.profile.time);
        let dispatcher = dispatcher(Arc::clone(&run), pool, plan, priority.clone());
        tracker.spawn(dispatcher.run(tracker.clone()));
    }
    tracker.close();
    sleep_until((start + config.profile.time).into()).await;
    for group in 0..context.groups.len() {
        run.downtimes
            .update(&group, |downtime| downtime.record(Instant::now()));
    }
    tracker.wait().await;
    stop_progress.cancel();
    run
}

/// Starts the arrivals of one priority.
#[derive(Debug)]
struct Dispatcher {
    run: Arc<Run>,
    pool: Arc<Pool>,
    plan: Plan,
    priority: Arc<Priority>,
}

fn dispatcher(run: Arc<Run>, pool: Arc<Pool>, plan: Plan, priority: Priority) -> Dispatcher {
    Dispatcher {
        run,
        pool,
        plan,
        priority: Arc::new(priority),
    }
}

impl Dispatcher {
    /// Starts a task for each arrival when it is due, without waiting for earlier
    /// ones.
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
    async fn connect(context: &Arc<Context>, priority: &Priority) -> Self {
        let name: Arc<str> = priority.name.as_str().into();
        let mut idle: VecDeque<_> = (0..priority.sessions)
            .map(|number| Session::new(Arc::clone(context), Arc::clone(&name), number))
            .collect();
        for chunk in idle.make_contiguous().chunks_mut(CONNECT_BATCH) {
            futures::future::join_all(chunk.iter_mut().map(Session::preconnect)).await;
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
        // The semaphore is never closed, and the pool holds a session for each
        // permit.
        let (Ok(_permit), due) = (pool.permits.acquire().await, self.start + arrival.due) else {
            return;
        };
        let Some(mut session) = pool.take() else {
            return;
        };
        let result = session.serve(arrival).await;
        let now = Instant::now();
        let sample = Sample {
            outcome: result.outcome,
            latency: now.saturating_duration_since(due),
            reason: result.reason,
        };
        if arrival.kind.is_write() && sample.outcome == Outcome::Done {
            self.downtimes
                .update(&session.group(), |downtime| downtime.record(now));
        }
        pool.put(session);
        let class = Class {
            priority: priority.label().into(),
            phase: self.phase(arrival.due),
            kind: arrival.kind,
        };
        self.statistics.with(&class, |classes| {
            let statistics = classes.entry(class.clone()).or_default();
            statistics.record(&sample, priority.target);
        });
    }

    fn phase(&self, at: Duration) -> Phase {
        let mut floods = self
            .profile
            .priorities
            .iter()
            .filter_map(|priority| priority.flood);
        if floods.any(|flood| (flood.from..flood.until).contains(&at)) {
            Phase::Flood
        } else {
            Phase::Calm
        }
    }

    async fn progress(self: Arc<Self>) {
        let mut ticks = interval(PROGRESS_INTERVAL);
        ticks.tick().await;
        loop {
            ticks.tick().await;
            let all = self.sum(|_| true);
            let (completed, done) = (all.completed(), all.count(Outcome::Done));
            eprintln!(
                "{:>4} s  completed {completed:>8}  done {done:>8}  p50 {:>8.1} ms  p99 {:>8.1} ms  violations {}",
                self.start.elapsed().as_secs(),
                1000.0 * all.percentile(50.0).as_secs_f64(),
                1000.0 * all.percentile(99.0).as_secs_f64(),
                self.context.violations().len(),
            );
        }
    }

    fn sum(&self, includes: impl Fn(&Class) -> bool) -> Statistics {
        let mut sum = Statistics::new();
        self.statistics.for_each(|class, statistics| {
            if includes(class) {
                sum.merge(statistics);
            }
        });
        sum
    }

    fn report(&self, seed: u64) -> Report {
        let mut report = Report {
            seed,
            seconds: self.profile.time.as_secs_f64(),
            broken: self.context.violations(),
            reasons: self.sum(|_| true).reasons().clone(),
            ..Report::default()
        };
        let has_flood = self
            .profile
            .priorities
            .iter()
            .any(|priority| priority.flood.is_some());
        for priority in &self.profile.priorities {
            let label = priority.label();
            let is_same_priority = |class: &Class| &*class.priority == label;
            report.add(label.to_owned(), &self.sum(is_same_priority));
            for (phase, name) in [(Phase::Calm, "calm"), (Phase::Flood, "flood")] {
                if has_flood {
                    let sum = self.sum(|class| is_same_priority(class) && class.phase == phase);
                    report.add(format!("{label}, {name}"), &sum);
                }
            }
        }
        self.add_kinds(&mut report);
        self.downtimes.for_each(|group, downtime| {
            report.add_downtime(self.context.groups[*group].clone(), downtime.longest());
        });
        report
    }

    fn add_kinds(&self, report: &mut Report) {
        let mut classes = Vec::new();
        self.statistics
            .for_each(|class, _| classes.push(class.clone()));
        for class in classes {
            let name = format!("{}: {}", class.priority, class.kind.name());
            let sum =
                self.sum(|other| other.priority == class.priority && other.kind == class.kind);
            report.add(name, &sum);
        }
    }
}
