//! Routes a query to the first server that accepts it.

use super::candidate;
use super::forward;
use super::priority::Context;
use super::query::Query;
use super::read_index;
use super::state::Load;
use crate::node::Node;
use agateport_domain::bundle::{self, Bundle, Priority};
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_domain::request::key::Operation;
use agateport_domain::request::retry::{Backoff, Budget};
use agateport_domain::request::statement::Kind;
use agateport_domain::request::{Command, Reason, Refusal, Request, Requirement};
use agateport_domain::session::Floor;
use agateport_wire::frame::Frame;
use agateport_wire::link::Link;
use tokio::time::sleep;

/// A link to an owner that has started to answer.
#[derive(Debug)]
pub struct Response {
    /// The link to the owner.
    pub link: Link,
    /// The first frame of the answer.
    pub first: Frame,
}

/// The outcome of an attempt to run a query.
#[derive(Debug)]
pub enum Attempt {
    /// The owner has started to answer.
    Started(Response),
    /// The query has certainly not run.
    Refused(Refusal),
    /// The query was sent and its answer is lost, so that it may have run.
    Unknown,
}

/// A query to route, with the requirements of its session.
#[derive(Debug)]
pub struct Job<'a> {
    /// Group that the caller is connected to.
    pub group: &'a GroupId,
    /// Properties of the caller that determine the priority.
    pub context: &'a Context,
    /// Minimum watermark that the server must have reached.
    pub floor: Floor,
    /// The query.
    pub query: &'a Query,
    /// Operation on an idempotency key, if any.
    pub key: Option<Operation>,
}

/// The outcome of routing a query.
#[derive(Debug)]
pub struct Outcome {
    /// Outcome of the last attempt.
    pub attempt: Attempt,
    /// State of the request after the last attempt.
    pub request: Request,
    /// Read index that was obtained for the query.
    pub read_index: Option<Watermark>,
    /// Guard that counts the query as load of its server.
    pub load: Option<Load>,
}

/// Routes a query to the first server that accepts it.
///
/// Queries that have certainly not run, and queries that may safely run twice, are
/// retried within the target of the priority and the retry budget of the group.
pub async fn execute<P>(node: &Arc<Node<P>>, job: Job<'_>) -> Outcome
where
    P: Policy + Send + Sync + 'static,
{
    let refused = |reason: Reason| Outcome {
        attempt: Attempt::Refused(reason.into()),
        request: Request::new(false),
        read_index: None,
        load: None,
    };
    let Some(bundle) = node.bundle() else {
        return refused(Reason::NoBundle);
    };
    let Some(group) = bundle.group(job.group) else {
        return refused(Reason::UnknownServer);
    };
    let tables = &job.query.statement.tables;
    let priority = match job.context.choose(&bundle, &group.name, tables) {
        Ok(priority) => priority,
        Err(refusal) => return refused(refusal.reason),
    };
    let (watermark, read_index) = match job.floor {
        Floor::Known(watermark) => (Some(watermark), None),
        // A superseded primary cannot acknowledge such a statement, so its result is
        // never returned.
        Floor::Unknown { .. } if is_standalone_write(job.query) => (None, None),
        Floor::Unknown { started_at } => {
            let deadline = Instant::now() + priority.target;
            match obtain_read_index(node, group, started_at, deadline).await {
                Some(watermark) => (Some(watermark), Some(watermark)),
                None => return refused(Reason::NoReadIndex),
            }
        }
    };
    let is_repeatable = job.key.is_some() || is_repeatable(&bundle, job.query);
    let mut router = Router {
        node,
        bundle: &bundle,
        group,
        priority,
        watermark,
        job: &job,
        request: Request::new(is_repeatable),
        load: None,
    };
    let attempt = router.run().await;
    Outcome {
        attempt,
        request: router.request,
        read_index,
        load: router.load,
    }
}

/// Obtains a read index, with retries until `deadline` while too few servers answer.
async fn obtain_read_index<P>(
    node: &Arc<Node<P>>,
    group: &bundle::Group,
    since: Instant,
    deadline: Instant,
) -> Option<Watermark>
where
    P: Policy + Send + Sync + 'static,
{
    let mut backoff = Backoff::new(node.next_id());
    loop {
        let watermark = read_index::obtain(node, group, since).await;
        let pause = backoff.next_pause();
        if watermark.is_some() || Instant::now() + pause >= deadline {
            return watermark;
        }
        node.metrics.count("retried", Reason::NoReadIndex.name());
        sleep(pause).await;
    }
}

/// Returns whether a query consists of writes or settings and leaves no transaction
/// open.
fn is_standalone_write(query: &Query) -> bool {
    let is_write = matches!(query.statement.kind, Kind::Set | Kind::Write);
    is_write && query.statement.controls.is_empty() && query.batch.flush.is_none()
}

/// Returns whether a query may safely run twice.
fn is_repeatable(bundle: &Bundle, query: &Query) -> bool {
    let is_declared = |table: &String| {
        let mut rules = bundle.writes.iter().filter(|rule| rule.table == *table);
        rules.next().is_some_and(|rule| rule.repeatable)
    };
    let statement = &query.statement;
    match statement.kind {
        Kind::Read | Kind::Set => true,
        Kind::Write if statement.controls.is_empty() && !statement.tables.is_empty() => {
            statement.tables.iter().all(is_declared)
        }
        Kind::Copy | Kind::Transaction | Kind::Write => false,
    }
}

/// The attempts of one request.
struct Router<'a, P> {
    node: &'a Arc<Node<P>>,
    bundle: &'a Bundle,
    group: &'a bundle::Group,
    priority: &'a Priority,
    watermark: Option<Watermark>,
    job: &'a Job<'a>,
    request: Request,
    load: Option<Load>,
}

