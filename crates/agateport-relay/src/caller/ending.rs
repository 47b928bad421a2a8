//! The end of a session that outlasts the grace period of its node.

use super::{Session, Transaction};
use crate::message::{Answer, Request};
use crate::metrics::millis;
use crate::protocol::Protocol;
use agateport_domain::prelude::*;

impl<W: Protocol> Session<W> {
    /// Runs a statement; returns no answer if the session is cut first.
    pub(super) async fn handle_until_cut(&mut self, request: &Request) -> Option<Answer> {
        let cut = self.cut.clone();
        tokio::select! {
            biased;
            answer = self.handle(request) => Some(answer),
            () = cut.cancelled() => None,
        }
    }

    /// Logs what the session was doing when it was cut: the statement in progress and when
    /// it was received, if there was one.
    pub(super) fn report_cut(&self, statement: Option<(&Request, Instant)>) {
        let activity = match (statement, &self.transaction) {
            (Some(_), _) => "statement",
            (None, Transaction::None) => "idle",
            (None, _) => "transaction",
        };
        self.runner.metrics().count("session_cut", activity);
        let Some(omitted) = self.runner.metrics().allow_log("session_cut") else {
            return;
        };
        let id = statement.map(|(request, _)| String::from_utf8_lossy(&request.id));
        let received = statement.map(|(_, received)| received);
        tracing::warn!(
            event = "session_cut",
            database = &*self.database,
            activity,
            request = id.as_deref(),
            running_ms = received.map(|received| millis(received.elapsed())),
            omitted,
            "a session that outlasts the grace period is cut"
        );
    }
}
