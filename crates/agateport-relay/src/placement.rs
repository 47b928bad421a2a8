//! Selects the server for a statement, and acquires a permit there.

use crate::catalog::Consistency;
use crate::clock::uptime;
use crate::group::Group;
use crate::lease::{floor, is_leader, wait_before_send};
use crate::message::{Access, Answer, Tried};
use crate::permit::{self, Cause, Claim, Denial, Permit};
use crate::protocol::Protocol;
use crate::reply;
use crate::server::Server;
use crate::statement::Runner;
use crate::work::{Attempt, Failure, Work};
use agateport_domain::pace::{self, Standing};
use agateport_domain::prelude::*;
use agateport_domain::session::placement::{self, Candidate, Exclusion};

/// Maximum number of attempts to run a statement before it is refused.
pub(crate) const ATTEMPTS: usize = 4;

/// Share of the target latency that a statement may wait for a slot. A caller that
/// is refused after it can still be served within the target at another node.
const WAIT_SHARE: f64 = 0.22;

/// The same at a node that refuses on arrival, whose refusals come within a fifth of the
/// target latency, with some time for the answer.
const PROMPT_WAIT_SHARE: f64 = 0.19;

/// A permit at the selected server, with the precondition of the statement.
#[derive(Debug)]
pub struct Placement<W: Protocol> {
    /// Permit to run statements.
    pub permit: Permit<W>,
    /// Watermark that the server's log must have reached, if any.
    pub floor: Option<Watermark>,
}

impl<W: Protocol> Runner<W> {
    /// Attempts to run a statement at servers, best first, until one attempt is
    /// finished.
    ///
    /// # Errors
    ///
    /// The answer to send if every attempt failed; no write was run, but a read may have
    /// been.
    pub(crate) async fn try_servers<T, F>(
        &self,
        group: &Group,
        work: &Work<'_>,
        access: Access,
        attempt: impl Fn(Arc<Server<W>>) -> F,
    ) -> Result<T, Answer>
    where
        F: Future<Output = Attempt<T>>,
    {
        let mut excluded = BTreeSet::new();
        let mut reason = "no server may run it";
        let mut refused = None;
        let mut tries = Vec::new();
        for _ in 0..ATTEMPTS {
            let Some(server) = self.choose(group, work, access, &excluded) else {
                break;
            };
            let failure = match attempt(server.clone()).await {
                Attempt::Finished(result) => return Ok(result),
                Attempt::Failed(failure) => failure,
            };
            self.metrics().count("missed", failure.reason());
            tries.push(failed_attempt(group, &server, work, &failure));
            match failure {
                Failure::Refused(refusal) => {
                    refused = Some(refusal);
                    excluded.insert(server.entry().server.clone());
                    if Instant::now() >= self.latest_start(work) {
                        break;
                    }
                }
                Failure::Departed => {
                    reason = "the caller has left";
                    break;
                }
                Failure::Retry(cause) => reason = cause,
                Failure::NextServer(cause) => {
                    reason = cause;
                    excluded.insert(server.entry().server.clone());
                }
            }
            if Instant::now() >= work.deadline() {
                break;
            }
        }
        let answer = match refused {
            Some(refusal) => reply::refused(&refusal),
            None => reply::no_server(group, reason),
        };
        Err(Answer { tries, ..answer })
    }

    /// Acquires a permit at a server and, at the primary, the lease that the statement
    /// needs.
    ///
    /// # Errors
    ///
    /// [`Failure`] if the statement must not run there; nothing was run.
    pub(crate) async fn acquire(
        &self,
        group: &Group,
        server: &Arc<Server<W>>,
        work: &Work<'_>,
        access: Access,
    ) -> Result<Placement<W>, Failure> {
        let at_leader = is_leader(group, server);
        if at_leader && !wait_before_send(group, server, work, access).await {
            return Err(Failure::NextServer("the primary isn't proven"));
        }
        let latest = self.latest_start(work);
        let claim = claim(server, work, latest);
        let acquired = tokio::select! {
            biased;
            acquired = permit::acquire(server, self.upstreams().channels(), &claim) => acquired,
            // Dropping the claim removes it from the queue; if an owner has it, that closes
            // the channel.
            () = work.departure.wait() => return Err(Failure::Departed),
        };
        let permit = acquired.map_err(|denial| match denial {
            Denial::Refused(refusal) => Failure::Refused(refusal),
            Denial::Unavailable(Cause::Exhausted) => {
                Failure::NextServer("the server has no connection left")
            }
            Denial::Unavailable(_) => Failure::NextServer("the server can't be reached"),
        })?;
        if at_leader && !is_leader(group, server) {
            permit.release_unused();
            return Err(Failure::NextServer("the primary was replaced"));
        }
        let floor = floor(group, work, at_leader);
        Ok(Placement { permit, floor })
    }

