//! Takes the duty of promotions over from a holder that lets a group wait.

use super::handover::{Handover, outcome};
use crate::clock::uptime;
use crate::dialect::Dialect;
use crate::group::Group;
use crate::record::{self, DUTY, Duty, Records};
use crate::source::{Change, Promoter, Store};
use agateport_domain::group::handover::Step;
use agateport_domain::prelude::*;

/// Time for which a group must need a record before a node without the duty
/// takes it over: longer than the holder takes to notice and write.
const PATIENCE: Duration = Duration::from_millis(800);

/// Time for which a group must need a later step before a node without the duty
/// takes it over: longer than a grant's term and the platform's promotion.
const LONG_PATIENCE: Duration = Duration::from_millis(3_500);

/// The same when nobody holds the duty, or its holder has left or is silent.
const VACANT_PATIENCE: Duration = Duration::from_millis(300);

/// Further time for each node that comes earlier in the order of succession.
const PATIENCE_STEP: Duration = Duration::from_millis(100);

impl<D: Dialect, S: Store, P: Promoter> Handover<D, S, P> {
    /// Takes the duty over when its holder lets a group wait for too long.
    pub(super) async fn succeed(&mut self, group: &Group, records: &Records, step: &Step) {
        let now = uptime();
        let holder = records.duty.as_ref().map(|(duty, _)| &duty.holder);
        if self.holder.as_ref() != holder {
            // A new holder has its own time to act.
            self.holder = holder.cloned();
            for course in self.courses.values_mut() {
                course.needed = None;
            }
        }
        let course = self.courses.entry(group.name.clone()).or_default();
        let needed = *course.needed.get_or_insert(now);
        let channels = self.upstreams.channels();
        let is_vacant = records
            .holder()
            .is_none_or(|holder| channels.is_backing_off(holder.address));
        let patience = match step {
            _ if is_vacant => VACANT_PATIENCE,
            Step::Adopt(_) | Step::Record(_) => PATIENCE,
            _ => LONG_PATIENCE,
        };
        let rank = u32::try_from(records.rank(&self.node)).unwrap_or(u32::MAX);
        if now < needed + patience + PATIENCE_STEP * rank {
            return;
        }
        course.needed = None;
        let version = records.duty.as_ref().map_or(0, |(_, version)| *version);
        let duty = Duty {
            holder: self.node.clone(),
        };
        let change = Change {
            expected: BTreeMap::from([(DUTY.to_owned(), version)]),
            set: BTreeMap::from([(DUTY.to_owned(), record::value(&duty))]),
            ..Change::default()
        };
        let taken = self.store.change(record::stamped(change)).await;
        tracing::info!(
            event = "duty_taken",
            group = &*group.name,
            former = holder.map(|holder| &**holder),
            outcome = outcome(&taken),
            "this node took the duty of promotions over, or tried to"
        );
        self.taken = Some(uptime());
        self.trigger.reread_store();
    }
}
