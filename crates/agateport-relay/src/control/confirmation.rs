//! Confirms that a primary is the only one by querying the group's other servers,
//! for times when the store is unavailable.

use crate::clock::uptime;
use crate::group::Group;
use crate::metrics::millis;
use crate::permit;
use crate::protocol::Protocol;
use crate::server::Server;
use crate::upstreams::Upstreams;
use agateport_domain::group::roster::{Answer, is_only_primary};
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
    let sent_at = uptime();
    let Some((primary, listed)) = group.confirmable(sent_at) else {
        return;
    };
    let Some(servers) = servers(group, upstreams, listed) else {
        return;
    };
    let channels = upstreams.channels();
    let queries = servers.iter().map(|server| async move {
        let status = permit::status(server, channels).await?;
        let answer = Answer {
            is_primary: status.is_primary,
            term: status.term,
        };
        Some((server.entry().server.clone(), answer))
    });
    let answers: Option<BTreeMap<_, _>> = join_all(queries).await.into_iter().collect();
    let Some(mut answers) = answers else { return };
    let Some(leading) = answers.remove(&primary) else {
        return;
    };
    let others: Vec<_> = answers.into_values().collect();
    if !is_only_primary(leading, &others) {
        return;
    }
    if group.confirm(&primary, sent_at) {
        report_confirmed(group, &primary, &servers, sent_at);
    }
}

/// Returns the servers to query: those listed and those registered. Returns none if this
/// node does not know one of those listed, or the primary has no replica.
fn servers<W: Protocol>(
    group: &Group,
    upstreams: &Upstreams<W>,
    listed: BTreeSet<ServerId>,
) -> Option<Vec<Arc<Server<W>>>> {
    let registered = upstreams.servers(&group.name);
    let registered = registered
        .iter()
        .map(|server| server.entry().server.clone());
    let names: BTreeSet<_> = registered.chain(listed).collect();
    let servers: Option<Vec<_>> = names.iter().map(|name| upstreams.server(name)).collect();
    servers.filter(|servers| servers.len() > 1)
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
    let store_age = group
        .store_read_at()
        .map(|read_at| sent_at.saturating_sub(read_at));
    tracing::info!(
        event = "primary_confirmed",
        group = &*group.name,
        primary = &**primary,
        ?others,
        store_age_ms = store_age.map(millis),
        "the other servers confirmed the primary, as the store does not answer"
    );
}
