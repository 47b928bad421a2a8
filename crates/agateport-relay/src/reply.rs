//! Answers that the node generates itself.

use crate::context;
use crate::currency::VALIDITY;
use crate::group::Group;
use crate::message::{Answer, Code, Outcome, State};
use crate::work::Failure;
use agateport_domain::allowance;
use agateport_domain::prelude::*;
use agateport_domain::request::Refusal;
use agateport_domain::workspace;

/// Retry delay suggested to a refused caller when the group has no primary: about the
/// average remaining time of a handover.
const HANDOVER_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Retry delay suggested to a refused caller when the group has a primary but no suitable
/// server ran the statement, or when the refusal suggests no delay.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Retry delay suggested to a caller whose value or prepared statement the node has no
/// room for; sessions that end free it.
const CONTEXT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Returns how to proceed after an error code which means that nothing was run; none
/// for other codes.
#[must_use]
pub fn failure(code: &Code) -> Option<Failure> {
    match code {
        Code::Busy => Some(Failure::NextServer("the server is busy")),
        Code::Lagging => Some(Failure::NextServer("the replica is behind")),
        Code::Misdirected => Some(Failure::NextServer("the server is another one")),
        Code::NoStatement => Some(Failure::Retry("the statement had to be prepared again")),
        Code::ReadOnly => Some(Failure::NextServer("the server isn't the primary")),
        Code::TooMany => Some(Failure::NextServer("the server has no connection left")),
        _ => None,
    }
}

/// Returns the answer to a statement that admission control refused.
#[must_use]
pub fn refused(refusal: &Refusal) -> Answer {
    let retry = refusal.retry_after.unwrap_or(DEFAULT_RETRY_DELAY);
    busy(&refusal.to_string(), retry)
}

/// Returns the answer to a statement that its workspace's allowance does not permit.
#[must_use]
pub fn not_allowed(refusal: &allowance::Refusal) -> Answer {
    busy(&refusal.to_string(), refusal.retry_after)
}

/// Returns the answer to a statement that no server could run.
#[must_use]
pub fn no_server(group: &Group, reason: &str) -> Answer {
    let retry = match group.leader() {
        None => HANDOVER_RETRY_DELAY,
        Some(_) => DEFAULT_RETRY_DELAY,
    };
    busy(&format!("not run: {reason}"), retry)
}

/// Returns the answer to a request for a database that has no route in a configuration
/// of this age; none if the node has no configuration.
#[must_use]
pub fn no_route(age: Option<Duration>) -> Answer {
    if age.is_some_and(|age| age < VALIDITY) {
        let text = "no route has this database";
        return Answer::local(Outcome::error(Code::NoDatabase, text), State::Idle);
    }
    let reason = "not run: no route has this database, but the configuration may be out of date";
    busy(reason, DEFAULT_RETRY_DELAY)
}

/// Returns the answer to a caller that is not identified.
#[must_use]
pub fn unidentified(refusal: workspace::Refusal) -> Answer {
    if refusal.is_final() {
        let text = refusal.to_string();
        return Answer::local(Outcome::error(Code::NotAuthorized, text), State::Idle);
    }
    busy(&format!("not run: {refusal}"), DEFAULT_RETRY_DELAY)
}

/// Text between the reason of a refusal and its retry time in milliseconds.
const RETRY_MARK: &str = "; retry after ";

/// Returns the retry time in milliseconds that the text of a refusal states.
#[must_use]
pub fn retry_ms(text: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(text).ok()?;
    let (_, retry) = text.split_once(RETRY_MARK)?;
    retry.strip_suffix(" ms")?.parse().ok()
}

fn busy(reason: &str, retry: Duration) -> Answer {
    let text = format!("{reason}{RETRY_MARK}{} ms", retry.as_millis());
    Answer::local(Outcome::error(Code::Busy, text), State::Idle)
}

/// Returns the answer to a statement that was not passed on any more.
#[must_use]
pub fn stopping(reason: &str) -> Answer {
    busy(&format!("not run: {reason}"), DEFAULT_RETRY_DELAY)
}

/// Returns the answer to a statement that may have been run.
#[must_use]
pub fn unknown(reason: &str) -> Answer {
    let text = format!("the outcome is unknown: {reason}");
    Answer::local(Outcome::error(Code::Unknown, text), State::Idle)
}

/// Returns the answer to a statement whose server did not answer in time.
#[must_use]
pub fn timed_out() -> Answer {
    let text = "the server took too long; it may have run";
    Answer::local(Outcome::error(Code::Timeout, text), State::Idle)
}

/// Returns the answer to a transaction that was rolled back.
#[must_use]
pub fn aborted(reason: &str) -> Answer {
    let text = format!("rolled back: {reason}");
    Answer::local(Outcome::error(Code::Aborted, text), State::Failed)
}

/// Returns the answer to a value or prepared statement that exceeds a limit.
#[must_use]
pub fn unkept(error: context::Error, state: State) -> Answer {
    if error.is_temporary() {
        let answer = busy(&error.to_string(), CONTEXT_RETRY_DELAY);
        return Answer { state, ..answer };
    }
    Answer::local(Outcome::error(Code::Malformed, error.to_string()), state)
}

/// Returns the answer to a statement that its session has not prepared.
#[must_use]
pub fn unprepared(state: State) -> Answer {
    let text = "no such prepared statement";
    Answer::local(Outcome::error(Code::NoStatement, text), state)
}
