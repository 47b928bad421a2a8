//! Writes with an idempotency key, which is recorded in the upstream in the
//! write's own transaction.

use super::answer::{self, Answer, Remainder};
use super::permit::Permit;
use super::serve;
use crate::node::Node;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_domain::request::key::{self, Key, Outcome, Record};
use agateport_domain::request::{Command, Completion, Reason, Refusal};
use agateport_domain::session::Transaction;
use agateport_wire::Error;
use agateport_wire::frame::{Batch, Frame};
use agateport_wire::link::Exchange;
use agateport_wire::postgres::Upstream;
use bytes::Bytes;

/// Statement that creates the table of keys.
const CREATE: &str = "CREATE TABLE IF NOT EXISTS agateport_key \
    (name TEXT PRIMARY KEY, digest TEXT NOT NULL, answer TEXT NOT NULL)";

/// Separator between the digest and the answer in the row that [`find`] reads.
const SEPARATOR: char = ':';

/// Runs a write with a key, or replays its recorded answer.
///
/// # Errors
///
/// [`Error`] if the frontend disconnected.
pub async fn record<P, E>(
    node: &Node<P>,
    exchange: &mut E,
    command: &Command,
    mut permit: Permit<P>,
    key: &Key,
    batch: Batch,
) -> Result<(), Error>
where
    P: Policy + Send + Sync + 'static,
    E: Exchange,
{
    let upstream = permit.upstream().ok_or(Error::Ended)?;
    let result = match begin(upstream, &key.name, &key.digest).await {
        Ok(true) => write(node, exchange, command, upstream, key, batch).await,
        Ok(false) => replay(upstream, key).await,
        Err(error) => Err(error.into()),
    };
    match result {
        Ok(remainder) => {
            serve::release(permit, false).await;
            node.metrics.count("key", "answered");
            serve::finish(node, exchange, command, remainder, false).await
        }
        Err(Failure::Refused(refusal)) => serve::refuse(node, exchange, refusal).await,
        Err(Failure::Unknown) => exchange.send(Frame::Unknown).await,
    }
}

/// Determines the outcome of the write with a key. A key that is not recorded is
/// recorded as not run, so that a write that is still in flight can no longer
/// run.
///
/// # Errors
///
/// [`Error`] if the frontend disconnected.
pub async fn resolve<P, E>(
    node: &Node<P>,
    exchange: &mut E,
    command: &Command,
    mut permit: Permit<P>,
    name: &str,
) -> Result<(), Error>
where
    P: Policy + Send + Sync + 'static,
    E: Exchange,
{
    let upstream = permit.upstream().ok_or(Error::Ended)?;
    let Ok((outcome, watermark)) = resolve_outcome(upstream, name).await else {
        // Only the statements of the resolution can have run.
        return serve::refuse(node, exchange, Reason::UpstreamUnreachable).await;
    };
    permit.release();
    let deadline = Instant::now() + command.target;
    let watermark = watermark.unwrap_or_default();
    if !super::acknowledge::wait(node, &command.group, watermark, deadline).await {
        return serve::refuse(node, exchange, Reason::Unsettled).await;
    }
    exchange.send(Frame::Settled(outcome)).await
}

async fn resolve_outcome(
    upstream: &mut Upstream,
    name: &str,
) -> Result<(Outcome, Option<Watermark>), Error> {
    let outcome = if begin(upstream, name, "").await? {
        upstream.query("COMMIT").await?;
        Outcome::NotRun
    } else {
        let (digest, _) = find(upstream, name).await?;
        if digest.is_empty() {
            Outcome::NotRun
        } else {
            Outcome::Done
        }
    };
    Ok((outcome, upstream.watermark()))
}

/// How an attempt to run a write with a key failed.
enum Failure {
    /// The write certainly did not run.
    Refused(Refusal),
    /// The write may have run.
    Unknown,
}

