//! Runs a batch on the first server that takes it.

use super::candidate;
use super::forward;
use super::pipeline::Work;
use super::priority::Asked;
use crate::node::Node;
use agateport_domain::bundle::Bundle;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_domain::request::statement::Kind;
use agateport_domain::request::{Command, Need, Reason, Refusal};
use agateport_wire::frame::Frame;
use agateport_wire::link::Link;

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

/// Runs a batch on the first server that takes it.
pub async fn begin<P>(
    node: &Arc<Node<P>>,
    group: &GroupId,
    asked: &Asked,
    watermark: Option<Watermark>,
    work: &Work,
) -> Attempt
where
    P: Policy + Send + Sync + 'static,
{
    let Some(bundle) = node.bundle() else {
        return Attempt::Refused(Reason::NoBundle.into());
    };
    let Some(group) = bundle.group(group) else {
        return Attempt::Refused(Reason::UnknownServer.into());
    };
    let priority = match asked.choose(&bundle, &group.name, &work.tables) {
        Ok(priority) => priority,
        Err(refusal) => return Attempt::Refused(refusal),
    };
    let mut refusal = Refusal::from(Reason::UnknownServer);
    for (server, need) in candidate::servers(node, &bundle, group, watermark, work) {
        let command = Command {
            group: group.name.clone(),
            server: server.name.clone(),
            priority: priority.name.clone(),
            caller: asked.caller(),
            target: priority.target,
            need,
        };
        match forward::attempt(node, server, command, work).await {
            Attempt::Refused(next) => {
                node.metrics.count("rerouted", next.reason.name());
                refusal = next;
            }
            attempt => {
                count_read(node, &bundle, work, need);
                return attempt;
            }
        }
    }
    Attempt::Refused(refusal)
}

/// Counts who serves a read with a rule.
fn count_read<P>(node: &Node<P>, bundle: &Bundle, work: &Work, need: Need)
where
    P: Policy + Send + Sync + 'static,
{
    let has_rule = bundle.maximum_staleness(&work.tables).is_some();
    if work.kind != Kind::Read || !has_rule {
        return;
    }
    let server = match need {
        Need::Primary => "primary",
        Need::Replica { .. } => "replica",
    };
    node.metrics.count("read", server);
}