    /// Returns the latest time at which a statement may start, over all attempts; it is
    /// refused after that.
    pub(crate) fn latest_start(&self, work: &Work<'_>) -> Instant {
        let share = if self.upstreams().refuses_on_arrival() {
            PROMPT_WAIT_SHARE
        } else {
            WAIT_SHARE
        };
        work.started + work.route.target.mul_f64(share)
    }

    /// Returns the best server for a statement.
    fn choose(
        &self,
        group: &Group,
        work: &Work<'_>,
        access: Access,
        excluded: &BTreeSet<ServerId>,
    ) -> Option<Arc<Server<W>>> {
        if needs_leader(work, access) {
            let leader = group.leader()?.server;
            let server = self.upstreams().server(&leader)?;
            let checked = self.check_leader(&server, excluded);
            return checked.is_ok().then_some(server);
        }
        let floor = group.floor(work.freshness_bound(), work.last_write);
        let candidates = self.candidates(group, work, excluded).into_iter();
        let candidates: Vec<_> = candidates.filter_map(Result::ok).collect();
        let order = placement::order(&candidates, floor);
        self.upstreams().server(order.first()?)
    }

    /// Returns whether a primary may run a statement: no statement waits for an unreachable
    /// server, and a leaving one ends soon.
    ///
    /// # Errors
    ///
    /// [`Exclusion`] if it may not.
    pub(crate) fn check_leader(
        &self,
        server: &Server<W>,
        excluded: &BTreeSet<ServerId>,
    ) -> Result<(), Exclusion> {
        if excluded.contains(&server.entry().server) {
            return Err(Exclusion::Failed);
        }
        if server.is_unreachable() {
            return Err(Exclusion::Unreachable);
        }
        if server.has_been_leaving_for(self.upstreams().leaving_limit()) {
            return Err(Exclusion::Leaving);
        }
        Ok(())
    }

    /// Returns the servers of a group that may run a read as far as this node knows, and why
    /// the others may not.
    pub(crate) fn candidates(
        &self,
        group: &Group,
        work: &Work<'_>,
        excluded: &BTreeSet<ServerId>,
    ) -> Vec<Result<Candidate, (ServerId, Exclusion)>> {
        let leader = group.leader().map(|leader| leader.server);
        let servers = self.upstreams().servers(&work.route.group);
        let paces = servers.iter().map(|server| server.pace());
        let standings = pace::compare(&paces.collect::<Vec<_>>());
        let servers = servers.iter().zip(standings);
        servers
            .map(|(server, standing)| self.candidate(server, standing, leader.as_ref(), excluded))
            .collect()
    }

    fn candidate(
        &self,
        server: &Server<W>,
        standing: Standing,
        leader: Option<&ServerId>,
        excluded: &BTreeSet<ServerId>,
    ) -> Result<Candidate, (ServerId, Exclusion)> {
        let entry = server.entry();
        let exclusion = if entry.is_leaving {
            Some(Exclusion::Leaving)
        } else if excluded.contains(&entry.server) {
            Some(Exclusion::Failed)
        } else {
            server.is_unreachable().then_some(Exclusion::Unreachable)
        };
        if let Some(exclusion) = exclusion {
            return Err((entry.server.clone(), exclusion));
        }
        let watermark = server.watermark();
        Ok(Candidate {
            server: entry.server.clone(),
            is_primary: leader == Some(&entry.server),
            is_same_zone: self.upstreams().is_same_zone(&entry),
            watermark: watermark.map(|(watermark, _)| watermark),
            is_recent: watermark.is_some_and(|(_, is_recent)| is_recent),
            load: server.load(),
            standing,
        })
    }
}

/// Returns whether only the primary may run a statement.
pub(crate) fn needs_leader(work: &Work<'_>, access: Access) -> bool {
    access == Access::Write || work.route.consistency == Consistency::Primary
}

/// Returns the log record of a failed attempt at a server.
fn failed_attempt<W: Protocol>(
    group: &Group,
    server: &Server<W>,
    work: &Work<'_>,
    failure: &Failure,
) -> Tried {
    Tried {
        server: server.entry().server.clone(),
        reason: failure.reason(),
        load: server.load(),
        place: server.watermark().map(|(watermark, _)| watermark),
        proof_left: group.lease_expiry().saturating_sub(uptime()),
        waited: work.started.elapsed(),
    }
}

/// Returns the claim of a statement for a permit at a server.
pub(crate) fn claim<W: Protocol>(server: &Server<W>, work: &Work<'_>, latest: Instant) -> Claim {
    let now = Instant::now();
    Claim {
        server: server.entry().server.clone(),
        priority: work.route.priority.clone(),
        caller: work.caller.clone(),
        due_in: work.due().saturating_duration_since(now),
        max_wait: latest.saturating_duration_since(now),
        values: work.context.values().clone(),
        workspace: work.workspace.cloned(),
    }
}
