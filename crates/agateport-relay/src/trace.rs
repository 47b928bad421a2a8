//! Logs and counts prepared statements, from the caller's name to the name at a server.

use crate::field::Word;
use crate::link::rejection::{Alignment, Rejection};
use crate::message::{Access, Command, Prepared, Request, Verb};
use crate::metrics::Metrics;
use crate::protocol::Protocol;
use crate::server::Server;
use crate::work::Work;
use agateport_domain::prelude::*;
use std::net::SocketAddr;
use std::slice::EscapeAscii;
use std::sync::atomic::{AtomicU64, Ordering};

/// Maximum number of bytes of a caller's text in one field of a log line.
const MAX_EXCERPT: usize = 96;

/// Id in the log lines of commands that have none.
const NO_ID: &[u8] = b"-";

/// A connection to a server, and the id of the request that uses it.
#[derive(Debug)]
pub struct Site<'a, W> {
    /// The server.
    pub server: &'a Server<W>,
    /// Number of the connection.
    pub link: LinkId,
    /// Id of the request; none for a command that carries no id.
    pub request: Option<&'a Word>,
}

/// Numbers a node's sessions and its connections to servers, and logs and counts their
/// prepared statements within the rate limits of log lines.
#[derive(Debug, Default)]
pub struct Trace {
    /// Without metrics, nothing is logged or counted.
    metrics: Option<Arc<Metrics>>,
    last_link: AtomicU64,
    last_session: AtomicU64,
}

impl Trace {
    /// Creates the trace of a node with these metrics.
    #[must_use]
    pub fn new(metrics: Arc<Metrics>) -> Self {
        Self {
            metrics: Some(metrics),
            ..Self::default()
        }
    }

