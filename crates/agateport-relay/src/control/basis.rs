//! The rows that a step of a handover is decided on.

use super::snapshot::Snapshot;
use crate::record::{self, COORDINATOR};
use crate::source::{Change, Revision, RowVersion};
use agateport_domain::group::handover::{Choice, Record};
use agateport_domain::group::{LEASE_DURATION, Leadership, Reign, Roster, Succession};
use agateport_domain::prelude::*;

/// The rows of one read of the store that a step for a group is decided on.
///
/// The change that carries the step out is conditional on the versions of these rows, so
/// it is never applied to rows that the decision did not see.
#[derive(Clone, Debug)]
pub struct Basis {
    /// Name of the group.
    pub group: GroupId,
    /// When the read was sent to the store, or a lower bound of it.
    pub sent_at: Uptime,
    /// Revision of the rows.
    pub revision: Revision,
    leadership: Option<(Leadership, RowVersion)>,
    /// When this node first read the recorded primary.
    first_seen: Uptime,
    coordinator: Option<(NodeId, RowVersion)>,
    fence: Option<Fence>,
    is_outdated: bool,
    is_released: bool,
    has_acceptances: bool,
}

impl Basis {
    /// Takes the rows that concern a group out of a snapshot.
    #[must_use]
    pub fn new(group: &GroupId, snapshot: &Snapshot) -> Self {
        let records = &snapshot.records;
        let leadership = records.leaderships.get(group).cloned();
        let is_outdated = match &leadership {
            Some((leadership, _)) => records.is_outdated(leadership),
            // The record may have been written after the copy that the store was restored
            // from.
            None => records.revision.era > 0,
        };
        let coordinator = records.coordinator.as_ref();
        Self {
            group: group.clone(),
            sent_at: snapshot.sent_at,
            revision: records.revision,
            leadership,
            first_seen: snapshot.first_seen(group),
            coordinator: coordinator.map(|(row, version)| (row.holder.clone(), *version)),
            fence: records.fence(),
            is_outdated,
            is_released: records.is_accepted(group),
            has_acceptances: records.has_acceptances(),
        }
    }

