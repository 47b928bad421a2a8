//! Keeps the watermarks of primaries recent that no statement has reported.

use crate::clock::uptime;
use crate::permit;
use crate::protocol::Protocol;
use crate::upstreams::Upstreams;
use agateport_domain::prelude::*;
use futures::future::join_all;

/// Time from a read of the store until the watermarks of the primaries are refreshed:
/// shortly before the next read, with which the other nodes receive them.
const WATERMARK_DELAY: Duration = Duration::from_millis(220);

/// Age of a primary's watermark after which it is queried again. Reads at replicas
/// need a watermark younger than the staleness that their route allows, also during
/// a handover.
const WATERMARK_REFRESH_AGE: Duration = Duration::from_millis(250);

/// Queries the primaries whose watermarks no statement has reported recently. The
/// other nodes receive them with their updates.
pub(super) async fn refresh_watermarks<W: Protocol>(upstreams: Arc<Upstreams<W>>) {
    tokio::time::sleep(WATERMARK_DELAY).await;
    let now = uptime();
    let groups = upstreams.groups().into_iter();
    let groups = groups.map(|group| upstreams.group(&group));
    let stale = groups.filter(|group| {
        let latest = group.latest_progress();
        latest.is_none_or(|(_, sent_at, _)| sent_at + WATERMARK_REFRESH_AGE < now)
    });
    let channels = upstreams.channels();
    let queries = stale.map(|group| {
        let leader = group.leader();
        let server = leader.and_then(|leader| upstreams.server(&leader.server));
        async move {
            let Some(server) = server.filter(|server| !server.is_unreachable()) else {
                return;
            };
            let sent_at = uptime();
            let status = permit::status(&server, channels).await;
            if let Some(status) = status.filter(|status| status.is_primary) {
                group.record_progress(&server.entry().server, sent_at, status.last);
            }
        }
    });
    join_all(queries).await;
}
