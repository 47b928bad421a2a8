//! Runs a batch on the first server that takes it.

use super::candidate;
use super::forward;
use super::priority::Asked;
use super::read_index;
use super::state::Load;
use super::work::Work;
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
pub struct Begun {
    /// The link to the owner.
    pub link: Link,
    /// The first frame of the answer.
    pub first: Frame,
}

/// What became of an attempt to run a batch.
#[derive(Debug)]
pub enum Attempt {
    /// It runs.
    Begun(Begun),
    /// It certainly did not run.
    Refused(Refusal),
    /// It was sent, and the answer is lost.
    Unknown,
}

/// A batch that is to run, with what the session asks of the server.
#[derive(Debug)]
pub struct Ask<'a> {
    /// Group that the caller is connected to.
    pub group: &'a GroupId,
    /// What the caller says of the request's priority.
    pub asked: &'a Asked,
    /// What the server must hold.
    pub floor: Floor,
    /// The batch.
    pub work: &'a Work,
    /// What it does with a key.
    pub key: Option<Use>,
}

/// How a batch began to run, or why it doesn't.
#[derive(Debug)]
pub struct Start {
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
pub async fn begin<P>(node: &Arc<Node<P>>, ask: Ask<'_>) -> Start
where
    P: Policy + Send + Sync + 'static,
{
    let refused = |reason: Reason| Start {
        attempt: Attempt::Refused(reason.into()),
        request: Request::new(false),
        read_index: None,
        load: None,
    };
    let Some(bundle) = node.bundle() else {
        return refused(Reason::NoBundle);
    };
    let Some(group) = bundle.group(ask.group) else {
        return refused(Reason::UnknownServer);
    };
    let tables = &ask.work.statement.tables;
    let priority = match ask.asked.choose(&bundle, &group.name, tables) {
        Ok(priority) => priority,
        Err(refusal) => return refused(refusal.reason),
    };
    let (watermark, read_index) = match ask.floor {
        Floor::Known(watermark) => (Some(watermark), None),
        // A superseded primary can't acknowledge what such a statement saw.
        Floor::Unknown { .. } if is_lone_write(ask.work) => (None, None),
        Floor::Unknown { arrived } => {
            let due = Instant::now() + priority.target;
            match take_read_index(node, group, arrived, due).await {
                Some(place) => (Some(place), Some(place)),
                None => return refused(Reason::NoReadIndex),
            }
        }
    };
    let is_repeatable = ask.key.is_some() || is_repeatable(&bundle, ask.work);
    let mut run = Run {
        node,
        bundle: &bundle,
        group,
        priority,
        watermark,
        ask: &ask,
        request: Request::new(is_repeatable),
        load: None,
    };
    let attempt = run.until_due().await;
    Start {
        attempt,
        request: run.request,
        read_index,
        load: run.load,
    }
}

/// Takes a read index, again and again until `due` if too few servers answer.
async fn take_read_index<P>(
    node: &Arc<Node<P>>,
    group: &bundle::Group,
    arrived: Instant,
    due: Instant,
) -> Option<Watermark>
where
    P: Policy + Send + Sync + 'static,
{
    let mut backoff = Backoff::new(node.next_id());
    loop {
        let place = read_index::take(node, group, arrived).await;
        let pause = backoff.next_pause();
        if place.is_some() || Instant::now() + pause >= due {
            return place;
        }
        node.metrics.count("retried", Reason::NoReadIndex.name());
        sleep(pause).await;
    }
}

/// Tells whether a batch writes and leaves no transaction open.
fn is_lone_write(work: &Work) -> bool {
    let is_write = matches!(work.statement.kind, Kind::Set | Kind::Write);
    is_write && work.statement.controls.is_empty() && work.batch.flush.is_none()
}

/// Tells whether a batch may run twice.
fn is_repeatable(bundle: &Bundle, work: &Work) -> bool {
    let is_declared = |table: &String| {
        let mut rules = bundle.writes.iter().filter(|rule| rule.table == *table);
        rules.next().is_some_and(|rule| rule.repeatable)
    };
    let statement = &work.statement;
    match statement.kind {
        Kind::Read | Kind::Set => true,
        Kind::Write if statement.controls.is_empty() && !statement.tables.is_empty() => {
            statement.tables.iter().all(is_declared)
        }
        Kind::Copy | Kind::Transaction | Kind::Write => false,
    }
}

/// The tries of one request.
struct Run<'a, P> {
    node: &'a Arc<Node<P>>,
    bundle: &'a Bundle,
    group: &'a bundle::Group,
    priority: &'a Priority,
    watermark: Option<Watermark>,
    ask: &'a Ask<'a>,
    request: Request,
    load: Option<Load>,
}

impl<P: Policy + Send + Sync + 'static> Run<'_, P> {
    async fn until_due(&mut self) -> Attempt {
        let due = Instant::now() + self.priority.target;
        let mut backoff = Backoff::new(self.node.next_id());
        self.node.frontend.budgets.with(&self.group.name, |all| {
            all.entry(self.group.name.clone()).or_default().earn();
        });
        loop {
            let attempt = self.round().await;
            let reason = match &attempt {
                Attempt::Refused(refusal) if refusal.reason.is_transient() => refusal.reason.name(),
                Attempt::Unknown if self.request.may_send() => "answer_lost",
                Attempt::Begun(_) | Attempt::Refused(_) | Attempt::Unknown => return attempt,
            };
            let pause = backoff.next_pause();
            if Instant::now() + pause >= due {
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
    async fn round(&mut self) -> Attempt {
        let servers = candidate::servers(
            self.node,
            self.bundle,
            self.group,
            self.watermark,
            self.ask.work,
        );
        let mut refusal = Refusal::from(Reason::UnknownServer);
        for (server, need) in servers {
            if self.request.send().is_err() {
                return Attempt::Unknown;
            }
            self.load = Some(self.node.frontend.add_load(server.name.clone()));
            let command = self.command(server, need);
            match forward::attempt(self.node, server, command, self.ask.work).await {
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
                attempt @ Attempt::Begun(_) => {
                    count_read(self.node, self.bundle, self.ask.work, need);
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
            caller: self.ask.asked.caller(),
            target: self.priority.target,
            need,
            kind: self.ask.work.statement.kind,
            key: self.ask.key.clone(),
        }
    }
}

/// Counts who serves a read with a rule.
fn count_read<P>(node: &Node<P>, bundle: &Bundle, work: &Work, need: Need)
where
    P: Policy + Send + Sync + 'static,
{
    let has_rule = bundle.maximum_staleness(&work.statement.tables).is_some();
    if !work.is_read() || !has_rule {
        return;
    }
    let server = match need {
        Need::Primary { .. } => "primary",
        Need::Replica { .. } => "replica",
    };
    node.metrics.count("read", server);
}
