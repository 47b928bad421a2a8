//! The ranks of work, for deployments whose configuration only numbers them.

use agateport_domain::bundle::Priority;
use agateport_domain::prelude::*;

/// Worth of an answer by rank, the most urgent first: each rank is about half
/// to a quarter of the one before. Ranks past the last are worth the same.
const WORTH: [u32; 4] = [8, 4, 1, 1];

/// Share of the slots that each rank keeps in a flood of others, in percent.
const MINIMUM_SHARE: u32 = 12;

/// Target that the queue goes by when a request brings none; every one does.
const TARGET: Duration = Duration::from_secs(1);

/// Returns the name of the rank with this number.
#[must_use]
pub fn name(number: u64) -> PriorityId {
    let last = u64::try_from(WORTH.len() - 1).unwrap_or_default();
    number.min(last).to_string().into()
}

/// Returns all ranks.
#[must_use]
pub fn all() -> Vec<Priority> {
    let ranks = (0u64..).zip(WORTH);
    let ranks = ranks.map(|(number, worth)| Priority {
        name: name(number),
        target: TARGET,
        worth,
        minimum_share: MINIMUM_SHARE,
    });
    ranks.collect()
}
