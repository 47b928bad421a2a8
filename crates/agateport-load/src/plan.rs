//! Seeded plan of the arrivals of one priority.

use crate::profile::{Mix, Priority};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Arrivals per second below which a rate counts as zero.
const MIN_RATE: f64 = 1e-6;

/// Time step by which the plan advances while the rate is zero.
const IDLE_STEP: Duration = Duration::from_millis(50);

/// Kind of statement or transaction.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Read from a table without a read rule.
    Read,
    /// Read from a table with a maximum staleness.
    BoundedRead,
    /// Write without an idempotency key.
    Write,
    /// Write with an idempotency key.
    KeyedWrite,
    /// Transaction of two writes.
    Transaction,
}

impl Kind {
    /// Returns the name that is used in reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::BoundedRead => "bounded read",
            Self::Write => "write",
            Self::KeyedWrite => "keyed write",
            Self::Transaction => "transaction",
        }
    }

    /// Returns whether the kind changes data.
    #[must_use]
    pub fn is_write(self) -> bool {
        !matches!(self, Self::Read | Self::BoundedRead)
    }
}

/// Reconnection of a session to another node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Migration {
    /// The session passes its watermark to the new connection.
    WithWatermark,
    /// The new connection starts without a watermark.
    WithoutWatermark,
}

/// One planned statement or transaction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Time at which it is due, from the start of the run.
    pub due: Duration,
    /// Kind of statement or transaction.
    pub kind: Kind,
    /// Reconnection to another node before the statement, if any.
    pub migration: Option<Migration>,
    /// Random number that selects the item to read.
    pub choice: u64,
}

/// Iterator over the arrivals of one priority, in the order of their due times.
#[derive(Clone, Debug)]
pub struct Plan {
    priority: Priority,
    random: Pcg64Mcg,
    at: Duration,
    end: Duration,
}

impl Plan {
    /// Creates the plan up to `end`; the same seed gives the same plan.
    #[must_use]
    pub fn new(priority: Priority, seed: u64, end: Duration) -> Self {
        Self {
            priority,
            random: Pcg64Mcg::seed_from_u64(seed),
            at: Duration::ZERO,
            end,
        }
    }

    fn draw_migration(&mut self) -> Option<Migration> {
        if !self.random.random_bool(self.priority.roam.clamp(0.0, 1.0)) {
            return None;
        }
        let has_watermark = self
            .random
            .random_bool(self.priority.handover.clamp(0.0, 1.0));
        Some(if has_watermark {
            Migration::WithWatermark
        } else {
            Migration::WithoutWatermark
        })
    }
}

impl Iterator for Plan {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        loop {
            if self.at >= self.end {
                return None;
            }
            let rate = self.priority.rate_at(self.at);
            if rate >= MIN_RATE {
                // The intervals of a Poisson process are distributed
                // exponentially.
                let uniform: f64 = self.random.random();
                let interval = -(1.0 - uniform).ln() / rate;
                self.at += Duration::from_secs_f64(interval);
                break;
            }
            self.at += IDLE_STEP;
        }
        if self.at >= self.end {
            return None;
        }
        let point = self.random.random::<f64>() * self.priority.mix.total();
        Some(Arrival {
            due: self.at,
            kind: choose(&self.priority.mix, point),
            migration: self.draw_migration(),
            choice: self.random.random(),
        })
    }
}

fn choose(mix: &Mix, mut point: f64) -> Kind {
    let weights = [
        (mix.read, Kind::Read),
        (mix.bounded_read, Kind::BoundedRead),
        (mix.write, Kind::Write),
        (mix.keyed_write, Kind::KeyedWrite),
        (mix.transaction, Kind::Transaction),
    ];
    for (weight, kind) in weights {
        if point < weight {
            return kind;
        }
        point -= weight;
    }
    // Reached only when a rounding error leaves `point` at the total.
    let mut possible = weights.into_iter().filter(|(weight, _)| *weight > 0.0);
    possible.next_back().map_or(Kind::Read, |(_, kind)| kind)
}
