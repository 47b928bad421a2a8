//! Runs transactions, each on one connection of one server.

use crate::clock::uptime;
use crate::dialect::Dialect;
use crate::exchange::{Lost, align, exchange};
use crate::group::Group;
use crate::link::{self, Link};
use crate::message::{Access, Answer, Order, Outcome, Request, State};
use crate::placing::Place;
use crate::proof::{note, prove_after};
use crate::reply::{aborted, miss, slow, unknown, unprepared};
use crate::server::{Server, Slot};
use crate::statement::Runner;
use crate::work::{Miss, Try, Work};
use agateport_domain::prelude::*;

/// An open transaction's connection.
#[derive(Debug)]
pub struct Pinned<D: Dialect> {
    link: Link<D>,
    slot: Slot<D>,
    group: Arc<Group>,
    has_written: bool,
}

impl<D: Dialect> Runner<D> {
    /// Opens a transaction at a server, for its first statement.
    ///
    /// # Errors
    ///
    /// The answer to give if no server may run it; nothing was run.
    pub async fn begin(&self, work: &Work<'_>, is_read_only: bool) -> Result<Pinned<D>, Answer> {
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
        .await
    }

    async fn try_begin(
        &self,
        group: &Arc<Group>,
        server: &Arc<Server<D>>,
        work: &Work<'_>,
        is_read_only: bool,
    ) -> Try<Pinned<D>> {
        let access = if is_read_only {
            Access::Read
        } else {
            Access::Write
        };
        let Place {
            slot,
            mut link,
            floor,
        } = match self.occupy(group, server, work, None, access).await {
            Ok(place) => place,
            Err(miss) => return Try::Missed(miss),
        };
        let order = Order::Begin {
            is_read_only,
            floor,
        };
        let asked = uptime();
        let Ok(answer) = exchange(server, &mut link, order, work.deadline()).await else {
            return Try::Missed(Miss::Again("the connection broke"));
        };
        note(group, server, asked, &answer);
        if answer.state == State::Open {
            return Try::Over(Pinned {
                link,
                slot,
                group: group.clone(),
                has_written: false,
            });
        }
        let miss = answer.code().and_then(miss);
        server.give_back(link);
        Try::Missed(miss.unwrap_or(Miss::Elsewhere("the server opened no transaction")))
    }

    /// Runs one statement of an open transaction.
    ///
    /// The connection is lost when none is returned: the server then rolls the
    /// transaction back.
    pub async fn within(
        &self,
        mut pinned: Pinned<D>,
        work: &Work<'_>,
        request: &Request,
        access: Access,
    ) -> (Option<Pinned<D>>, Answer) {
        let Some(order) = link::order(request, work.context, None) else {
            return (Some(pinned), unprepared(State::Open));
        };
        let deadline = Instant::now() + work.route.timeout;
        let server = pinned.slot.server().clone();
        pinned.slot.resume();
        let aligned = align(&mut pinned.link, work.context, Some(request), deadline).await;
        if aligned.is_err() {
            return (None, aborted("the connection broke"));
        }
        let asked = uptime();
        let exchanged = exchange(&server, &mut pinned.link, order, deadline).await;
        let exchanged = exchanged.inspect_err(|lost| {
            self.report_lost(&server, work, asked, *lost);
        });
        let answer = match exchanged {
            Ok(answer) => answer,
            Err(Lost::Slow) => return (None, aborted("the server took too long")),
            Err(Lost::Broken) => return (None, aborted("the connection broke")),
        };
        pinned.slot.pause();
        note(&pinned.group, &server, asked, &answer);
        pinned.has_written |= access == Access::Write;
        (Some(pinned), answer)
    }

    /// Ends a transaction and keeps its writes.
    pub async fn commit(
        &self,
        mut pinned: Pinned<D>,
        work: &Work<'_>,
        request: &Request,
    ) -> Answer {
        let order = Order::Pass {
            id: request.id.clone(),
            floor: None,
            text: request.text.clone(),
        };
        let deadline = Instant::now() + work.route.timeout;
        let server = pinned.slot.server().clone();
        pinned.slot.resume();
        let asked = uptime();
        let exchanged = exchange(&server, &mut pinned.link, order, deadline).await;
        let exchanged = exchanged.inspect_err(|lost| {
            self.report_lost(&server, work, asked, *lost);
        });
        let answer = match exchanged {
            Ok(answer) => answer,
            Err(Lost::Slow) => return slow(),
            Err(Lost::Broken) => return unknown("the connection broke"),
        };
        let Pinned {
            link, slot, group, ..
        } = pinned;
        note(&group, &server, asked, &answer);
        if answer.state.is_idle() {
            server.give_back(link);
        }
        drop(slot);
        let is_done = matches!(answer.outcome, Outcome::Done(_));
        if pinned.has_written && is_done && !prove_after(&group, &server, deadline).await {
            return unknown("the primary may have been replaced");
        }
        answer
    }

    /// Drops a transaction, and keeps its connection for others.
    pub async fn rollback(&self, mut pinned: Pinned<D>, limit: Duration) {
        let server = pinned.slot.server().clone();
        pinned.slot.resume();
        let deadline = Instant::now() + limit;
        let rolled = exchange(&server, &mut pinned.link, Order::Rollback, deadline).await;
        let Pinned { link, slot, .. } = pinned;
        // Without an answer the connection is closed, which rolls back too.
        if rolled.is_ok_and(|answer| answer.state.is_idle()) {
            slot.server().give_back(link);
        }
    }
}
