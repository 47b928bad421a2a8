//! Forwards an upstream's answer to the frontend.

use super::durability;
use crate::node::Node;
use agateport_domain::group::Role;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_domain::request::{Command, Completion, Requirement};
use agateport_domain::session::Transaction;
use agateport_wire::Error;
use agateport_wire::frame::{Batch, Frame};
use agateport_wire::link::Exchange;
use agateport_wire::postgres::{self, Backend, Frontend, Upstream};
use bytes::{Bytes, BytesMut};
use pgwire::messages::extendedquery::{Close, Flush, TARGET_TYPE_BYTE_STATEMENT};
use std::collections::VecDeque;
use tokio::time::{sleep, timeout};

/// Bytes of an answer that are buffered before they are sent.
pub const MAX_BUFFERED: usize = 64 * 1024;

/// Interval between two checks of an upstream that sends nothing.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum age of a server's last status. If the status is older, the server has
/// failed unless it reports a new one.
const MAX_STATUS_AGE: Duration = Duration::from_millis(1500);

/// Time limit for a cancel request.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// The unsent remainder of an answer, held back until the write is acknowledged.
#[derive(Debug)]
pub struct Remainder {
    /// Messages that have not been sent.
    pub messages: Bytes,
    /// State of the transaction and the log after the answer.
    pub completion: Completion,
    /// Whether the upstream ran nothing because it is no longer the primary.
    pub is_refused: bool,
}

/// `Parse` and `Close` messages sent in addition to the batch. Their confirmations
/// are not forwarded to the caller.
#[derive(Debug, Default)]
pub struct Injected {
    /// Names of the statements that are prepared, in order.
    statements: VecDeque<String>,
    /// Number of statements that are closed.
    closed: usize,
}

/// Sends a batch to the upstream, preceded by the statements that are not
/// prepared there.
///
/// # Errors
///
/// [`Error`] if the connection broke.
pub async fn send(upstream: &mut Upstream, batch: &Batch) -> Result<Injected, Error> {
    let mut messages = BytesMut::new();
    let mut injected = Injected::default();
    for statement in &batch.statements {
        if upstream.is_prepared(&statement.name) {
            continue;
        }
        if let Some(name) = upstream.evict_prepared() {
            let close = Close::new(TARGET_TYPE_BYTE_STATEMENT, Some(name));
            Frontend::Close(close).encode(&mut messages)?;
            injected.closed += 1;
        }
        messages.extend_from_slice(&statement.parse);
        injected.statements.push_back(statement.name.clone());
    }
    messages.extend_from_slice(&batch.messages);
    if batch.flush.is_some() {
        Frontend::Flush(Flush::new()).encode(&mut messages)?;
    }
    upstream.send(messages.freeze()).await?;
    Ok(injected)
}

/// Reason why a batch failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Failure {
    /// The server is no longer the primary and ran nothing.
    NotPrimary,
    /// A statement failed.
    Statement,
}

/// The answer to one batch while it is forwarded from the upstream to the
/// frontend.
pub struct Answer<'a, P, E> {
    node: &'a Node<P>,
    command: &'a Command,
    exchange: &'a mut E,
    injected: Injected,
    buffer: BytesMut,
    /// Whether everything that the answer shows survives a failover.
    is_durable: bool,
    /// Whether at least one command was completed.
    has_completed: bool,
    failure: Option<Failure>,
    /// Number of answers left before the caller's flush; `None` if the batch ends
    /// with `ReadyForQuery`.
    remaining: Option<usize>,
}

