//! Throttles requests before they are sent to an overloaded owner, based on its recent
//! answers.

use agateport_domain::admission::Throttle;
use agateport_domain::prelude::*;
use agateport_domain::request::{Command, Reason, Refusal};

/// Throttles of one server by priority.
type ByPriority = BTreeMap<PriorityId, Throttle>;

/// One throttle for each server and priority.
#[derive(Debug, Default)]
pub struct Throttles {
    servers: Sharded<ServerId, ByPriority>,
}

impl Throttles {
    /// Decides whether to send a request to the owner.
    ///
    /// # Errors
    ///
    /// A refusal if the owner would most likely refuse the request.
    pub fn admit(&self, command: &Command) -> Result<(), Refusal> {
        self.with(command, |throttle| {
            throttle.admit(Instant::now(), &mut rand::rng())
        })
    }

    /// Records that the owner accepted a request.
    pub fn record_accepted(&self, command: &Command) {
        self.with(command, Throttle::record_accepted);
    }

    /// Records that the owner refused a request.
    pub fn record_refused(&self, command: &Command, refusal: &Refusal) {
        match refusal.reason {
            Reason::QueueFull | Reason::TargetMissed => {
                self.with(command, |throttle| throttle.record_refused(refusal));
            }
            // Other reasons do not indicate overload, so they count as accepted.
            _ => self.with(command, Throttle::record_accepted),
        }
    }

    fn with<R>(&self, command: &Command, action: impl FnOnce(&mut Throttle) -> R) -> R {
        self.servers.with(&command.server, |servers| {
            let throttles = servers.entry(command.server.clone()).or_default();
            let throttle = throttles
                .entry(command.priority.clone())
                .or_insert_with(|| Throttle::new(Instant::now()));
            action(throttle)
        })
    }
}
