//! Runs single statements at the servers that may run them.

use crate::clock::uptime;
use crate::dialect::Dialect;
use crate::exchange::{Lost, exchange};
use crate::group::Group;
use crate::link;
use crate::message::{Access, Answer, Code, Outcome, Request, State};
use crate::metrics::{Metrics, millis};
use crate::placing::Place;
use crate::proof::{note, prove_after};
use crate::reply::{miss, slow, unknown, unprepared};
use crate::server::Server;
use crate::upstreams::Upstreams;
use crate::work::{Miss, Try, Work};
use agateport_domain::prelude::*;

/// Runs statements at the servers that may run them.
#[derive(Debug)]
pub struct Runner<D> {
    upstreams: Arc<Upstreams<D>>,
    metrics: Arc<Metrics>,
}

impl<D> Clone for Runner<D> {
    fn clone(&self) -> Self {
        Self {
            upstreams: self.upstreams.clone(),
            metrics: self.metrics.clone(),
        }
    }
}

impl<D: Dialect> Runner<D> {
    /// Creates a runner over these servers.
    #[must_use]
    pub fn new(upstreams: Arc<Upstreams<D>>, metrics: Arc<Metrics>) -> Self {
        Self { upstreams, metrics }
    }

    /// Returns the counters of what it does.
    #[must_use]
    pub fn metrics(&self) -> &Arc<Metrics> {
        &self.metrics
    }

    /// Counts and writes down that a server's answer didn't come.
    pub(crate) fn report_lost(
        &self,
        server: &Server<D>,
        work: &Work<'_>,
        asked: Uptime,
        lost: Lost,
    ) {
        self.metrics.count("answer_lost", lost.name());
        let Some(omitted) = self.metrics.line("answer_lost") else {
            return;
        };
        tracing::info!(
            event = "answer_lost",
            request = &*String::from_utf8_lossy(work.id),
            server = &*server.listing().server,
            cause = lost.name(),
            waited_ms = millis(uptime().saturating_sub(asked)),
            is_server_lost = server.is_lost(),
            omitted,
            "a server's answer did not come"
        );
    }

    /// Returns the servers that it runs statements at.
    #[must_use]
    pub fn upstreams(&self) -> &Arc<Upstreams<D>> {
        &self.upstreams
    }

    /// Runs one statement outside of any transaction.
    pub async fn single(&self, work: &Work<'_>, request: &Request, access: Access) -> Answer {
        let group = self.upstreams.group(&work.route.group);
        let tried = self
            .try_servers(&group, work, access, |server| {
                let group = &group;
                async move { self.try_single(group, &server, work, request, access).await }
            })
            .await;
        tried.unwrap_or_else(|refusal| refusal)
    }

    async fn try_single(
        &self,
        group: &Arc<Group>,
        server: &Arc<Server<D>>,
        work: &Work<'_>,
        request: &Request,
        access: Access,
    ) -> Try<Answer> {
        let occupied = self
            .occupy(group, server, work, Some(request), access)
            .await;
        let Place {
            slot,
            mut link,
            floor,
        } = match occupied {
            Ok(place) => place,
            Err(miss) => return Try::Missed(miss),
        };
        let Some(order) = link::order(request, work.context, floor) else {
            return Try::Over(unprepared(State::Idle));
        };
        let asked = uptime();
        let exchanged = exchange(server, &mut link, order, work.deadline()).await;
        let exchanged = exchanged.inspect_err(|lost| {
            self.report_lost(server, work, asked, *lost);
        });
        let answer = match exchanged {
            Ok(answer) => answer,
            Err(Lost::Slow) => return Try::Over(slow()),
            Err(Lost::Broken) if access == Access::Read => {
                return Try::Missed(Miss::Again("the connection broke"));
            }
            Err(Lost::Broken) => return Try::Over(unknown("the connection broke")),
        };
        note(group, server, asked, &answer);
        let code = answer.code().cloned();
        if code == Some(Code::NoStatement) {
            link.forget_prepared();
        }
        if answer.state.is_idle() {
            server.give_back(link);
        }
        drop(slot);
        if let Some(miss) = code.and_then(|code| miss(&code)) {
            return Try::Missed(miss);
        }
        let is_done = matches!(answer.outcome, Outcome::Done(_));
        if access == Access::Write && is_done && !prove_after(group, server, work.deadline()).await
        {
            return Try::Over(unknown("the primary may have been replaced"));
        }
        Try::Over(answer)
    }
}