impl<'a, P, E> Answer<'a, P, E>
where
    P: Policy + Send + Sync + 'static,
    E: Exchange,
{
    /// Creates the answer to a batch that has been sent.
    pub fn new(
        node: &'a Node<P>,
        command: &'a Command,
        exchange: &'a mut E,
        injected: Injected,
        flush: Option<usize>,
    ) -> Self {
        Self {
            node,
            command,
            exchange,
            injected,
            buffer: BytesMut::new(),
            is_durable: false,
            has_completed: false,
            failure: None,
            remaining: flush,
        }
    }

    /// Forwards the answer except its remainder.
    ///
    /// An answer longer than [`MAX_BUFFERED`] is sent in parts. Each part is
    /// sent only after the frontend accepted the one before it, and only once
    /// everything that it shows survives a failover.
    ///
    /// # Errors
    ///
    /// [`Error`] if either connection broke or the upstream has failed.
    pub async fn forward(mut self, upstream: &mut Upstream) -> Result<Remainder, Error> {
        while self.remaining != Some(0) {
            let message = self.next(upstream).await?;
            if let Backend::ReadyForQuery(ready) = message {
                let transaction = postgres::transaction(ready.status);
                return Ok(self.into_remainder(upstream.watermark(), transaction));
            }
            if self.confirms_injected(&message, upstream) {
                continue;
            }
            if self.buffer.len() >= MAX_BUFFERED {
                self.send_buffer().await?;
            }
            message.encode(&mut self.buffer)?;
            self.inspect(&message);
        }
        Ok(self.into_remainder(None, Transaction::Open))
    }

    /// Receives the whole answer without sending any of it; `None` if it is
    /// longer than [`MAX_BUFFERED`], in which case the connection cannot be
    /// reused.
    ///
    /// # Errors
    ///
    /// [`Error`] if either connection broke or the upstream has failed.
    pub async fn collect(mut self, upstream: &mut Upstream) -> Result<Option<Remainder>, Error> {
        loop {
            let message = self.next(upstream).await?;
            if let Backend::ReadyForQuery(ready) = message {
                let transaction = postgres::transaction(ready.status);
                return Ok(Some(self.into_remainder(upstream.watermark(), transaction)));
            }
            if self.confirms_injected(&message, upstream) {
                continue;
            }
            if self.buffer.len() >= MAX_BUFFERED {
                return Ok(None);
            }
            message.encode(&mut self.buffer)?;
            self.inspect(&message);
        }
    }

    fn into_remainder(self, watermark: Option<Watermark>, transaction: Transaction) -> Remainder {
        Remainder {
            messages: self.buffer.freeze(),
            completion: Completion {
                watermark,
                transaction,
                is_failed: self.failure.is_some(),
            },
            is_refused: self.failure == Some(Failure::NotPrimary),
        }
    }

    /// Returns whether a message confirms one that was sent in addition to the
    /// batch.
    fn confirms_injected(&mut self, message: &Backend, upstream: &mut Upstream) -> bool {
        match message {
            Backend::ParseComplete(_) => match self.injected.statements.pop_front() {
                Some(name) => {
                    upstream.record_prepared(name);
                    true
                }
                None => false,
            },
            Backend::CloseComplete(_) if self.injected.closed > 0 => {
                self.injected.closed -= 1;
                true
            }
            _ => false,
        }
    }

    fn inspect(&mut self, message: &Backend) {
        let is_error = matches!(message, Backend::ErrorResponse(_));
        self.has_completed |= matches!(message, Backend::CommandComplete(_));
        if is_error {
            let is_refused = !self.has_completed && postgres::is_read_only(message);
            self.failure = Some(if is_refused {
                Failure::NotPrimary
            } else {
                Failure::Statement
            });
        }
        if let Some(remaining) = self.remaining.as_mut() {
            // After an error the upstream skips the rest of the batch.
            *remaining = match postgres::is_last_answer(message) {
                _ if is_error => 0,
                true => *remaining - 1,
                false => *remaining,
            };
        }
    }

    async fn send_buffer(&mut self) -> Result<(), Error> {
        if !self.is_durable {
            durability::wait_until_durable(self.node, self.command).await?;
            self.is_durable = true;
        }
        let part = self.buffer.split().freeze();
        self.exchange.send(Frame::Answer(part)).await
    }

    /// Receives the upstream's next message; fails if the caller cancels or the
    /// server fails in the meantime.
    async fn next(&mut self, upstream: &mut Upstream) -> Result<Backend, Error> {
        loop {
            tokio::select! {
                biased;
                message = upstream.receive() => return message,
                _ = self.exchange.receive() => {
                    // The caller disconnected or cancels; the protocol allows no
                    // other frame here.
                    cancel(self.node, upstream).await;
                    return Err(Error::Ended);
                }
                () = sleep(CHECK_INTERVAL) => if has_failed(self.node, self.command).await {
                    self.node.metrics.count("lost", "upstream_silent");
                    return Err(Error::Ended);
                },
            }
        }
    }
}

async fn cancel<P>(node: &Node<P>, upstream: &Upstream)
where
    P: Policy + Send + Sync + 'static,
{
    let is_sent = matches!(timeout(CANCEL_TIMEOUT, upstream.cancel()).await, Ok(Ok(())));
    let result = if is_sent { "sent" } else { "not_sent" };
    node.metrics.count("cancel", result);
}

/// Returns whether the server does not answer status queries, or is no longer the
/// primary that the command requires.
async fn has_failed<P>(node: &Node<P>, command: &Command) -> bool
where
    P: Policy + Send + Sync + 'static,
{
    let report = node.groups.update(&command.group, |group| {
        let status = group.status(&command.server);
        let is_replaced = group
            .primary()
            .is_some_and(|primary| *primary != command.server);
        status.map(|(status, as_of)| (status, as_of, is_replaced))
    });
    let Some((status, as_of, is_replaced)) = report.flatten() else {
        return true;
    };
    let needs_primary = matches!(command.requirement, Requirement::Primary { .. });
    let is_superseded = needs_primary && (is_replaced || status.role != Role::Primary);
    if is_superseded || as_of.elapsed() <= MAX_STATUS_AGE {
        return is_superseded;
    }
    // The status may only be old because this node stopped querying the server.
    let now = Instant::now();
    let status = durability::status_since(node, &command.group, &command.server, now).await;
    status.is_none()
}
