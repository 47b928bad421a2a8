//! Serves one stream of a frontend: one request, or one transaction.

use super::acknowledge;
use super::answer::{self, Tail};
use super::lease::Lease;
use crate::control::status;
use crate::node::Node;
use agateport_domain::group::Role;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_domain::request::{Command, Need, Reason, Refusal};
use agateport_wire::Error;
use agateport_wire::frame::{Batch, Frame};
use agateport_wire::link::Exchange;

/// Serves one stream until its request or transaction has ended.
///
/// # Errors
///
/// [`Error`] if the frontend is gone or sent what isn't due.
pub async fn serve<P, E>(
    node: &Arc<Node<P>>,
    mut exchange: E,
    command: Command,
) -> Result<(), Error>
where
    P: Policy + Send + Sync + 'static,
    E: Exchange,
{
    let Frame::Batch(first) = exchange.receive().await? else {
        return Err(Error::Ended);
    };
    let admitted = tokio::select! {
        admitted = admit(node, &command) => admitted,
        // The frontend has nothing to say here: it is gone, or gives up.
        _ = exchange.receive() => return Err(Error::Ended),
    };
    let lease = match admitted {
        Ok(lease) => lease,
        Err(refusal) => {
            node.metrics.count("owner_refused", refusal.reason.name());
            return exchange.send(Frame::Refused(refusal)).await;
        }
    };
    run(node, &mut exchange, &command, lease, first).await
}

async fn admit<P>(node: &Arc<Node<P>>, command: &Command) -> Result<Lease<P>, Refusal>
where
    P: Policy + Send + Sync + 'static,
{
    status::ensure(node, &command.group, &command.server).await;
    check_need(node, command)?;
    let lease = Lease::take(Arc::clone(node), command).await?;
    // The wait may have been long.
    check_need(node, command)?;
    Ok(lease)
}

fn check_need<P>(node: &Node<P>, command: &Command) -> Result<(), Refusal>
where
    P: Policy + Send + Sync + 'static,
{
    let status = node
        .groups
        .update(&command.group, |group| group.status(&command.server));
    let (status, heard) = status.flatten().ok_or(Reason::UpstreamUnreachable)?;
    let reason = match command.need {
        Need::Primary => (status.role != Role::Primary).then_some(Reason::NotPrimary),
        Need::Replica {
            watermark,
            maximum_staleness,
        } => {
            let is_behind = watermark.is_some_and(|watermark| status.last < watermark);
            let age = status.age.map(|age| age + heard.elapsed());
            let is_stale = age.is_none_or(|age| age > maximum_staleness);
            match (is_behind, is_stale) {
                (true, _) => Some(Reason::Behind),
                (false, true) => Some(Reason::Stale),
                (false, false) => None,
            }
        }
    };
    match reason {
        Some(reason) => Err(reason.into()),
        None => Ok(()),
    }
}

async fn run<P, E>(
    node: &Arc<Node<P>>,
    exchange: &mut E,
    command: &Command,
    mut lease: Lease<P>,
    first: Batch,
) -> Result<(), Error>
where
    P: Policy + Send + Sync + 'static,
    E: Exchange,
{
    let mut batch = first;
    loop {
        let upstream = lease.upstream().ok_or(Error::Ended)?;
        let Ok(added) = answer::send(upstream, batch).await else {
            lease.record(false);
            return exchange.send(Frame::Unknown).await;
        };
        let Ok(tail) = answer::carry(upstream, exchange, added).await else {
            lease.record(false);
            return exchange.send(Frame::Unknown).await;
        };
        lease.record(true);
        if answer::is_reusable(&tail.completion) {
            // The wait for the acknowledgement holds no slot.
            lease.keep();
            return finish(node, exchange, command, tail).await;
        }
        let Tail {
            messages,
            completion,
        } = tail;
        exchange.send(Frame::Answer(messages)).await?;
        exchange.send(Frame::Finished(completion)).await?;
        lease.pause();
        let Frame::Batch(next) = exchange.receive().await? else {
            return Err(Error::Ended);
        };
        lease.resume().await;
        batch = next;
    }
}

async fn finish<P, E>(
    node: &Node<P>,
    exchange: &mut E,
    command: &Command,
    tail: Tail,
) -> Result<(), Error>
where
    P: Policy + Send + Sync + 'static,
    E: Exchange,
{
    if let (Need::Primary, Some(written)) = (command.need, tail.completion.seen) {
        let due = Instant::now() + command.target;
        if !acknowledge::wait(node, &command.group, written, due).await {
            node.metrics.count("unknown", "not_acknowledged");
            return exchange.send(Frame::Unknown).await;
        }
    }
    exchange.send(Frame::Answer(tail.messages)).await?;
    exchange.send(Frame::Finished(tail.completion)).await
}
