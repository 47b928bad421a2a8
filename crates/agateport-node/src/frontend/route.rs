//! Runs a batch on the first server that takes it.

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
use agateport_domain::request::key::Use;
use agateport_domain::request::retry::{Backoff, Budget};
use agateport_domain::request::statement::Kind;
use agateport_domain::request::{Command, Need, Reason, Refusal, Request};
use agateport_domain::session::Floor;
use agateport_wire::frame::Frame;
use agateport_wire::link::Link;
use tokio::time::sleep;

/// A link with the batch sent on it and the first frame of the answer.
#[derive(Debug)]
pub struct Response {
    /// The link to the owner.
    pub link: Link,
    /// The first frame of the answer.
    pub first: Frame,
}

/// What became of an attempt to run a batch.
#[derive(Debug)]
pub enum Attempt {
    /// It runs.
    Started(Response),
    /// It certainly did not run.
    Refused(Refusal),
    /// It was sent, and the answer is lost.
    Unknown,
}

/// A batch that is to run, with what the session asks of the server.
#[derive(Debug)]
pub struct Job<'a> {
    /// Group that the caller is connected to.
    pub group: &'a GroupId,
    /// What the caller says of the request's priority.
    pub context: &'a Context,
    /// What the server must hold.
    pub floor: Floor,
    /// The batch.
    pub query: &'a Query,
    /// What it does with a key.
    pub key: Option<Use>,
}

/// How a batch began to run, or why it doesn't.
#[derive(Debug)]
pub struct Outcome {
    /// What became of the last attempt.
    pub attempt: Attempt,
    /// Life of the request, up to here.
    pub request: Request,
    /// Read index that was taken for it.
    pub read_index: Option<Watermark>,
    /// Keeps the server's load counted.
    pub load: Option<Load>,
}

/// Runs a batch on the first server that takes it.
///
/// What certainly did not run, and what may run twice, is tried again within
/// the target and the retry budget of the group.
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
        // A superseded primary can't acknowledge what such a statement saw.
        Floor::Unknown { .. } if is_standalone_write(job.query) => (None, None),
        Floor::Unknown { arrived } => {
            let deadline = Instant::now() + priority.target;
            match obtain_read_index(node, group, arrived, deadline).await {
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

/// Takes a read index, again and again until `deadline` if too few servers answer.
async fn obtain_read_index<P>(
    node: &Arc<Node<P>>,
    group: &bundle::Group,
    arrived: Instant,
    deadline: Instant,
) -> Option<Watermark>
where
    P: Policy + Send + Sync + 'static,
{
    let mut backoff = Backoff::new(node.next_id());
    loop {
        let watermark = read_index::obtain(node, group, arrived).await;
        let pause = backoff.next_pause();
        if watermark.is_some() || Instant::now() + pause >= deadline {
            return watermark;
        }
        node.metrics.count("retried", Reason::NoReadIndex.name());
        sleep(pause).await;
    }
}

/// Tells whether a batch writes and leaves no transaction open.
fn is_standalone_write(query: &Query) -> bool {
    let is_write = matches!(query.statement.kind, Kind::Set | Kind::Write);
    is_write && query.statement.controls.is_empty() && query.batch.flush.is_none()
}

/// Tells whether a batch may run twice.
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

/// The tries of one request.
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
        self.node.frontend.budgets.with(&self.group.name, |all| {
            all.entry(self.group.name.clone()).or_default().earn();
        });
        loop {
            let attempt = self.try_servers().await;
            let reason = match &attempt {
                Attempt::Refused(refusal) if refusal.reason.is_transient() => refusal.reason.name(),
                Attempt::Unknown if self.request.may_send() => "answer_lost",
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

    /// Asks every server that may do, the best first.
    async fn try_servers(&mut self) -> Attempt {
        let servers = candidate::servers(
            self.node,
            self.bundle,
            self.group,
            self.watermark,
            self.job.query,
        );
        let mut refusal = Refusal::from(Reason::UnknownServer);
        for (server, need) in servers {
            if self.request.send().is_err() {
                return Attempt::Unknown;
            }
            self.load = Some(self.node.frontend.add_load(server.name.clone()));
            let command = self.command(server, need);
            match forward::attempt(self.node, server, command, self.job.query).await {
                Attempt::Refused(next) => {
                    self.node.metrics.count("rerouted", next.reason.name());
                    // A refusal is the owner's word that nothing was sent.
                    let _ = self.request.refuse(next.reason);
                    if !next.reason.is_transient() {
                        return Attempt::Refused(next);
                    }
                    // That another server isn't the primary says less.
                    if refusal.reason == Reason::UnknownServer || next.reason != Reason::NotPrimary
                    {
                        refusal = next;
                    }
                }
                Attempt::Unknown => {
                    self.request.lose();
                    return Attempt::Unknown;
                }
                attempt @ Attempt::Started(_) => {
                    count_read(self.node, self.bundle, self.job.query, need);
                    return attempt;
                }
            }
        }
        Attempt::Refused(refusal)
    }

    fn command(&self, server: &bundle::Server, need: Need) -> Command {
        Command {
            group: self.group.name.clone(),
            server: server.name.clone(),
            priority: self.priority.name.clone(),
            caller: self.job.context.caller(),
            target: self.priority.target,
            need,
            kind: self.job.query.statement.kind,
            key: self.job.key.clone(),
        }
    }
}

/// Counts who serves a read with a rule.
fn count_read<P>(node: &Node<P>, bundle: &Bundle, query: &Query, need: Need)
where
    P: Policy + Send + Sync + 'static,
{
    let has_rule = bundle.maximum_staleness(&query.statement.tables).is_some();
    if !query.is_read() || !has_rule {
        return;
    }
    let server = match need {
        Need::Primary { .. } => "primary",
        Need::Replica { .. } => "replica",
    };
    node.metrics.count("read", server);
}