    /// Returns the number of a new connection to a server.
    #[must_use]
    pub fn next_link(&self) -> LinkId {
        self.last_link.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Returns the number of a new session.
    #[must_use]
    pub fn next_session(&self) -> SessionId {
        self.last_session.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Records that a caller prepares a statement, which is kept in its session.
    pub fn record_definition(&self, session: SessionId, database: &DatabaseId, request: &Request) {
        let Verb::Prepare { name, prepared } = &request.verb else {
            return;
        };
        let (access, shape) = (prepared.access, &prepared.shape);
        let Some(omitted) = self.allow("defined", "statement_defined") else {
            return;
        };
        tracing::info!(
            event = "statement_defined",
            request = %excerpt(&request.id),
            database = &**database,
            session,
            name = %excerpt(name),
            ?access,
            shape = %excerpt(shape),
            shape_bytes = shape.len(),
            omitted,
            "a session defined a prepared statement"
        );
    }

    /// Records that a session's prepared statement is to run at a server, over a
    /// connection of this node or of `owner`.
    pub fn record_route<W: Protocol>(
        &self,
        work: &Work<'_>,
        request: &Request,
        server: &Server<W>,
        owner: Option<SocketAddr>,
    ) {
        let Verb::Execute { name, .. } = &request.verb else {
            return;
        };
        let Some(omitted) = self.allow("routed", "statement_routed") else {
            return;
        };
        let (access, shape) = describe(work.context.prepared(request));
        tracing::info!(
            event = "statement_routed",
            request = %excerpt(&request.id),
            session = work.session,
            name = %excerpt(name),
            access,
            shape = %excerpt(shape),
            shape_bytes = shape.len(),
            server = &*server.entry().server,
            owner = owner.map(tracing::field::display),
            omitted,
            "a session's prepared statement is sent to a server or its owner"
        );
    }

    /// Records what a connection was sent to bring it into the state for a request, and
    /// what the server rejected of that.
    pub fn record_alignment<W: Protocol>(&self, site: &Site<'_, W>, aligned: &Alignment) {
        for command in &aligned.accepted {
            match command {
                Command::Reset => self.record_reset(site),
                Command::Prepare { name, prepared } => {
                    self.record_preparation(site, name, prepared);
                }
                _ => {}
            }
        }
        if let Some(rejection) = &aligned.rejection {
            self.record_rejection(site, rejection);
        }
    }

    fn record_rejection<W: Protocol>(&self, site: &Site<'_, W>, rejection: &Rejection) {
        let Some(omitted) = self.allow("rejected", "alignment_failed") else {
            return;
        };
        tracing::info!(
            event = "alignment_failed",
            request = %site.request(),
            server = &*site.server.entry().server,
            connection = site.link,
            code = rejection.code(),
            reason = %rejection,
            omitted,
            "a server rejected a value or prepared statement, and the statement was not sent"
        );
    }

    fn record_reset<W: Protocol>(&self, site: &Site<'_, W>) {
        let Some(omitted) = self.allow("reset", "connection_reset") else {
            return;
        };
        tracing::info!(
            event = "connection_reset",
            request = %site.request(),
            server = &*site.server.entry().server,
            connection = site.link,
            omitted,
            "a connection's values and prepared statements were cleared"
        );
    }

    fn record_preparation<W: Protocol>(
        &self,
        site: &Site<'_, W>,
        name: &Word,
        prepared: &Prepared,
    ) {
        let Prepared { access, shape } = prepared;
        let Some(omitted) = self.allow("prepared", "statement_prepared") else {
            return;
        };
        tracing::info!(
            event = "statement_prepared",
            request = %site.request(),
            server = &*site.server.entry().server,
            connection = site.link,
            name = %excerpt(name),
            ?access,
            shape = %excerpt(shape),
            shape_bytes = shape.len(),
            omitted,
            "a statement was prepared on a connection"
        );
    }

    /// Records that a connection is about to execute a prepared statement.
    pub fn record_execution<W: Protocol>(
        &self,
        site: &Site<'_, W>,
        command: &Command,
        prepared: Option<&Prepared>,
    ) {
        let Command::Execute { name, .. } = command else {
            return;
        };
        let Some(omitted) = self.allow("executed", "statement_executed") else {
            return;
        };
        let (access, shape) = describe(prepared);
        tracing::info!(
            event = "statement_executed",
            request = %site.request(),
            server = &*site.server.entry().server,
            connection = site.link,
            name = %excerpt(name),
            access,
            shape = %excerpt(shape),
            shape_bytes = shape.len(),
            omitted,
            "a prepared statement is sent to a server"
        );
    }

    /// Records that a server does not know a prepared statement which its connection
    /// had recorded as prepared.
    pub fn record_mismatch<W: Protocol>(&self, site: &Site<'_, W>, command: &Command) {
        let Command::Execute { name, .. } = command else {
            return;
        };
        let Some(omitted) = self.allow("missing", "statement_missing") else {
            return;
        };
        tracing::warn!(
            event = "statement_missing",
            request = %site.request(),
            server = &*site.server.entry().server,
            connection = site.link,
            name = %excerpt(name),
            omitted,
            "a server does not know a statement that its connection had prepared"
        );
    }

    /// Counts a step of a prepared statement, and applies the rate limit of its log lines.
    fn allow(&self, reason: &'static str, event: &'static str) -> Option<u64> {
        let metrics = self.metrics.as_ref()?;
        metrics.count("statement", reason);
        metrics.allow_log(event)
    }
}

impl<W> Site<'_, W> {
    fn request(&self) -> EscapeAscii<'_> {
        excerpt(self.request.map_or(NO_ID, |id| id))
    }
}

/// Returns access and shape of a prepared statement for a log line.
fn describe(prepared: Option<&Prepared>) -> (Option<tracing::field::DebugValue<Access>>, &[u8]) {
    let access = prepared.map(|prepared| tracing::field::debug(prepared.access));
    let shape = prepared.map_or(&[][..], |prepared| &*prepared.shape);
    (access, shape)
}

/// Returns the start of a text from outside with all bytes but printable ASCII escaped, so
/// that blanks, line ends and invalid UTF-8 are shown as they are.
pub(crate) fn excerpt(text: &[u8]) -> EscapeAscii<'_> {
    text.get(..MAX_EXCERPT).unwrap_or(text).escape_ascii()
}
