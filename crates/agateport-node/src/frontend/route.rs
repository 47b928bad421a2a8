//! Chooses the server for a batch, and opens a link to its owner.

use super::pipeline::Work;
use crate::node::Node;
use crate::peers;
use agateport_domain::bundle;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_domain::request::statement::Kind;
use agateport_domain::request::{Command, Need, Reason, Refusal};
use agateport_wire::frame::Frame;
use agateport_wire::link::{Exchange, Link};

/// Replicas that are asked before the primary.
const REPLICA_TRIES: usize = 2;

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
///
/// # Errors
///
/// Never as such: a failure is an [`Attempt`] that says what is certain.
pub async fn begin<P>(
    node: &Arc<Node<P>>,
    group: &GroupId,
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
    let priority = bundle.priority(&bundle.default_priority);
    let mut refusal = Refusal::from(Reason::UnknownServer);
    for (server, need) in candidates(node, &bundle, group, watermark, work) {
        let command = Command {
            group: group.name.clone(),
            server: server.name.clone(),
            priority: bundle.default_priority.clone(),
            target: priority.map_or(Duration::ZERO, |priority| priority.target),
            need,
        };
        match attempt(node, server, command, work).await {
            Attempt::Refused(next) => {
                node.metrics.count("rerouted", next.reason.name());
                refusal = next;
            }
            attempt => return attempt,
        }
    }
    Attempt::Refused(refusal)
}

/// Returns the servers to ask, the best first, with what each must be.
fn candidates<'a, P>(
    node: &Node<P>,
    bundle: &bundle::Bundle,
    group: &'a bundle::Group,
    watermark: Option<Watermark>,
    work: &Work,
) -> Vec<(&'a bundle::Server, Need)>
where
    P: Policy + Send + Sync + 'static,
{
    let primary = node
        .groups
        .update(&group.name, |known| known.primary().cloned())
        .flatten();
    let is_primary = |server: &&bundle::Server| Some(&server.name) == primary.as_ref();
    let mut candidates = Vec::new();
    if let (Kind::Read, Some(maximum_staleness)) =
        (work.kind, bundle.maximum_staleness(&work.tables))
    {
        let need = Need::Replica {
            watermark,
            maximum_staleness,
        };
        let mut replicas: Vec<_> = group
            .servers
            .iter()
            .filter(|one| !is_primary(one))
            .collect();
        replicas.sort_by_key(|server| server.zone != node.config.zone);
        candidates.extend(
            replicas
                .into_iter()
                .take(REPLICA_TRIES)
                .map(|one| (one, need)),
        );
    }
    let mut primaries: Vec<_> = group.servers.iter().collect();
    primaries.sort_by_key(|server| !is_primary(server));
    candidates.extend(primaries.into_iter().map(|server| (server, Need::Primary)));
    candidates
}

async fn attempt<P>(
    node: &Arc<Node<P>>,
    server: &bundle::Server,
    command: Command,
    work: &Work,
) -> Attempt
where
    P: Policy + Send + Sync + 'static,
{
    let owners = {
        let view = node
            .view
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        node.policy
            .owners(&node.config.name, &server.name, &server.zone, &view)
    };
    for owner in owners.into_iter().take(2) {
        let Ok(mut link) = peers::link(node, &owner).await else {
            node.metrics.count("retried", "owner_unreachable");
            continue;
        };
        if link.send(Frame::Open(command.clone())).await.is_err() {
            node.metrics.count("retried", "owner_unreachable");
            continue;
        }
        // From here on the owner may have the batch.
        if link.send(Frame::Batch(work.batch.clone())).await.is_err() {
            return Attempt::Unknown;
        }
        return match link.receive().await {
            Ok(Frame::Refused(refusal)) => Attempt::Refused(refusal),
            Ok(Frame::Unknown) | Err(_) => Attempt::Unknown,
            Ok(first) => Attempt::Begun(Begun { link, first }),
        };
    }
    Attempt::Refused(Reason::OwnerUnreachable.into())
}