impl<P: Policy + Send + Sync + 'static> Router<'_, P> {
    async fn run(&mut self) -> Attempt {
        let deadline = Instant::now() + self.priority.target;
        let mut backoff = Backoff::new(self.node.next_id());
        self.node
            .frontend
            .budgets
            .with(&self.group.name, |budgets| {
                budgets.entry(self.group.name.clone()).or_default().earn();
            });
        loop {
            let attempt = self.try_servers().await;
            let reason = match &attempt {
                Attempt::Refused(refusal) if refusal.reason.is_transient() => refusal.reason.name(),
                Attempt::Unknown if self.request.can_send() => "answer_lost",
                Attempt::Started(_) | Attempt::Refused(_) | Attempt::Unknown => return attempt,
            };
            let pause = backoff.next_pause();
            if Instant::now() + pause >= deadline {
                self.node.metrics.count("not_retried", "target");
                return attempt;
            }
            let budgets = &self.node.frontend.budgets;
            if budgets.update(&self.group.name, Budget::spend) != Some(true) {
                self.node.metrics.count("not_retried", "budget");
                return attempt;
            }
            self.node.metrics.count("retried", reason);
            sleep(pause).await;
        }
    }

    /// Tries the candidate servers in order of preference until one starts to answer.
    /// Stops earlier at a refusal that is not transient or an unknown outcome.
    async fn try_servers(&mut self) -> Attempt {
        let servers = candidate::servers(
            self.node,
            self.bundle,
            self.group,
            self.watermark,
            self.job.query,
        );
        let mut refusal = Refusal::from(Reason::UnknownServer);
        for (server, requirement) in servers {
            if self.request.mark_sent().is_err() {
                return Attempt::Unknown;
            }
            self.load = Some(self.node.frontend.add_load(server.name.clone()));
            let command = self.command(server, requirement);
            match forward::attempt(self.node, server, command, self.job.query).await {
                Attempt::Refused(next) => {
                    self.node.metrics.count("rerouted", next.reason.name());
                    // A refusal by the owner guarantees that nothing has run.
                    let _ = self.request.mark_refused(next.reason);
                    if !next.reason.is_transient() {
                        return Attempt::Refused(next);
                    }
                    // `NotPrimary` of another server is less specific than an earlier
                    // refusal.
                    if refusal.reason == Reason::UnknownServer || next.reason != Reason::NotPrimary
                    {
                        refusal = next;
                    }
                }
                Attempt::Unknown => {
                    self.request.mark_unknown();
                    return Attempt::Unknown;
                }
                attempt @ Attempt::Started(_) => {
                    count_read(self.node, self.bundle, self.job.query, requirement);
                    return attempt;
                }
            }
        }
        Attempt::Refused(refusal)
    }

    fn command(&self, server: &bundle::Server, requirement: Requirement) -> Command {
        Command {
            group: self.group.name.clone(),
            server: server.name.clone(),
            priority: self.priority.name.clone(),
            caller: self.job.context.caller(),
            target: self.priority.target,
            requirement,
            kind: self.job.query.statement.kind,
            key: self.job.key.clone(),
        }
    }
}

/// Counts whether a primary or a replica serves a read that has a staleness rule.
fn count_read<P>(node: &Node<P>, bundle: &Bundle, query: &Query, requirement: Requirement)
where
    P: Policy + Send + Sync + 'static,
{
    let has_rule = bundle.maximum_staleness(&query.statement.tables).is_some();
    if !query.is_read() || !has_rule {
        return;
    }
    let server = match requirement {
        Requirement::Primary { .. } => "primary",
        Requirement::Replica { .. } => "replica",
    };
    node.metrics.count("read", server);
}
