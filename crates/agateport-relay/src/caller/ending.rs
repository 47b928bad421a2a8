//! What a session waits for, and how it ends.

use super::{Event, Session, Transaction};
use crate::message::{Access, Answer, Request, State, Verb};
use crate::metrics::millis;
use crate::protocol::Protocol;
use crate::reply;
use agateport_domain::drain::Step;
use agateport_domain::prelude::*;
use std::io;
use tokio::sync::watch;

/// Time in which a caller that has just connected sends its first statement; the node does
/// not close its session earlier.
const FIRST_STATEMENT_TIMEOUT: Duration = Duration::from_millis(200);

/// Reason given to callers.
const STOPPING: &str = "the node is stopping";

impl<W: Protocol> Session<W> {
    /// Waits for the next event. A message that has been received takes precedence over a
    /// shutdown and the idle timeout.
    pub(super) async fn next_event(&mut self) -> io::Result<Event> {
        let idle_timeout = match self.transaction {
            Transaction::Open { .. } => self.runner.upstreams().catalog().idle_transaction_timeout,
            _ => None,
        };
        let is_idle = matches!(self.transaction, Transaction::None);
        let cut = self.drain.cut.clone();
        loop {
            let is_closable = is_idle && !self.connection.is_receiving();
            let shutdown = wait_for_shutdown(self.shutdown.clone(), self.is_new);
            tokio::select! {
                biased;
                message = self.connection.message() => {
                    return Ok(message?.map_or(Event::End, Event::Message));
                }
                () = shutdown, if is_closable => {}
                () = cut.cancelled() => {}
                () = sleep(idle_timeout) => return Ok(Event::IdleTimeout),
            }
            if let Some(message) = self.connection.received()? {
                return Ok(Event::Message(message));
            }
            if cut.is_cancelled() || !self.connection.is_receiving() {
                return Ok(Event::Close);
            }
        }
    }

    /// Closes the session while no answer is awaited.
    pub(super) async fn close(&mut self) -> io::Result<()> {
        if self.drain.cut.is_cancelled() {
            self.report_cut(None);
        }
        self.roll_back();
        self.connection.close().await
    }

    /// Answers a statement: with the answer of a server, or with that of the node if it is
    /// too late for one.
    pub(super) async fn answer(&mut self, request: &Request) -> Answer {
        if let Some(refusal) = self.refuse_late(request) {
            return refusal;
        }
        let (state, received) = (self.state(), Instant::now());
        let cut = self.drain.cut.clone();
        tokio::select! {
            biased;
            answer = self.handle(request) => answer,
            () = cut.cancelled() => {
                self.report_cut(Some((request, received)));
                self.cut_short(request, state)
            }
        }
    }

    /// Returns the refusal of a statement that may not be passed on any more; its
    /// transaction is rolled back.
    fn refuse_late(&mut self, request: &Request) -> Option<Answer> {
        let step = self.step(request)?;
        let timeout = match &self.transaction {
            Transaction::Begun { target, .. } | Transaction::Open { target, .. } => {
                target.route.timeout
            }
            Transaction::None | Transaction::Failed => self.target().ok()?.route.timeout,
        };
        if self.drain.allows(step, timeout) {
            return None;
        }
        if let Step::Begin | Step::Single = step {
            return Some(reply::stopping(STOPPING));
        }
        self.roll_back();
        if step == Step::Next {
            self.transaction = Transaction::Failed;
        }
        Some(reply::aborted(STOPPING))
    }

    /// Returns what a statement is to a server; none if the node answers it by itself.
    fn step(&self, request: &Request) -> Option<Step> {
        let is_open = match self.state() {
            State::Failed => return None,
            State::Open => true,
            State::Idle => false,
        };
        match &request.verb {
            Verb::Begin { .. } if !is_open => Some(Step::Begin),
            Verb::Commit if is_open => Some(Step::Commit),
            _ if self.access(request).is_none() => None,
            _ if is_open => Some(Step::Next),
            _ => Some(Step::Single),
        }
    }

    /// Returns the access of a read or write; none for other statements.
    fn access(&self, request: &Request) -> Option<Access> {
        match &request.verb {
            Verb::Read => Some(Access::Read),
            Verb::Write => Some(Access::Write),
            _ => self
                .context
                .prepared(request)
                .map(|prepared| prepared.access),
        }
    }

    /// Returns the answer to a statement whose server has not answered before the cut.
    /// `state` is that of the session before it.
    fn cut_short(&mut self, request: &Request, state: State) -> Answer {
        self.roll_back();
        if request.verb == Verb::Commit {
            return reply::unknown(STOPPING);
        }
        if state == State::Open {
            self.transaction = Transaction::Failed;
            return reply::aborted(STOPPING);
        }
        match self.access(request) {
            Some(Access::Write) => reply::unknown(STOPPING),
            _ => reply::aborted(STOPPING),
        }
    }

    /// Logs what the session was doing at the cut: the statement in progress and when it
    /// was received, if there was one.
    fn report_cut(&self, statement: Option<(&Request, Instant)>) {
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

/// Waits until the node closes idle sessions. One that `is_new` is given the time to send
/// its first statement.
async fn wait_for_shutdown(mut shutdown: watch::Receiver<bool>, is_new: bool) {
    // The sender lives as long as the node.
    let _ = shutdown.wait_for(|is_shutdown| *is_shutdown).await;
    if is_new {
        tokio::time::sleep(FIRST_STATEMENT_TIMEOUT).await;
    }
}

/// Sleeps for `duration`, or forever if there is none.
async fn sleep(duration: Option<Duration>) {
    match duration {
        Some(duration) => tokio::time::sleep(duration).await,
        None => std::future::pending().await,
    }
}
