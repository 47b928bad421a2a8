//! Reads the project's rows at a steady pace.
//!
//! Each answer renews the proof that no group's primary has been replaced, so
//! the pace follows from the time for which that proof holds.

use crate::clock::uptime;
use crate::dialect::Dialect;
use crate::record::Records;
use crate::source::Store;
use crate::upstreams::Upstreams;
use agateport_domain::prelude::*;
use tokio::sync::{Notify, watch};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Time between two reads; three fit into a grant's term.
const INTERVAL: Duration = Duration::from_millis(400);

/// Time after which a failed read is tried again.
const RETRY: Duration = Duration::from_millis(150);

/// Longest pause between tries while the store fails.
const LONGEST_RETRY: Duration = Duration::from_millis(600);

/// What the store said, and when it was asked.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The rows.
    pub records: Arc<Records>,
    /// When the store was asked.
    pub asked: Uptime,
}

/// Reads the rows until the node ends.
pub async fn run<D: Dialect, S: Store>(
    store: Arc<S>,
    upstreams: Arc<Upstreams<D>>,
    news: watch::Sender<Option<Snapshot>>,
    hurry: Arc<Notify>,
    token: CancellationToken,
) {
    let mut pause = INTERVAL;
    let mut is_reached = true;
    while !token.is_cancelled() {
        let asked = uptime();
        match store.rows().await {
            Ok(rows) => {
                let records = Arc::new(Records::parse(&rows));
                let reigns = records.reigns.iter();
                let reigns = reigns.map(|(group, (reign, _))| (group.clone(), reign.clone()));
                upstreams.apply_reigns(&reigns.collect(), asked);
                upstreams.apply_nodes(records.members.len());
                news.send_replace(Some(Snapshot { records, asked }));
                if !is_reached {
                    tracing::info!(event = "store_regained", "the store answers again");
                }
                is_reached = true;
                pause = INTERVAL.saturating_sub(uptime().saturating_sub(asked));
            }
            Err(error) => {
                if is_reached {
                    tracing::warn!(event = "store_lost", %error, "the store can't be read");
                }
                pause = if is_reached {
                    RETRY
                } else {
                    (pause * 2).min(LONGEST_RETRY)
                };
                is_reached = false;
                // Until the store answers, the servers' own word is the proof.
                upstreams.want_proofs();
            }
        }
        tokio::select! {
            () = token.cancelled() => return,
            // An own change is read back at once.
            _ = timeout(pause, hurry.notified()) => {}
        }
    }
}
