//! Conversion of domain results to PostgreSQL messages.

use super::Backend;
use agateport_domain::request::{Reason, Refusal};
use agateport_domain::session::Transaction;
use bytes::{Bytes, BytesMut};
use pgwire::error::ErrorInfo;
use pgwire::messages::response::{ErrorResponse, ReadyForQuery, TransactionStatus};
use pgwire::messages::startup::{Authentication, BackendKeyData, ParameterStatus};

/// SQLSTATE of a request whose outcome is unknown.
const TRANSACTION_RESOLUTION_UNKNOWN: &str = "08007";

/// SQLSTATE of a write to a server that is not the primary.
const READ_ONLY_TRANSACTION: &str = "25006";

/// Type of the field of an error response that contains its SQLSTATE.
const CODE_FIELD: u8 = b'C';

/// Encodes one message.
#[must_use]
pub fn encode(message: &Backend) -> Bytes {
    let mut buffer = BytesMut::new();
    // Encoding fails only for messages over a gigabyte, which are never built here.
    let _ = message.encode(&mut buffer);
    buffer.freeze()
}

/// Builds an error response.
#[must_use]
pub fn error(severity: &str, code: &str, message: String) -> Backend {
    let info = ErrorInfo::new(severity.to_owned(), code.to_owned(), message);
    Backend::ErrorResponse(ErrorResponse::from(info))
}

/// Builds the error response for a request that was not run.
#[must_use]
pub fn refusal(refusal: &Refusal) -> Backend {
    let text = match refusal.retry_after {
        Some(wait) => format!("{refusal}; retry after {} ms", wait.as_millis()),
        None => refusal.to_string(),
    };
    error("ERROR", sqlstate(refusal.reason), text)
}

/// Builds the error response for a request that may have run.
#[must_use]
pub fn unknown_outcome() -> Backend {
    let text = "the outcome is unknown: the request was sent and its answer is lost";
    error("ERROR", TRANSACTION_RESOLUTION_UNKNOWN, text.to_owned())
}

/// Returns the SQLSTATE of a refusal. Its class is one that clients retry if a
/// retry may succeed.
#[must_use]
pub fn sqlstate(reason: Reason) -> &'static str {
    match reason {
        Reason::Flooded | Reason::QueueFull | Reason::TargetMissed => "53300",
        Reason::UnknownServer => "3D000",
        Reason::NoBundle | Reason::Leaving => "57P03",
        Reason::Behind
        | Reason::NoReadIndex
        | Reason::NotPrimary
        | Reason::OwnerUnreachable
        | Reason::Stale
        | Reason::Unsettled
        | Reason::UpstreamUnreachable => "40001",
        // Classes that clients do not retry, because a retry cannot succeed.
        Reason::KeyReused | Reason::KeySettled => "23505",
        Reason::KeyMisplaced => "0A000",
        Reason::Setting | Reason::UnknownPriority => "22023",
    }
}

/// Converts the transaction status of the protocol to that of the domain.
#[must_use]
pub fn transaction(status: TransactionStatus) -> Transaction {
    match status {
        TransactionStatus::Idle => Transaction::Idle,
        TransactionStatus::Transaction => Transaction::Open,
        TransactionStatus::Error => Transaction::Failed,
    }
}

/// Builds the `ReadyForQuery` message, which ends an answer.
#[must_use]
pub fn ready_for_query(transaction: Transaction) -> Backend {
    Backend::ReadyForQuery(ReadyForQuery::new(match transaction {
        Transaction::Idle => TransactionStatus::Idle,
        Transaction::Open => TransactionStatus::Transaction,
        Transaction::Failed => TransactionStatus::Error,
    }))
}

/// Returns whether a message is the error of a write to a read-only server.
#[must_use]
pub fn is_read_only(message: &Backend) -> bool {
    let Backend::ErrorResponse(error) = message else {
        return false;
    };
    let mut fields = error.fields.iter();
    fields.any(|(kind, text)| *kind == CODE_FIELD && text == READ_ONLY_TRANSACTION)
}

/// Returns whether a message is the last response to one of the caller's messages.
#[must_use]
pub fn is_last_answer(message: &Backend) -> bool {
    !matches!(
        message,
        Backend::DataRow(_)
            | Backend::NoticeResponse(_)
            | Backend::ParameterDescription(_)
            | Backend::ParameterStatus(_)
    )
}

/// Builds the messages from `AuthenticationOk` up to, but without, the first
/// `ReadyForQuery`.
#[must_use]
pub fn startup_messages(key: BackendKeyData) -> Vec<Backend> {
    let parameters = [
        ("server_version", "16.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ];
    let parameters = parameters.map(|(name, value)| {
        let status = ParameterStatus::new(name.to_owned(), value.to_owned());
        Backend::ParameterStatus(status)
    });
    let mut messages = vec![Backend::Authentication(Authentication::Ok)];
    messages.extend(parameters);
    messages.push(Backend::BackendKeyData(key));
    messages
}
