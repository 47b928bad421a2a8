//! The stages in which a node ends, for everything that it serves.

use agateport_domain::drain::{Schedule, Step};
use agateport_domain::prelude::*;
use std::sync::OnceLock;
use tokio_util::sync::CancellationToken;

/// The stages in which a node ends.
#[derive(Clone, Debug, Default)]
pub struct Drain {
    /// Cancelled when a stop of the node is requested.
    pub stop: CancellationToken,
    /// Cancelled when nothing more is accepted or awaited; what is left is answered by the
    /// node itself.
    pub cut: CancellationToken,
    schedule: Arc<OnceLock<Schedule>>,
}

impl Drain {
    /// Creates the stages of a node that ends after `stop` is cancelled.
    #[must_use]
    pub fn new(stop: CancellationToken) -> Self {
        Self {
            stop,
            ..Self::default()
        }
    }

    /// Starts the schedule of the stop, and returns it.
    #[must_use]
    pub fn begin(&self, grace: Duration) -> Schedule {
        *self
            .schedule
            .get_or_init(|| Schedule::new(Instant::now(), grace))
    }

    /// Returns whether a step that ends within `timeout` may be passed on to a server.
    #[must_use]
    pub fn allows(&self, step: Step, timeout: Duration) -> bool {
        if self.cut.is_cancelled() {
            return false;
        }
        let schedule = self.schedule.get();
        schedule.is_none_or(|schedule| schedule.allows(step, Instant::now(), timeout))
    }
}
