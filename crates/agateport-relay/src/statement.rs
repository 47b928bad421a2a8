//! Runs single statements at suitable servers.

use crate::clock::uptime;
use crate::exchange::{self, Exchange};
use crate::group::Group;
use crate::lease::{record_answer, wait_before_acknowledge};
use crate::link::{self, Setup};
use crate::message::{Access, Answer, Command, Outcome, Request, State};
use crate::metrics::{Metrics, millis};
use crate::placement::Placement;
use crate::protocol::Protocol;
use crate::reply::{failure, timed_out, unknown, unprepared};
use crate::server::Server;
use crate::upstreams::Upstreams;
use crate::work::{Attempt, Failure, Work};
use agateport_domain::prelude::*;

/// Runs statements and transactions at suitable servers.
#[derive(Debug)]
pub struct Runner<W> {
    upstreams: Arc<Upstreams<W>>,
    metrics: Arc<Metrics>,
}

impl<W> Clone for Runner<W> {
    fn clone(&self) -> Self {
        Self {
            upstreams: self.upstreams.clone(),
            metrics: self.metrics.clone(),
        }
    }
}

impl<W: Protocol> Runner<W> {
    /// Creates a runner of statements at these servers.
    #[must_use]
    pub fn new(upstreams: Arc<Upstreams<W>>, metrics: Arc<Metrics>) -> Self {
        Self { upstreams, metrics }
    }

    /// Returns the node's metrics.
    #[must_use]
    pub fn metrics(&self) -> &Arc<Metrics> {
        &self.metrics
    }

    /// Runs one command and records the state of the server from its answer, or logs
    /// and counts the missing answer.
    pub(crate) async fn exchange(
        &self,
        group: &Group,
        exchange: Exchange<'_, W>,
        work: &Work<'_>,
        setup: &Setup<'_>,
        command: Command,
    ) -> Result<Answer, exchange::Failure> {
        let server = exchange.server;
        let sent_at = uptime();
        let result = exchange.run(setup, command).await;
        match &result {
            Ok(answer) => record_answer(group, server, sent_at, answer),
            Err(failure) => self.report_failure(server, work, sent_at, *failure),
        }
        result
    }

    /// Counts and logs an answer that was not received.
    fn report_failure(
        &self,
        server: &Server<W>,
        work: &Work<'_>,
        sent_at: Uptime,
        failure: exchange::Failure,
    ) {
        self.metrics.count("answer_lost", failure.name());
        let Some(omitted) = self.metrics.allow_log("answer_lost") else {
            return;
        };
        tracing::info!(
            event = "answer_lost",
            request = &*String::from_utf8_lossy(work.id),
            server = &*server.entry().server,
            cause = failure.name(),
            waited_ms = millis(uptime().saturating_sub(sent_at)),
            is_server_lost = server.is_unreachable(),
            omitted,
            "no answer was received from a server"
        );
    }

    /// Returns the groups and servers that statements run at.
    #[must_use]
    pub fn upstreams(&self) -> &Arc<Upstreams<W>> {
        &self.upstreams
    }

    /// Runs a statement outside of a transaction.
    pub async fn run_single(&self, work: &Work<'_>, request: &Request, access: Access) -> Answer {
        let group = self.upstreams.group(&work.route.group);
        let result = self
            .try_servers(&group, work, access, |server| {
                let group = &group;
                async move { self.try_single(group, &server, work, request, access).await }
            })
            .await;
        result.unwrap_or_else(|refusal| refusal)
    }

    /// Attempts to run a statement at one server.
    async fn try_single(
        &self,
        group: &Arc<Group>,
        server: &Arc<Server<W>>,
        work: &Work<'_>,
        request: &Request,
        access: Access,
    ) -> Attempt<Answer> {
        let acquired = self.acquire(group, server, work, access).await;
        let Placement { mut permit, floor } = match acquired {
            Ok(placement) => placement,
            Err(failure) => return Attempt::Failed(failure),
        };
        let Some(command) = link::command(request, work.context, floor) else {
            permit.release_unused();
            return Attempt::Finished(unprepared(State::Idle));
        };
        let trace = self.upstreams.trace();
        trace.record_route(work, request, server, permit.owner());
        let setup = Setup::new(work.context, Some(request));
        let sent_at = uptime();
        let exchange = Exchange {
            server,
            permit: &mut permit,
            deadline: work.deadline(),
        };
        let answer = match self.exchange(group, exchange, work, &setup, command).await {
            Ok(answer) => answer,
            Err(exchange::Failure::TimedOut) => return Attempt::Finished(timed_out()),
            Err(exchange::Failure::Disconnected | exchange::Failure::ChannelClosed)
                if access == Access::Write =>
            {
                return Attempt::Finished(unknown("the connection broke"));
            }
            Err(_) => return Attempt::Failed(Failure::Retry("the connection broke")),
        };
        permit.release(answer.state);
        let code = answer.code().cloned();
        if let Some(failure) = code.and_then(|code| failure(&code)) {
            return Attempt::Failed(failure);
        }
        let is_done = matches!(answer.outcome, Outcome::Done(_));
        if access == Access::Write
            && is_done
            && !wait_before_acknowledge(group, server, sent_at, work.deadline()).await
        {
            return Attempt::Finished(unknown("the primary may have been replaced"));
        }
        Attempt::Finished(answer)
    }
}