impl From<Error> for Failure {
    /// Converts an error that occurred before the commit was sent, or the upstream's
    /// refusal of the commit.
    fn from(error: Error) -> Self {
        // Everything that ran is rolled back with its transaction.
        let reason = match error {
            Error::Refused { .. } => Reason::NotPrimary,
            _ => Reason::UpstreamUnreachable,
        };
        Self::Refused(reason.into())
    }
}

impl From<Reason> for Failure {
    fn from(reason: Reason) -> Self {
        Self::Refused(reason.into())
    }
}

/// Opens a transaction and records the key in it; returns false, without an open
/// transaction, if the key was already recorded.
async fn begin(upstream: &mut Upstream, name: &str, digest: &str) -> Result<bool, Error> {
    let name = quote(name);
    let insert = format!(
        "INSERT INTO agateport_key (name, digest, answer) VALUES ({name}, '{digest}', '') \
         ON CONFLICT (name) DO NOTHING RETURNING name"
    );
    upstream.query("BEGIN").await?;
    let rows = match upstream.query(&insert).await {
        Ok(rows) => rows,
        // The table may not exist yet.
        Err(Error::Refused { .. }) => {
            upstream.query("ROLLBACK").await?;
            upstream.query(CREATE).await?;
            upstream.query("BEGIN").await?;
            upstream.query(&insert).await?
        }
        Err(error) => return Err(error),
    };
    if rows.is_empty() {
        upstream.query("ROLLBACK").await?;
    }
    Ok(!rows.is_empty())
}

/// Returns the recorded digest and answer of a key.
async fn find(upstream: &mut Upstream, name: &str) -> Result<(String, String), Error> {
    let name = quote(name);
    let select =
        format!("SELECT digest || '{SEPARATOR}' || answer FROM agateport_key WHERE name = {name}");
    let rows = upstream.query(&select).await?;
    let row = rows.first().ok_or(Error::Ended)?;
    let (digest, answer) = row.split_once(SEPARATOR).ok_or(Error::Ended)?;
    Ok((digest.to_owned(), answer.to_owned()))
}

async fn write<P, E>(
    node: &Node<P>,
    exchange: &mut E,
    command: &Command,
    upstream: &mut Upstream,
    key: &Key,
    batch: Batch,
) -> Result<Remainder, Failure>
where
    P: Policy + Send + Sync + 'static,
    E: Exchange,
{
    let injected = answer::send(upstream, &batch).await?;
    let answer = Answer::new(node, command, exchange, injected, None);
    let remainder = answer.collect(upstream).await?;
    let mut remainder = remainder.ok_or(Reason::KeyMisplaced)?;
    remainder.completion.transaction = Transaction::Idle;
    if remainder.completion.is_failed {
        upstream.query("ROLLBACK").await?;
        remainder.completion.watermark = upstream.watermark();
        return Ok(remainder);
    }
    let update = format!(
        "UPDATE agateport_key SET answer = '{}' WHERE name = {}",
        key::to_hex(&remainder.messages),
        quote(&key.name)
    );
    upstream.query(&update).await?;
    match upstream.query("COMMIT").await {
        Ok(_) => {}
        Err(error @ Error::Refused { .. }) => return Err(error.into()),
        Err(_) => return Err(Failure::Unknown),
    }
    remainder.completion.watermark = upstream.watermark();
    Ok(remainder)
}

async fn replay(upstream: &mut Upstream, key: &Key) -> Result<Remainder, Failure> {
    let (digest, answer) = find(upstream, &key.name).await?;
    match key.interpret(&digest, &answer) {
        Record::Reused => Err(Reason::KeyReused.into()),
        Record::NotRun => Err(Reason::KeySettled.into()),
        Record::Done { answer } => Ok(Remainder {
            messages: Bytes::from(answer),
            completion: Completion {
                watermark: upstream.watermark(),
                transaction: Transaction::Idle,
                is_failed: false,
            },
            is_refused: false,
        }),
    }
}

fn quote(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}
