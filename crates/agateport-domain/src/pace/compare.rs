//! Compares the servers of a group.

use super::report::{Report, Time};
use super::standing::{Factor, Standing};
use super::{DRIFT_DELAY, DRIFT_HALF_LIFE, PRIOR_WEIGHT};
use crate::id::PriorityId;
use std::time::Duration;

/// Statements that one failed statement counts as.
///
/// A caller gains nothing from an answer that is soon but failed. With this weight, a
/// server that fails a twentieth more of its statements than the others just leaves the
/// normal range, and one that fails 40 percent counts as five times as slow.
const FAILURE_COST: f64 = 10.0;

/// Time that is added to each mean: a round trip between zones. Without it, servers in
/// other zones would count as slow for statements that take a millisecond.
const ROUND_TRIP: Duration = Duration::from_millis(3);

/// Weight from which a mean time is compared with, in thousandths of a response. A server
/// that has few responses says little about what is normal.
const REFERENCE_WEIGHT: u32 = 4_000;

/// Returns how the servers of a group stand, in the order of their reports; a server that
/// nothing is known of stands as a normal one.
#[must_use]
pub fn compare(reports: &[Option<Report>]) -> Vec<Standing> {
    let usable = |report: &&Report| report.is_conclusive() && !report.is_outdated();
    let standings = reports.iter().enumerate().map(|(index, report)| {
        let Some(report) = report.as_ref().filter(usable) else {
            return Standing::NORMAL;
        };
        let others = reports.iter().enumerate();
        let others = others.filter(|(other, _)| *other != index);
        let others = others.filter_map(|(_, report)| report.as_ref().filter(usable));
        let others: Vec<_> = others.collect();
        let ratio = time_ratio(report, &others) * failure_ratio(report, &others);
        Standing {
            pace: Factor::from_ratio(drifted(ratio, report)),
            limits: limits(report),
        }
    });
    standings.collect()
}

/// Returns the slots and the limit of a server whose limit fell; none if it did not, or
/// once the last response is too old for it.
fn limits(report: &Report) -> Option<(u32, u32)> {
    let is_lowered = report.limit < report.slots && report.limit > 0;
    let is_recent = report.age < DRIFT_DELAY + DRIFT_HALF_LIFE;
    (is_lowered && is_recent).then_some((report.slots, report.limit))
}

/// Returns how much longer the server's statements take than the same mix of priorities
/// at the others. Priorities that no other server has run are left out.
fn time_ratio(report: &Report, others: &[&Report]) -> f64 {
    let (mut taken, mut normal) = (0.0, 0.0);
    for time in &report.times {
        let times = others
            .iter()
            .filter_map(|other| mean(other, &time.priority));
        if let Some(median) = lower_median(times) {
            let weight = f64::from(time.weight) / 1_000.0;
            taken += weight * seconds(time) + PRIOR_WEIGHT * median;
            normal += (weight + PRIOR_WEIGHT) * median;
        }
    }
    if normal > 0.0 {
        (taken / normal).max(1.0)
    } else {
        1.0
    }
}

fn mean(report: &Report, priority: &PriorityId) -> Option<f64> {
    let mut times = report.times.iter();
    let time = times.find(|time| time.priority == *priority)?;
    if time.weight < REFERENCE_WEIGHT {
        return None;
    }
    Some(seconds(time))
}

fn seconds(time: &Time) -> f64 {
    time.mean.saturating_add(ROUND_TRIP).as_secs_f64()
}

/// Returns how much longer a successful statement takes because others fail.
fn failure_ratio(report: &Report, others: &[&Report]) -> f64 {
    let share = |report: &Report| {
        report
            .failures
            .map(|failures| f64::from(failures) / 1_000.0)
    };
    let normal = lower_median(others.iter().filter_map(|other| share(other)));
    let (Some(failures), Some(normal)) = (share(report), normal) else {
        return 1.0;
    };
    1.0 + FAILURE_COST * (failures - normal).clamp(0.0, 1.0)
}

/// Returns the median; of an even number of values, the lower one of the middle two, so
/// that a second slow server does not make the first one look normal.
fn lower_median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<_> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied()
}

/// Returns the ratio after the time without a response.
fn drifted(ratio: f64, report: &Report) -> f64 {
    let drifting = report.age.saturating_sub(DRIFT_DELAY);
    let halvings = drifting.div_duration_f64(DRIFT_HALF_LIFE);
    1.0 + (ratio - 1.0) * (-halvings).exp2()
}