    /// Returns what the rows say about the group's primary.
    #[must_use]
    pub fn record(&self) -> Record<'_> {
        match &self.leadership {
            _ if self.is_outdated => Record::Outdated,
            None => Record::Absent,
            Some((leadership, _)) => Record::Current(leadership, self.first_seen),
        }
    }

    /// Returns whether later records of the group may be lost.
    #[must_use]
    pub fn is_outdated(&self) -> bool {
        self.is_outdated
    }

    /// Returns whether every node has accepted the record and stopped using the former
    /// primary.
    #[must_use]
    pub fn is_released(&self) -> bool {
        self.is_released
    }

    /// Returns whether acceptances of the record may release the former primary before its
    /// leases expire.
    #[must_use]
    pub fn awaits_acceptances(&self, now: Uptime) -> bool {
        let leadership = self.leadership.as_ref();
        let is_settled = leadership.is_none_or(|(leadership, _)| leadership.is_settled);
        let has_leases = now < self.first_seen + LEASE_DURATION;
        self.has_acceptances && !is_settled && !self.is_released && has_leases
    }

    /// Returns the recorded primary.
    #[must_use]
    pub fn primary(&self) -> Option<&ServerId> {
        let (leadership, _) = self.leadership.as_ref()?;
        Some(&leadership.primary)
    }

    /// Returns the recorded reign; none if there is no record.
    #[must_use]
    pub fn reign(&self) -> Option<Reign> {
        let (leadership, _) = self.leadership.as_ref()?;
        Some(leadership.reign())
    }

    /// Returns the servers that may be promoted; none if there is no record.
    #[must_use]
    pub fn roster(&self) -> Option<&Roster> {
        let (leadership, _) = self.leadership.as_ref()?;
        Some(&leadership.roster)
    }

    /// Returns whether the former primary's leases have expired or been released, so that
    /// no server but the recorded one may accept writes.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        let leadership = self.leadership.as_ref().filter(|_| !self.is_outdated);
        leadership.is_some_and(|(leadership, _)| leadership.is_settled)
    }

    /// Returns the base of the recorded primary, if it is known.
    #[must_use]
    pub fn base(&self) -> Option<Watermark> {
        let leadership = self.leadership.as_ref().filter(|_| !self.is_outdated);
        leadership.and_then(|(leadership, _)| leadership.base)
    }

    /// Returns the term in which the recorded primary leads, if it is known.
    #[must_use]
    pub fn term(&self) -> Option<Term> {
        let leadership = self.leadership.as_ref().filter(|_| !self.is_outdated);
        leadership.and_then(|(leadership, _)| leadership.term)
    }

    /// Returns the server whose demotion releases the recorded primary; none if it is not
    /// known.
    #[must_use]
    pub fn former(&self) -> Option<&ServerId> {
        let leadership = self.leadership.as_ref().filter(|_| !self.is_outdated);
        leadership.and_then(|(leadership, _)| leadership.former.as_ref())
    }

    /// Returns the node that may order promotions.
    #[must_use]
    pub fn coordinator(&self) -> Option<&NodeId> {
        let (coordinator, _) = self.coordinator.as_ref()?;
        Some(coordinator)
    }

    /// Returns the fencing token of the coordinator; none if there is no coordinator.
    #[must_use]
    pub fn fence(&self) -> Option<Fence> {
        self.fence
    }

    /// Returns the version of the group's leadership record; zero if there is none.
    #[must_use]
    pub fn version(&self) -> RowVersion {
        let leadership = self.leadership.as_ref();
        leadership.map_or(0, |(_, version)| *version)
    }

    /// Returns the record of a handover to the chosen server; none if there is no
    /// coordinator.
    #[must_use]
    pub fn hand_over(&self, choice: &Choice, roster: Roster) -> Option<Leadership> {
        Some(Leadership {
            primary: choice.server.clone(),
            fence: self.fence?,
            is_settled: false,
            roster,
            base: choice.last,
            term: None,
            former: choice.former.clone(),
            succession: self.next_succession(),
        })
    }

    /// Returns the record with other servers that may be promoted; none if there is no record.
    ///
    /// The fencing token stays: it shows a new coordinator whether an order of its predecessor
    /// may still be in progress.
    #[must_use]
    pub fn enroll(&self, roster: Roster) -> Option<Leadership> {
        let (leadership, _) = self.leadership.as_ref()?;
        Some(Leadership {
            roster,
            ..leadership.clone()
        })
    }

    /// Returns the record of the recorded server under its new name; none if there is no
    /// coordinator or no record.
    #[must_use]
    pub fn resume(&self, primary: ServerId, roster: Roster) -> Option<Leadership> {
        let (leadership, _) = self.leadership.as_ref()?;
        Some(Leadership {
            primary,
            fence: self.fence?,
            roster,
            succession: self.next_succession(),
            ..leadership.clone()
        })
    }

    /// Returns the record of a server that leads already; none if there is no coordinator.
    ///
    /// Its base is unknown unless this coordinator or another one has chosen the server, and
    /// its term unless it has been queried.
    #[must_use]
    pub fn settle(
        &self,
        primary: ServerId,
        term: Option<Term>,
        roster: Roster,
    ) -> Option<Leadership> {
        let recorded = self.leadership.as_ref().filter(|_| !self.is_outdated);
        let recorded = recorded.map(|(leadership, _)| leadership);
        let recorded = recorded.filter(|recorded| recorded.primary == primary);
        Some(Leadership {
            primary,
            fence: self.fence?,
            is_settled: true,
            roster,
            base: recorded.and_then(|recorded| recorded.base),
            term: term.or_else(|| recorded?.term),
            former: None,
            succession: recorded
                .map_or_else(|| self.next_succession(), |recorded| recorded.succession),
        })
    }

    fn next_succession(&self) -> Succession {
        let leadership = self.leadership.as_ref();
        leadership.map_or(0, |(leadership, _)| leadership.succession + 1)
    }

    /// Returns the change that replaces the leadership record, on the condition that it and
    /// the coordinator row are still those of this basis.
    #[must_use]
    pub fn replace(&self, leadership: &Leadership) -> Change {
        let key = record::leadership_key(&self.group);
        let coordinator = self.coordinator.as_ref();
        let coordinator = coordinator.map_or(0, |(_, version)| *version);
        let change = Change {
            expected: BTreeMap::from([
                (COORDINATOR.to_owned(), coordinator),
                (key.clone(), self.version()),
            ]),
            set: BTreeMap::from([(key, record::encode(leadership))]),
            ..Change::default()
        };
        record::with_change_marker(change)
    }
}
