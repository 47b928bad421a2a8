//! Carries an upstream's answer to the frontend.

use agateport_domain::request::Completion;
use agateport_domain::session::Transaction;
use agateport_wire::Error;
use agateport_wire::frame::{Batch, Frame};
use agateport_wire::link::Exchange;
use agateport_wire::postgres::{self, Backend, Upstream};
use bytes::{Bytes, BytesMut};

/// Bytes of an answer that are collected before they go out.
const CHUNK: usize = 16 * 1024;

/// The end of an answer, held back until the write is acknowledged.
#[derive(Debug)]
pub struct Tail {
    /// Messages from the first completed command on.
    pub messages: Bytes,
    /// What the answer says of the transaction and the log.
    pub completion: Completion,
}

/// Sends a batch to the upstream, statements that it lacks first.
///
/// # Errors
///
/// [`Error`] if the connection broke.
pub async fn send(upstream: &mut Upstream, batch: Batch) -> Result<Vec<String>, Error> {
    let mut messages = BytesMut::new();
    let mut added = Vec::new();
    for statement in batch.statements {
        if !upstream.is_prepared(&statement.name) {
            messages.extend_from_slice(&statement.parse);
            added.push(statement.name);
        }
    }
    messages.extend_from_slice(&batch.messages);
    upstream.send(messages.freeze()).await?;
    Ok(added)
}

/// Carries the answer to the frontend, all but its end.
///
/// `added` are the statements prepared ahead of the batch, whose confirmations
/// the caller must not see.
///
/// # Errors
///
/// [`Error`] if either connection broke.
pub async fn carry<E: Exchange>(
    upstream: &mut Upstream,
    exchange: &mut E,
    added: Vec<String>,
) -> Result<Tail, Error> {
    let mut added = added.into_iter();
    let mut chunk = BytesMut::new();
    let mut is_held = false;
    loop {
        let message = upstream.receive().await?;
        match message {
            Backend::ReadyForQuery(ready) => {
                let completion = Completion {
                    seen: upstream.seen(),
                    transaction: postgres::transaction(ready.status),
                };
                return Ok(Tail {
                    messages: chunk.freeze(),
                    completion,
                });
            }
            Backend::ParseComplete(_) => {
                if let Some(name) = added.next() {
                    upstream.set_prepared(name);
                    continue;
                }
                message.encode(&mut chunk)?;
            }
            Backend::CommandComplete(_) => {
                is_held = true;
                message.encode(&mut chunk)?;
            }
            message => message.encode(&mut chunk)?,
        }
        if chunk.len() >= CHUNK && !is_held {
            exchange.send(Frame::Answer(chunk.split().freeze())).await?;
        }
    }
}

/// Tells whether the connection may serve another request.
pub fn is_reusable(completion: &Completion) -> bool {
    completion.transaction == Transaction::Idle
}
