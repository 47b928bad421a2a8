//! Runs transactions, each on a single connection to one server.

use crate::clock::uptime;
use crate::exchange::{self, Exchange};
use crate::group::Group;
use crate::lease::wait_before_acknowledge;
use crate::link::{self, Setup};
use crate::message::{Access, Answer, Code, Command, Outcome, Request, State};
use crate::permit::Permit;
use crate::placement::Placement;
use crate::protocol::Protocol;
use crate::reply::{aborted, failure, timed_out, unknown, unprepared};
use crate::server::Server;
use crate::statement::Runner;
use crate::work::{Attempt, Failure, Work};
use agateport_domain::prelude::*;

/// The connection that an open transaction is pinned to.
#[derive(Debug)]
pub struct Pinned<W: Protocol> {
    permit: Permit<W>,
    server: Arc<Server<W>>,
    group: Arc<Group>,
    has_written: bool,
}

impl<W: Protocol> Pinned<W> {
    fn exchange(&mut self, timeout: Duration) -> Exchange<'_, W> {
        Exchange {
            server: &self.server,
            permit: &mut self.permit,
            deadline: Instant::now() + timeout,
        }
    }
}

impl<W: Protocol> Runner<W> {
    /// Opens a transaction at a suitable server.
    ///
    /// # Errors
    ///
    /// The answer for the caller if no server can run it; nothing was run.
    pub async fn begin(&self, work: &Work<'_>, is_read_only: bool) -> Result<Pinned<W>, Answer> {
        let access = if is_read_only {
            Access::Read
        } else {
            Access::Write
        };
        let group = self.upstreams().group(&work.route.group);
        self.try_servers(&group, work, access, |server| {
            let group = &group;
            async move { self.try_begin(group, &server, work, is_read_only).await }
        })
        .await?
    }

    /// Attempts to open a transaction at one server.
    async fn try_begin(
        &self,
        group: &Arc<Group>,
        server: &Arc<Server<W>>,
        work: &Work<'_>,
        is_read_only: bool,
    ) -> Attempt<Result<Pinned<W>, Answer>> {
        let access = if is_read_only {
            Access::Read
        } else {
            Access::Write
        };
        let acquired = self.acquire(group, server, work, access).await;
        let Placement { mut permit, floor } = match acquired {
            Ok(placement) => placement,
            Err(failure) => return Attempt::Failed(failure),
        };
        let command = Command::Begin {
            is_read_only,
            floor,
        };
        let setup = Setup::new(work.context, None);
        let exchange = Exchange {
            server,
            permit: &mut permit,
            deadline: work.deadline(),
        };
        let Ok(answer) = self.exchange(group, exchange, work, &setup, command).await else {
            return Attempt::Failed(Failure::Retry("the connection broke"));
        };
        if answer.state == State::Open {
            return Attempt::Finished(Ok(Pinned {
                permit,
                server: server.clone(),
                group: group.clone(),
                has_written: false,
            }));
        }
        let failure = answer.code().and_then(failure);
        permit.release(answer.state);
        if answer.code() == Some(&Code::Malformed) {
            // The server rejected a value of the session, as any other one would.
            return Attempt::Finished(Err(answer));
        }
        Attempt::Failed(failure.unwrap_or(Failure::NextServer("the server opened no transaction")))
    }

    /// Runs a statement of an open transaction.
    ///
    /// Returns no connection if it broke, the statement timed out, or the server ends soon; the
    /// server then rolls the transaction back.
    pub async fn run_in_transaction(
        &self,
        mut pinned: Pinned<W>,
        work: &Work<'_>,
        request: &Request,
        access: Access,
    ) -> (Option<Pinned<W>>, Answer) {
        let Some(command) = link::command(request, work.context, None) else {
            return (Some(pinned), unprepared(State::Open));
        };
        let limit = self.upstreams().leaving_limit();
        if pinned.server.has_been_leaving_for(limit) {
            // The server may end before the commit, whose outcome would then be unknown.
            return (None, aborted("the server is leaving"));
        }
        let trace = self.upstreams().trace();
        trace.record_route(work, request, &pinned.server, pinned.permit.owner());
        let setup = Setup::new(work.context, Some(request));
        let group = pinned.group.clone();
        let exchange = pinned.exchange(work.route.timeout);
        let answer = match self.exchange(&group, exchange, work, &setup, command).await {
            Ok(answer) => answer,
            Err(exchange::Failure::TimedOut) => return (None, aborted("the server took too long")),
            Err(_) => return (None, aborted("the connection broke")),
        };
        if answer.state.is_idle() {
            return (None, ended(&answer, access));
        }
        pinned.permit.pause();
        pinned.has_written |= access == Access::Write;
        (Some(pinned), keep_promise(answer))
    }

    /// Commits a transaction.
    pub async fn commit(
        &self,
        mut pinned: Pinned<W>,
        work: &Work<'_>,
        request: &Request,
    ) -> Answer {
        let command = Command::Pass {
            id: request.id.clone(),
            floor: None,
            text: request.text.clone(),
        };
        let setup = Setup::new(work.context, None);
        let group = pinned.group.clone();
        let exchange = pinned.exchange(work.route.timeout);
        let (sent_at, deadline) = (uptime(), exchange.deadline);
        let answer = match self.exchange(&group, exchange, work, &setup, command).await {
            Ok(answer) => answer,
            Err(exchange::Failure::TimedOut) => return timed_out(),
            Err(exchange::Failure::Unsent) => return aborted("the connection broke"),
            Err(exchange::Failure::Disconnected | exchange::Failure::ChannelClosed) => {
                return unknown("the connection broke");
            }
        };
        let Pinned {
            permit,
            server,
            has_written,
            ..
        } = pinned;
        permit.release(answer.state);
        let is_done = matches!(answer.outcome, Outcome::Done(_));
        if has_written
            && is_done
            && !wait_before_acknowledge(&group, &server, sent_at, deadline).await
        {
            return unknown("the primary may have been replaced");
        }
        answer
    }

    /// Rolls a transaction back and releases its connection for other sessions.
    pub async fn rollback(&self, mut pinned: Pinned<W>, timeout: Duration) {
        let exchange = pinned.exchange(timeout);
        // Without an answer the connection is closed, which also rolls back.
        if let Ok(answer) = exchange.run(&Setup::any(), Command::Rollback).await {
            pinned.permit.release(answer.state);
        }
    }
}

/// Returns the answer to a statement after which the server has no transaction open.
fn ended(answer: &Answer, access: Access) -> Answer {
    let reason = "the server ended the transaction";
    match answer.outcome {
        // The server may have run the write on its own.
        Outcome::Done(_) if access == Access::Write => unknown(reason),
        _ => aborted(reason),
    }
}

/// Fails the transaction if the answer promises that nothing is kept of what the caller tried.
fn keep_promise(answer: Answer) -> Answer {
    match answer.code() {
        Some(Code::NoStatement) => aborted("the statement had to be prepared again"),
        Some(code) if failure(code).is_some() => Answer {
            state: State::Failed,
            ..answer
        },
        _ => answer,
    }
}
