//! Reads the project's rows at a steady pace.
//!
//! Each answer renews the proof that no group's primary has been replaced, so
//! the pace follows from the time for which that proof holds.

use crate::clock::uptime;
use crate::dialect::Dialect;
use crate::record::{self, Records};
use crate::source::{self, RowVersion, Store};
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
#[derive(Debug)]
pub struct Poll<D, S> {
    /// Name of this node.
    pub node: NodeId,
    /// The store that is read.
    pub store: Arc<S>,
    /// Where the records go.
    pub upstreams: Arc<Upstreams<D>>,
    /// Who else wants to know.
    pub news: watch::Sender<Option<Snapshot>>,
    /// Makes the store be read at once.
    pub hurry: Arc<Notify>,
}

impl<D: Dialect, S: Store> Poll<D, S> {
    /// Reads the rows until the node ends.
    pub async fn run(self, token: CancellationToken) {
        let mut pause = INTERVAL;
        let mut is_reached = true;
        let mut known = None;
        while !token.is_cancelled() {
            let asked = uptime();
            match self.read(&mut known).await {
                Ok(snapshot) => {
                    self.apply(snapshot);
                    if !is_reached {
                        tracing::info!(event = "store_regained", "the store answers again");
                    }
                    is_reached = true;
                    pause = INTERVAL.saturating_sub(uptime().saturating_sub(asked));
                }
                Err(error) => {
                    if is_reached {
                        tracing::warn!(event = "store_lost", %error, "the store can't be read");
                        pause = RETRY;
                    } else {
                        pause = (pause * 2).min(LONGEST_RETRY);
                    }
                    is_reached = false;
                    // Until the store answers, the servers' own word is the proof.
                    self.upstreams.want_proofs();
                }
            }
            tokio::select! {
                () = token.cancelled() => return,
                // An own change is read back at once.
                _ = timeout(pause, self.hurry.notified()) => {}
            }
        }
    }

    /// Reads whether there is news, and the rows if there is.
    async fn read(
        &self,
        known: &mut Option<(RowVersion, Arc<Records>)>,
    ) -> Result<Snapshot, source::Error> {
        let asked = uptime();
        let row = self.store.row(record::CHANGES).await?;
        let version = row.map_or(0, |row| row.version);
        if let Some((former, records)) = known.as_ref().filter(|(former, _)| *former == version) {
            tracing::trace!(version = former, "no news");
            let records = records.clone();
            return Ok(Snapshot { records, asked });
        }
        let asked = uptime();
        let rows = self.store.rows().await?;
        let version = rows.get(record::CHANGES).map_or(0, |row| row.version);
        let records = Arc::new(Records::parse(&rows));
        *known = Some((version, records.clone()));
        Ok(Snapshot { records, asked })
    }

    fn apply(&self, snapshot: Snapshot) {
        let records = &snapshot.records;
        let reigns = records.reigns.iter();
        let reigns = reigns.map(|(group, (reign, _))| (group.clone(), reign.clone()));
        // Who isn't known to the others isn't waited for, so it has no proof.
        let is_known = records.members.contains_key(&self.node);
        let proven = is_known.then_some(snapshot.asked);
        self.upstreams.apply_reigns(&reigns.collect(), proven);
        self.upstreams.apply_nodes(records.members.len());
        self.news.send_replace(Some(snapshot));
    }
}
