//! Carries an upstream's answer to the frontend.

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

/// Bytes of an answer that are held before they go out.
pub const MAXIMUM_BUFFERED: usize = 64 * 1024;

/// Interval at which a silent upstream is looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time that a server may be without a report before it counts as lost.
const STATUS_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time that a cancel request may take.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// The end of an answer, held back until the write is acknowledged.
#[derive(Debug)]
pub struct Remainder {
    /// Messages that haven't gone out.
    pub messages: Bytes,
    /// What the answer says of the transaction and the log.
    pub completion: Completion,
    /// Whether the upstream ran nothing, as it isn't the primary any more.
    pub is_refused: bool,
}

/// The confirmations that the caller must not see, in the order they come.
#[derive(Debug, Default)]
pub struct Injected {
    statements: VecDeque<String>,
    closed: usize,
}

/// Sends a batch to the upstream, statements that it lacks first.
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
        if let Some(name) = upstream.evict() {
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

/// Why a batch failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Failure {
    /// The server isn't the primary any more, and ran nothing.
    NotPrimary,
    /// A statement is wrong.
    Statement,
}

/// The answer to one batch, on its way from the upstream to the frontend.
pub struct Answer<'a, P, E> {
    node: &'a Node<P>,
    command: &'a Command,
    exchange: &'a mut E,
    injected: Injected,
    buffer: BytesMut,
    /// Whether what the answer shows can't be lost in a failover.
    is_durable: bool,
    /// Whether a command was completed.
    has_completed: bool,
    failure: Option<Failure>,
    /// Answers left until the caller stops waiting; none for the whole batch.
    remaining: Option<usize>,
}

impl<'a, P, E> Answer<'a, P, E>
where
    P: Policy + Send + Sync + 'static,
    E: Exchange,
{
    /// Creates the answer to a batch that was sent.
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

    /// Carries the answer, all but its end.
    ///
    /// An answer longer than [`MAXIMUM_BUFFERED`] goes out in parts, each only when the one
    /// before was taken, once what it shows can't be lost any more.
    ///
    /// # Errors
    ///
    /// [`Error`] if either connection broke or the upstream is lost.
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
            if self.buffer.len() >= MAXIMUM_BUFFERED {
                self.send_buffer().await?;
            }
            message.encode(&mut self.buffer)?;
            self.inspect(&message);
        }
        Ok(self.into_remainder(None, Transaction::Open))
    }

    /// Carries the answer to its end without sending any of it; none if it is
    /// longer than [`MAXIMUM_BUFFERED`], and the connection is of no more use.
    ///
    /// # Errors
    ///
    /// [`Error`] if either connection broke or the upstream is lost.
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
            if self.buffer.len() >= MAXIMUM_BUFFERED {
                return Ok(None);
            }
            message.encode(&mut self.buffer)?;
            self.inspect(&message);
        }
    }

    fn into_remainder(self, seen: Option<Watermark>, transaction: Transaction) -> Remainder {
        Remainder {
            messages: self.buffer.freeze(),
            completion: Completion {
                seen,
                transaction,
                is_failed: self.failure.is_some(),
            },
            is_refused: self.failure == Some(Failure::NotPrimary),
        }
    }

    /// Tells whether a message answers what was sent ahead of the batch.
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

    /// Receives the upstream's next message, and meanwhile watches the frontend
    /// and the server.
    async fn next(&mut self, upstream: &mut Upstream) -> Result<Backend, Error> {
        loop {
            tokio::select! {
                biased;
                message = upstream.receive() => return message,
                _ = self.exchange.receive() => {
                    // The caller has gone or cancels; nothing else is due.
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

/// Tells whether the server gives no sign of life, or was superseded.
async fn has_failed<P>(node: &Node<P>, command: &Command) -> bool
where
    P: Policy + Send + Sync + 'static,
{
    let known = node.groups.update(&command.group, |group| {
        let status = group.status(&command.server);
        let is_replaced = group
            .primary()
            .is_some_and(|primary| *primary != command.server);
        status.map(|(status, as_of)| (status, as_of, is_replaced))
    });
    let Some((status, as_of, is_replaced)) = known.flatten() else {
        return true;
    };
    let needs_primary = matches!(command.requirement, Requirement::Primary { .. });
    let is_superseded = needs_primary && (is_replaced || status.role != Role::Primary);
    if is_superseded || as_of.elapsed() <= STATUS_TIMEOUT {
        return is_superseded;
    }
    // This node may have stopped to ask the server.
    let now = Instant::now();
    let report = durability::status_since(node, &command.group, &command.server, now).await;
    report.is_none()
}
