//! Serves one stream of a frontend: one request or one transaction.

use super::acknowledge;
use super::answer::{self, Answer, Remainder};
use super::key;
use super::permit::Permit;
use super::requirement;
use crate::control::status;
use crate::node::Node;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_domain::request::key::Operation;
use agateport_domain::request::statement::Kind;
use agateport_domain::request::{Command, Reason, Refusal};
use agateport_domain::session::Transaction;
use agateport_wire::Error;
use agateport_wire::frame::{Batch, Frame};
use agateport_wire::link::Exchange;

/// Serves one stream until its request or transaction has ended.
///
/// # Errors
///
/// [`Error`] if the frontend disconnected or sent an unexpected frame.
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
        admitted = admit(node, &command, &first) => admitted,
        // The protocol allows no frame here: the frontend disconnected or
        // cancels.
        _ = exchange.receive() => return Err(Error::Ended),
    };
    let permit = match admitted {
        Ok(permit) => permit,
        Err(refusal) => return refuse(node, &mut exchange, refusal).await,
    };
    match &command.key {
        Some(Operation::Record(key)) => {
            key::record(node, &mut exchange, &command, permit, key, first).await
        }
        Some(Operation::Resolve(name)) => {
            key::resolve(node, &mut exchange, &command, permit, name).await
        }
        None => run(node, &mut exchange, &command, permit, first).await,
    }
}

async fn admit<P>(
    node: &Arc<Node<P>>,
    command: &Command,
    first: &Batch,
) -> Result<Permit<P>, Refusal>
where
    P: Policy + Send + Sync + 'static,
{
    status::wait_until_known(node, &command.group, &command.server).await;
    requirement::wait(node, command).await?;
    let mut permit = tokio::select! {
        permit = Permit::acquire(Arc::clone(node), command) => permit?,
        () = acknowledge::wait_for_failure(node, command) => {
            return Err(Reason::UpstreamUnreachable.into());
        }
    };
    // The server's status may have changed during the wait.
    requirement::check(node, command)?;
    let upstream = permit.upstream().ok_or(Reason::UpstreamUnreachable)?;
    match upstream.apply_settings(&first.settings).await {
        Ok(()) => Ok(permit),
        Err(Error::Refused { message, .. }) => {
            tracing::debug!(message, "upstream refused a setting");
            Err(Reason::Setting.into())
        }
        Err(_) => Err(Reason::UpstreamUnreachable.into()),
    }
}

/// Reports to the frontend that the request certainly did not run.
pub async fn refuse<P, E>(
    node: &Node<P>,
    exchange: &mut E,
    refusal: impl Into<Refusal>,
) -> Result<(), Error>
where
    P: Policy + Send + Sync + 'static,
    E: Exchange,
{
    let refusal = refusal.into();
    node.metrics.count("owner_refused", refusal.reason.name());
    exchange.send(Frame::Refused(refusal)).await
}

async fn run<P, E>(
    node: &Arc<Node<P>>,
    exchange: &mut E,
    command: &Command,
    mut permit: Permit<P>,
    first: Batch,
) -> Result<(), Error>
where
    P: Policy + Send + Sync + 'static,
    E: Exchange,
{
    let mut batch = first;
    let mut leaves_state = false;
    let mut is_read = command.kind == Kind::Read;
    let mut is_first = true;
    loop {
        leaves_state |= batch.leaves_state;
        let upstream = permit.upstream().ok_or(Error::Ended)?;
        let Ok(injected) = answer::send(upstream, &batch).await else {
            permit.record(false);
            return exchange.send(Frame::Unknown).await;
        };
        let answer = Answer::new(node, command, exchange, injected, batch.flush);
        let forwarded = tokio::select! {
            forwarded = answer.forward(upstream) => forwarded,
            () = acknowledge::wait_for_failure(node, command) => Err(Error::Ended),
        };
        let Ok(remainder) = forwarded else {
            permit.record(false);
            return exchange.send(Frame::Unknown).await;
        };
        permit.record(true);
        if remainder.is_refused && is_first && remainder.completion.transaction == Transaction::Idle
        {
            release(permit, leaves_state).await;
            return refuse(node, exchange, Reason::NotPrimary).await;
        }
        if remainder.completion.transaction == Transaction::Idle {
            release(permit, leaves_state).await;
            return finish(node, exchange, command, remainder, is_read).await;
        }
        // The next statements of the transaction may write.
        is_read = false;
        is_first = false;
        send(exchange, remainder).await?;
        permit.pause();
        let Frame::Batch(next) = exchange.receive().await? else {
            return Err(Error::Ended);
        };
        permit.resume();
        batch = next;
    }
}

/// Resets a connection if the request changed its session state, and releases it
/// with its slot. Waiting for an acknowledgement then does not occupy a slot.
pub async fn release<P>(mut permit: Permit<P>, leaves_state: bool)
where
    P: Policy + Send + Sync + 'static,
{
    if leaves_state {
        let Some(upstream) = permit.upstream() else {
            return;
        };
        if upstream.reset().await.is_err() {
            return;
        }
    }
    permit.release();
}

/// Sends the remainder of an answer once everything that it shows survives a
/// failover.
///
/// # Errors
///
/// [`Error`] if the frontend disconnected.
pub async fn finish<P, E>(
    node: &Node<P>,
    exchange: &mut E,
    command: &Command,
    remainder: Remainder,
    is_read: bool,
) -> Result<(), Error>
where
    P: Policy + Send + Sync + 'static,
    E: Exchange,
{
    let Some(watermark) = remainder.completion.watermark else {
        return send(exchange, remainder).await;
    };
    // The session's next request requires this watermark; recording it here
    // avoids waiting for a status query.
    node.groups.update(&command.group, |group| {
        group.advance(&command.server, watermark);
    });
    let deadline = Instant::now() + command.target;
    if acknowledge::wait(node, &command.group, watermark, deadline).await {
        return send(exchange, remainder).await;
    }
    if is_read {
        // The frontend retries at another server if it has forwarded nothing yet,
        // and otherwise ends the answer with an error.
        return refuse(node, exchange, Reason::Unsettled).await;
    }
    node.metrics.count("unknown", "not_acknowledged");
    exchange.send(Frame::Unknown).await
}

async fn send<E: Exchange>(exchange: &mut E, remainder: Remainder) -> Result<(), Error> {
    exchange.send(Frame::Answer(remainder.messages)).await?;
    exchange.send(Frame::Finished(remainder.completion)).await
}
