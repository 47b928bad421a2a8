//! Writes with a key: recorded in the upstream in the write's own transaction.

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

/// Creates the table of records.
const CREATE: &str = "CREATE TABLE IF NOT EXISTS agateport_key \
    (name TEXT PRIMARY KEY, digest TEXT NOT NULL, answer TEXT NOT NULL)";

/// Separates the digest from the answer in what [`find`] reads.
const SEPARATOR: char = ':';

/// Runs a write with a key, or answers it from the record.
///
/// # Errors
///
/// [`Error`] if the frontend is gone.
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

/// Settles what became of a key: one that isn't recorded is recorded as not
/// run, so that a write that is still under way can't run any more.
///
/// # Errors
///
/// [`Error`] if the frontend is gone.
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
    let Ok((outcome, seen)) = resolve_outcome(upstream, name).await else {
        // Nothing but the settling itself can have run.
        return serve::refuse(node, exchange, Reason::UpstreamUnreachable).await;
    };
    permit.release();
    let deadline = Instant::now() + command.target;
    let seen = seen.unwrap_or_default();
    if !super::acknowledge::wait(node, &command.group, seen, deadline).await {
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

/// How an attempt at a write with a key failed.
enum Failure {
    /// It certainly did not run.
    Refused(Refusal),
    /// It may have run.
    Unknown,
}

impl From<Error> for Failure {
    /// Turns an error from before the commit was sent.
    fn from(error: Error) -> Self {
        // Whatever ran is rolled back with its transaction.
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

/// Opens a transaction and records the key in it; false if it was recorded
/// before, and no transaction is open.
async fn begin(upstream: &mut Upstream, name: &str, digest: &str) -> Result<bool, Error> {
    let name = quote(name);
    let insert = format!(
        "INSERT INTO agateport_key (name, digest, answer) VALUES ({name}, '{digest}', '') \
         ON CONFLICT (name) DO NOTHING RETURNING name"
    );
    upstream.query("BEGIN").await?;
    let rows = match upstream.query(&insert).await {
        Ok(rows) => rows,
        // The table may not be there yet.
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

/// Returns the digest and the answer that are recorded for a key.
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
        remainder.completion.seen = upstream.watermark();
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
    remainder.completion.seen = upstream.watermark();
    Ok(remainder)
}

async fn replay(upstream: &mut Upstream, key: &Key) -> Result<Remainder, Failure> {
    let (digest, answer) = find(upstream, &key.name).await?;
    match key.read(&digest, &answer) {
        Record::Reused => Err(Reason::KeyReused.into()),
        Record::NotRun => Err(Reason::KeySettled.into()),
        Record::Done { answer } => Ok(Remainder {
            messages: Bytes::from(answer),
            completion: Completion {
                seen: upstream.watermark(),
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
