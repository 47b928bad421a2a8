//! Confirms that a primary is the only one by querying the group's other servers,
//! for times when the store is unavailable.

use crate::clock::uptime;
use crate::group::Group;
use crate::metrics::millis;
use crate::permit;
use crate::protocol::Protocol;
use crate::server::Server;
use crate::upstreams::Upstreams;
use agateport_domain::prelude::*;
use futures::future::join_all;
use tokio_util::sync::CancellationToken;

/// Interval between two rounds of queries; waiting requests share a round.
const INTERVAL: Duration = Duration::from_millis(40);

/// Confirms the group's primary on request until `token` is cancelled.
pub async fn run<W: Protocol>(
    group: Arc<Group>,
    upstreams: Arc<Upstreams<W>>,
    token: CancellationToken,
) {
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            () = group.confirmation_requested.notified() => {}
        }
        confirm(&group, &upstreams).await;
        tokio::time::sleep(INTERVAL).await;
    }
}

async fn confirm<W: Protocol>(group: &Group, upstreams: &Upstreams<W>) {
    let Some(leader) = group.leader() else { return };
    let servers = upstreams.servers(&group.name);
    let others = servers
        .iter()
        .filter(|server| server.entry().server != leader.server);
    let sent_at = uptime();
    let channels = upstreams.channels();
    let queries = others.map(|server| async move {
        let status = permit::status(server, channels).await;
        status.is_some_and(|status| !status.is_primary)
    });
    let answers = join_all(queries).await;
    if answers.is_empty() || !answers.iter().all(|is_replica| *is_replica) {
        return;
    }
    if group.confirm(&leader.server, sent_at) {
        report_confirmed(group, &leader.server, &servers, sent_at);
    }
}

/// Logs the first confirmation since the store was last read.
fn report_confirmed<W: Protocol>(
    group: &Group,
    primary: &ServerId,
    servers: &[Arc<Server<W>>],
    sent_at: Uptime,
) {
    let entries = servers.iter().map(|server| server.entry());
    let others: Vec<_> = entries
        .filter(|entry| entry.server != *primary)
        .map(|entry| entry.server.clone())
        .collect();
    tracing::info!(
        event = "primary_confirmed",
        group = &*group.name,
        primary = &**primary,
        ?others,
        store_age_ms = millis(sent_at.saturating_sub(group.store_read_at())),
        "the other servers confirmed the primary, as the store does not answer"
    );
}
