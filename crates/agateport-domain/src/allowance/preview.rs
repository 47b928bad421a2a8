//! What would happen to an operation, without taking it.

use super::{Account, Refusal, Views};
use crate::id::{NodeId, Uptime};
use crate::workspace::Limits;

/// What would happen to an operation now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Preview {
    /// The node has an operation, or would lend itself one.
    Allowed,
    /// The node would ask this allocator, whose answer decides.
    Asked(NodeId),
    /// It would be refused.
    Refused(Refusal),
}

impl Account {
    /// Returns what would happen to an operation at `now`. It is decided on a copy of the
    /// account, which stays as it is.
    #[must_use]
    pub fn preview(&self, views: &Views, limits: Limits, now: Uptime) -> Preview {
        let mut copy = self.clone();
        copy.update(views, limits, now);
        copy.record_demand(now);
        if copy.take(views, now) {
            return Preview::Allowed;
        }
        while let Some(request) = copy.request(1, now) {
            if request.allocator != *views.node() {
                return Preview::Asked(request.allocator);
            }
            let lent = copy.lend(request.count, views, now);
            copy.receive(&request, Some(lent), now, now);
            if copy.take(views, now) {
                return Preview::Allowed;
            }
        }
        Preview::Refused(copy.refuse(views, now))
    }
}
