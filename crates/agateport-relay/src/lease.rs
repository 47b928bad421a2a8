//! Leases and watermarks that statements require, and the recording of answers.

use crate::clock::uptime;
use crate::group::Group;
use crate::message::{Access, Answer};
use crate::protocol::Protocol;
use crate::server::Server;
use crate::work::Work;
use agateport_domain::prelude::*;
use tokio::time::Instant as Deadline;

/// Maximum time for which a statement that has not been sent waits for the lease of
/// its primary: a few round trips to the group's other servers.
const MAX_LEASE_WAIT: Duration = Duration::from_millis(150);

/// Returns whether a server is the primary of its group.
pub fn is_leader<W: Protocol>(group: &Group, server: &Server<W>) -> bool {
    let leader = group.leader();
    leader.is_some_and(|leader| leader.server == server.entry().server)
}

/// Returns the watermark that the server must have reached before it runs a read;
/// none at the primary, or while the watermark is unknown.
#[must_use]
pub fn floor(group: &Group, work: &Work<'_>, at_leader: bool) -> Option<Watermark> {
    if at_leader {
        return None;
    }
    group.floor(work.freshness_bound(), work.last_write)
}

/// Returns the time that the lease of the primary must cover for a statement to be sent to it.
#[must_use]
pub fn moment_to_cover(work: &Work<'_>, access: Access) -> Uptime {
    match access {
        Access::Read => work.freshness_bound(),
        Access::Write => work.arrived,
    }
}

/// Waits until the primary holds the lease that a statement needs to be sent to it,
/// and returns whether it does.
pub async fn wait_before_send<W: Protocol>(
    group: &Group,
    server: &Server<W>,
    work: &Work<'_>,
    access: Access,
) -> bool {
    let moment = moment_to_cover(work, access);
    let deadline = work.deadline().min(Instant::now() + MAX_LEASE_WAIT);
    group
        .wait_for_lease_before_send(&server.entry().server, moment, deadline)
        .await
}

/// Waits until a completed write, sent at `sent_at`, may be acknowledged, and returns
/// whether it may: its server has been the only primary since, and no node reads from the
/// former one any more.
pub async fn wait_before_acknowledge<W: Protocol>(
    group: &Group,
    server: &Server<W>,
    sent_at: Uptime,
    deadline: Instant,
) -> bool {
    let completed_at = uptime();
    let name = &server.entry().server;
    if !group.wait_for_lease(name, completed_at, deadline).await {
        return false;
    }
    let leader = group.leader();
    let leader = leader.filter(|leader| leader.server == *name && leader.since <= sent_at);
    let Some(leader) = leader else {
        return false;
    };
    let remaining = leader.settled_at.saturating_sub(completed_at);
    if remaining.is_zero() {
        return true;
    }
    tokio::time::sleep_until(Deadline::from_std(deadline.min(Instant::now() + remaining))).await;
    uptime() >= leader.settled_at
}

/// Records an answer of a server to a request that was sent at `sent_at`, with its
/// watermark.
pub fn record_answer<W: Protocol>(
    group: &Group,
    server: &Server<W>,
    sent_at: Uptime,
    answer: &Answer,
) {
    server.record_answer(sent_at, answer.watermark);
    if let Some(watermark) = answer.watermark {
        group.record_progress(&server.entry().server, sent_at, watermark);
    }
}
