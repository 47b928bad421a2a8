//! Report of a run.

use crate::endpoints::Reads;
use crate::outcome::Outcome;
use crate::statistics::Statistics;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::time::Duration;

/// Maximum number of violations that the table lists.
const MAX_LISTED: usize = 20;

/// Metrics of one class of arrivals.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// Arrivals, whatever their outcome.
    pub offered: u64,
    /// Arrivals that ran.
    pub done: u64,
    /// Arrivals that were refused and did not run.
    pub not_run: u64,
    /// Arrivals that may have run.
    pub unknown: u64,
    /// Arrivals whose connection was lost or timed out.
    pub broken: u64,
    /// Arrivals for which the upstream returned an error.
    pub failed: u64,
    /// Arrivals that were never sent because no node accepted a connection.
    pub unreachable: u64,
    /// Percentage of the arrivals that ran within the latency target.
    pub goodput_percent: f64,
    /// Median latency of the arrivals that ran, in microseconds.
    pub p50_microseconds: u64,
    /// 95th percentile of that latency in microseconds.
    pub p95_microseconds: u64,
    /// 99th percentile of that latency in microseconds.
    pub p99_microseconds: u64,
    /// Maximum of that latency in microseconds.
    pub longest_microseconds: u64,
}

impl From<&Statistics> for Row {
    fn from(statistics: &Statistics) -> Self {
        let microseconds = |percentile| {
            let latency = statistics.percentile(percentile).as_micros();
            u64::try_from(latency).unwrap_or(u64::MAX)
        };
        Self {
            offered: statistics.completed(),
            done: statistics.count(Outcome::Done),
            not_run: statistics.count(Outcome::NotRun),
            unknown: statistics.count(Outcome::Unknown),
            broken: statistics.count(Outcome::Broken),
            failed: statistics.count(Outcome::Failed),
            unreachable: statistics.count(Outcome::Unreachable),
            goodput_percent: percent(statistics.within_target(), statistics.completed()),
            p50_microseconds: microseconds(50.0),
            p95_microseconds: microseconds(95.0),
            p99_microseconds: microseconds(99.0),
            longest_microseconds: microseconds(100.0),
        }
    }
}

/// Report of a run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Seed of all random choices.
    pub seed: u64,
    /// Duration of the plan of arrivals in seconds.
    pub seconds: f64,
    /// Metrics by class: priority, priority and phase, or priority and kind.
    pub rows: BTreeMap<String, Row>,
    /// Number of refusals and failures by message.
    pub reasons: BTreeMap<String, u64>,
    /// Longest time without an acknowledged write, in milliseconds by group.
    pub gaps_milliseconds: BTreeMap<String, u64>,
    /// Percentage of the reads of tables with a read rule that replicas served; `None`
    /// if the nodes' counters are not available or count no such reads.
    pub replica_reads_percent: Option<f64>,
    /// Violations of consistency guarantees.
    pub broken: Vec<String>,
}

impl Report {
    /// Adds the metrics of a class.
    pub fn add(&mut self, name: String, statistics: &Statistics) {
        self.rows.insert(name, statistics.into());
    }

    /// Adds a group's longest time without an acknowledged write.
    pub fn add_downtime(&mut self, group: String, downtime: Duration) {
        let milliseconds = u64::try_from(downtime.as_millis()).unwrap_or(u64::MAX);
        self.gaps_milliseconds.insert(group, milliseconds);
    }

    /// Sets the share of replica reads from the nodes' counters.
    pub fn set_reads(&mut self, reads: Reads) {
        let all = reads.replica + reads.primary;
        self.replica_reads_percent = (all > 0).then(|| percent(reads.replica, all));
    }

    /// Prints the report on standard output.
    pub fn print(&self, json: bool) {
        if json {
            println!("{}", serde_json::to_string(self).unwrap_or_default());
        } else {
            print!("{self}");
        }
    }

    fn write_rows(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{:<28} {:>8} {:>8} {:>7} {:>7} {:>7} {:>7} {:>8} {:>9} {:>9} {:>9}",
            "",
            "offered",
            "done",
            "not run",
            "unknown",
            "broken",
            "failed",
            "goodput",
            "p50 ms",
            "p99 ms",
            "max ms",
        )?;
        for (name, row) in &self.rows {
            writeln!(
                formatter,
                "{name:<28} {:>8} {:>8} {:>7} {:>7} {:>7} {:>7} {:>7.1}% {:>9.1} {:>9.1} {:>9.1}",
                row.offered,
                row.done,
                row.not_run,
                row.unknown,
                row.broken + row.unreachable,
                row.failed,
                row.goodput_percent,
                milliseconds(row.p50_microseconds),
                milliseconds(row.p99_microseconds),
                milliseconds(row.longest_microseconds),
            )?;
        }
        Ok(())
    }
}

impl Display for Report {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "seed {}, {} s", self.seed, self.seconds)?;
        self.write_rows(formatter)?;
        for (reason, count) in &self.reasons {
            writeln!(formatter, "{count:>9} times: {reason}")?;
        }
        for (group, downtime) in &self.gaps_milliseconds {
            writeln!(formatter, "longest write downtime, {group}: {downtime} ms")?;
        }
        if let Some(share) = self.replica_reads_percent {
            writeln!(formatter, "reads served by replicas: {share:.1}%")?;
        }
        writeln!(formatter, "violations: {}", self.broken.len())?;
        for violation in self.broken.iter().take(MAX_LISTED) {
            writeln!(formatter, "  {violation}")?;
        }
        Ok(())
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts are far below 2^53, so that they convert exactly"
)]
fn percent(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    100.0 * part as f64 / whole as f64
}

#[expect(
    clippy::cast_precision_loss,
    reason = "latencies are printed with one decimal place"
)]
fn milliseconds(microseconds: u64) -> f64 {
    microseconds as f64 / 1000.0
}
