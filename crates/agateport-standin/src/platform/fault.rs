//! Faults of the platform.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What is wrong with the platform at the moment.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Every request fails without effect.
    pub outage: bool,
    /// Time that every request takes longer.
    #[serde(with = "humantime_serde")]
    pub delay: Duration,
    /// Number of changes whose answers are yet to be lost after taking effect.
    pub lost_answers: u32,
}

impl Fault {
    /// Tells whether this change's answer is lost, and counts it.
    pub fn consume_lost_answer(&mut self) -> bool {
        let is_lost = self.lost_answers > 0;
        self.lost_answers = self.lost_answers.saturating_sub(1);
        is_lost
    }
}
