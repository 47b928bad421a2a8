//! What a node knows of the store's rows.

use crate::clock::uptime;
use crate::metrics::millis;
use crate::record::Records;
use agateport_domain::group::Leadership;
use agateport_domain::prelude::*;

/// The rows of the store at one read.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The rows.
    pub records: Arc<Records>,
    /// When the read was sent to the store, or a lower bound of it.
    pub sent_at: Uptime,
    /// When this node first read the reign of each group's leadership record.
    first_seen: Arc<BTreeMap<GroupId, Uptime>>,
}

impl Snapshot {
    /// Creates the snapshot that follows `former`, of rows whose read was sent at
    /// `sent_at` and has been answered by now.
    #[must_use]
    pub fn new(records: Arc<Records>, sent_at: Uptime, former: Option<&Self>) -> Self {
        let first_seen = match former {
            Some(former) if Arc::ptr_eq(&former.records, &records) => former.first_seen.clone(),
            _ => Arc::new(first_seen(&records, former)),
        };
        Self {
            records,
            sent_at,
            first_seen,
        }
    }

    /// Returns when this node first read the recorded reign of `group`.
    #[must_use]
    pub fn first_seen(&self, group: &GroupId) -> Uptime {
        self.first_seen.get(group).copied().unwrap_or_default()
    }

    /// Returns the time since the read was sent.
    #[must_use]
    pub fn age(&self) -> Duration {
        uptime().saturating_sub(self.sent_at)
    }

    /// Logs what a node that has just started takes over from the store.
    pub(super) fn report_adopted(&self) {
        let records = &self.records;
        let coordinator = records.coordinator.as_ref().map(|(row, _)| &*row.holder);
        let leaderships: BTreeMap<_, _> = records
            .leaderships
            .iter()
            .map(|(group, (leadership, version))| {
                let state = if leadership.is_settled {
                    "settled"
                } else {
                    "unsettled"
                };
                let text = format!("{} {state} version {version}", leadership.primary);
                (group, text)
            })
            .collect();
        tracing::info!(
            event = "records_adopted",
            version = records.revision.version,
            era = records.revision.era,
            age_ms = millis(self.age()),
            coordinator,
            members = records.members.len(),
            ?leaderships,
            "the node has started with these rows of the store"
        );
    }
}

/// Returns when this node first read the reign of each leadership record, if rows that
/// follow `former` have just been read.
fn first_seen(records: &Records, former: Option<&Snapshot>) -> BTreeMap<GroupId, Uptime> {
    let now = uptime();
    let known = |group: &GroupId, leadership: &Leadership| {
        let former = former?;
        let (known, _) = former.records.leaderships.get(group)?;
        (known.reign() == leadership.reign()).then(|| former.first_seen(group))
    };
    let leaderships = records.leaderships.iter();
    leaderships
        .map(|(group, (leadership, _))| {
            let first_seen = known(group, leadership).unwrap_or(now);
            (group.clone(), first_seen)
        })
        .collect()
}
