//! Built-in priorities, for deployments whose configuration only numbers them.

use agateport_domain::bundle::Priority;
use agateport_domain::prelude::*;

/// Weight of an answer by priority number, the most urgent first: half, then a quarter
/// of the previous one; the last two are equal. Higher numbers use the last weight.
const WORTH: [u32; 4] = [8, 4, 1, 1];

/// Percentage of the slots that each priority keeps while others overload the server.
const MINIMUM_SHARE: u32 = 12;

/// Target latency of a priority. The queue only uses it for requests without their
/// own target, and all requests have one.
const TARGET: Duration = Duration::from_secs(1);

/// Returns the name of the priority with this number, or of the last one for higher
/// numbers.
#[must_use]
pub fn name(number: u64) -> PriorityId {
    let last = u64::try_from(WORTH.len() - 1).unwrap_or_default();
    number.min(last).to_string().into()
}

/// Returns all priorities.
#[must_use]
pub fn all() -> Vec<Priority> {
    let priorities = (0u64..).zip(WORTH);
    let priorities = priorities.map(|(number, worth)| Priority {
        name: name(number),
        target: TARGET,
        worth,
        minimum_share: MINIMUM_SHARE,
    });
    priorities.collect()
}
