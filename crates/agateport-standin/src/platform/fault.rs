//! Injected faults of the platform.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The faults that are injected into requests to the platform.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Whether every request fails without effect.
    pub outage: bool,
    /// Time by which every request is delayed.
    #[serde(with = "humantime_serde")]
    pub delay: Duration,
    /// Number of further changes that are applied but whose responses are lost.
    pub lost_answers: u32,
}

impl Fault {
    /// Returns whether the response to a change is lost, and decrements
    /// `lost_answers`.
    pub fn consume_lost_answer(&mut self) -> bool {
        let is_lost = self.lost_answers > 0;
        self.lost_answers = self.lost_answers.saturating_sub(1);
        is_lost
    }
}
