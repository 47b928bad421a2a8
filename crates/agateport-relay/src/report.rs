//! Logs and counts the outcome of each statement.

use crate::message::{Answer, Code, Outcome, Request};
use crate::metrics::millis;
use crate::protocol::Protocol;
use crate::statement::Runner;
use agateport_domain::prelude::*;
use agateport_domain::workspace;

impl<W: Protocol> Runner<W> {
    /// Counts the outcome of a statement, records the latency of a successful one, and
    /// logs a failed one within the rate limit of log lines.
    pub fn report(
        &self,
        database: &DatabaseId,
        request: &Request,
        answer: &Answer,
        started: Instant,
    ) {
        let took = started.elapsed();
        let Some(code) = answer.code() else {
            self.metrics().count("answer", "done");
            self.metrics().record_latency(took);
            return;
        };
        self.metrics().count("answer", code.name());
        let Outcome::Error { text, .. } = &answer.outcome else {
            return;
        };
        let Some(omitted) = self.metrics().allow_log("statement_failed") else {
            return;
        };
        tracing::info!(
            event = "statement_failed",
            request = &*String::from_utf8_lossy(&request.id),
            database = &**database,
            code = code.name(),
            reason = &*String::from_utf8_lossy(text),
            took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX),
            tries = ?answer.tries,
            configuration = self.upstreams().catalog().version,
            configuration_age_ms = self.upstreams().currencies().catalog.age().map(millis),
            omitted,
            "a statement failed"
        );
    }

    /// Counts and logs a caller that is not identified, without its key.
    pub fn report_unidentified(&self, database: &DatabaseId, refusal: workspace::Refusal) {
        self.metrics().count("caller_unidentified", refusal.name());
        let Some(omitted) = self.metrics().allow_log("caller_unidentified") else {
            return;
        };
        let currency = &self.upstreams().currencies().catalog;
        tracing::info!(
            event = "caller_unidentified",
            database = &**database,
            reason = refusal.name(),
            configuration = self.upstreams().catalog().version,
            configuration_age_ms = currency.age().map(millis),
            configuration_origin = currency.origin().map(tracing::field::display),
            omitted,
            "the key of a caller identifies no workspace"
        );
    }

    /// Counts and logs a session that is refused: its database has no route, or its caller is
    /// not identified.
    pub fn report_refusal(&self, database: &DatabaseId, refusal: &Answer) {
        let code = refusal.code().map_or("unknown", Code::name);
        self.metrics().count("session", code);
        let Some(omitted) = self.metrics().allow_log("session_refused") else {
            return;
        };
        let currency = &self.upstreams().currencies().catalog;
        tracing::info!(
            event = "session_refused",
            database = &**database,
            code,
            configuration = self.upstreams().catalog().version,
            configuration_age_ms = currency.age().map(millis),
            configuration_origin = currency.origin().map(tracing::field::display),
            omitted,
            "a session is refused"
        );
    }
}
