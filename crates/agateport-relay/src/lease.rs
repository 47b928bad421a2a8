//! The proofs that statements need of the primary.

use crate::clock::uptime;
use crate::dialect::Dialect;
use crate::group::Group;
use crate::message::{Access, Answer};
use crate::server::Server;
use crate::work::Work;
use agateport_domain::prelude::*;
use tokio::time::Instant as Deadline;

/// Time for which a write that hasn't been sent waits for the proof that its
/// primary is the only one: a few round trips to the group's other servers.
const MAX_LEASE_WAIT: Duration = Duration::from_millis(150);

/// Tells whether a server leads its group.
pub fn is_leader<D: Dialect>(group: &Group, server: &Server<D>) -> bool {
    let leader = group.leader();
    leader.is_some_and(|leader| leader.server == server.entry().server)
}

/// Returns what the server is to check before it runs a read.
#[must_use]
pub fn floor(group: &Group, work: &Work<'_>, at_leader: bool) -> Option<Watermark> {
    if at_leader {
        return None;
    }
    group.floor(work.oldest(), work.seen)
}

/// Waits for the proof that a statement needs before it is sent to the primary.
pub async fn wait_before_send<D: Dialect>(
    group: &Group,
    server: &Server<D>,
    work: &Work<'_>,
    access: Access,
) -> bool {
    let moment = match access {
        Access::Read => work.oldest(),
        Access::Write => work.arrived,
    };
    let deadline = work.deadline().min(Instant::now() + MAX_LEASE_WAIT);
    group
        .wait_for_lease_before_send(&server.entry().server, moment, deadline)
        .await
}

/// Waits until a write that is done may be acknowledged: its server was the only
/// primary, and nobody reads from the former one any more.
pub async fn wait_before_acknowledge<D: Dialect>(
    group: &Group,
    server: &Server<D>,
    deadline: Instant,
) -> bool {
    let done = uptime();
    let name = &server.entry().server;
    if !group.wait_for_lease(name, done, deadline).await {
        return false;
    }
    let leader = group.leader().filter(|leader| leader.server == *name);
    let Some(leader) = leader else {
        return false;
    };
    let rest = leader.settled_at.saturating_sub(done);
    if rest.is_zero() {
        return true;
    }
    tokio::time::sleep_until(Deadline::from_std(deadline.min(Instant::now() + rest))).await;
    uptime() >= leader.settled_at
}

/// Takes in what an answer tells of its server.
pub fn record_answer<D: Dialect>(
    group: &Group,
    server: &Server<D>,
    sent_at: Uptime,
    answer: &Answer,
) {
    server.record_answer(sent_at, answer.place);
    if let Some(place) = answer.place {
        group.record_progress(&server.entry().server, sent_at, place);
    }
}
