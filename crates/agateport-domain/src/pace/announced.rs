//! When a change of a server's pace or limit is worth a log line.

use super::standing::Factor;

/// Ratio of two factors that makes them differ by a step: that at which a server leaves the
/// normal range.
const FACTOR_STEP: f64 = 1.5;

/// Share of the slots by which two limits differ by a step.
const LIMIT_STEP: f64 = 0.25;

/// Pace and limit of a server that were announced last.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Announced {
    factor: Factor,
    limit: u32,
}

impl Announced {
    /// Creates the state of a normal server with these slots.
    #[must_use]
    pub fn normal(slots: u32) -> Self {
        Self {
            factor: Factor::NORMAL,
            limit: slots,
        }
    }

    /// Returns whether a factor or a limit differs from the announced one by a step, and
    /// then replaces both.
    pub fn update(&mut self, factor: Factor, slots: u32, limit: u32) -> bool {
        let [low, high] = [factor.min(self.factor), factor.max(self.factor)];
        let is_other_factor = f64::from(high.percent()) >= f64::from(low.percent()) * FACTOR_STEP;
        let step = (f64::from(slots) * LIMIT_STEP).max(1.0);
        let is_other_limit = f64::from(limit.abs_diff(self.limit)) >= step;
        let is_changed = is_other_factor || is_other_limit;
        if is_changed {
            *self = Self { factor, limit };
        }
        is_changed
    }
}
