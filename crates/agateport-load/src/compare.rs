//! Prints two reports side by side.

use crate::cli::Files;
use crate::error::Error;
use crate::report::{Report, Row};
use std::collections::BTreeSet;
use std::fmt::{self, Display, Formatter};
use std::path::Path;

/// Two reports, displayed as a table with one column each.
#[derive(Debug)]
pub struct Comparison {
    /// The report in the left column.
    pub left: Report,
    /// The report in the right column.
    pub right: Report,
}

/// Prints the reports in two files side by side.
///
/// # Errors
///
/// Returns [`Error`] if a file cannot be read or does not hold a report.
pub fn print(files: &Files) -> Result<(), Error> {
    let comparison = Comparison {
        left: load(&files.left)?,
        right: load(&files.right)?,
    };
    print!("{comparison}");
    Ok(())
}

fn load(path: &Path) -> Result<Report, Error> {
    let text = std::fs::read_to_string(path).map_err(|source| Error::File {
        path: path.to_owned(),
        source,
    })?;
    serde_json::from_str(&text).map_err(|source| Error::Json {
        path: path.to_owned(),
        source,
    })
}

impl Display for Comparison {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "{:<44} {:>12} {:>12}", "", "left", "right")?;
        let names: BTreeSet<_> = self
            .left
            .rows
            .keys()
            .chain(self.right.rows.keys())
            .collect();
        for name in names {
            let (left, right) = (self.left.rows.get(name), self.right.rows.get(name));
            for (metric, read) in METRICS {
                let cells = [left.map(read), right.map(read)].map(cell);
                let label = format!("{name}: {metric}");
                writeln!(formatter, "{label:<44} {:>12} {:>12}", cells[0], cells[1])?;
            }
        }
        self.write_downtimes(formatter)?;
        let shares = [&self.left, &self.right].map(|report| cell(report.replica_reads_percent));
        let label = "reads served by replicas, %";
        writeln!(formatter, "{label:<44} {:>12} {:>12}", shares[0], shares[1])?;
        let (left, right) = (self.left.broken.len(), self.right.broken.len());
        writeln!(formatter, "{:<44} {left:>12} {right:>12}", "violations")
    }
}

impl Comparison {
    fn write_downtimes(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let (left, right) = (&self.left.gaps_milliseconds, &self.right.gaps_milliseconds);
        let groups: BTreeSet<_> = left.keys().chain(right.keys()).collect();
        for group in groups {
            let cells = [left.get(group), right.get(group)]
                .map(|downtime| downtime.map_or_else(|| "-".to_owned(), ToString::to_string));
            let label = format!("longest write downtime, {group}, ms");
            writeln!(formatter, "{label:<44} {:>12} {:>12}", cells[0], cells[1])?;
        }
        Ok(())
    }
}

/// Returns one metric of a row.
type Getter = fn(&Row) -> f64;

/// Metrics that are compared, with their labels.
const METRICS: [(&str, Getter); 5] = [
    ("offered", |row| to_float(row.offered)),
    ("done", |row| to_float(row.done)),
    ("goodput, %", |row| row.goodput_percent),
    ("p50, ms", |row| to_float(row.p50_microseconds) / 1000.0),
    ("p99, ms", |row| to_float(row.p99_microseconds) / 1000.0),
];

fn cell(figure: Option<f64>) -> String {
    figure.map_or_else(|| "-".to_owned(), |figure| format!("{figure:.1}"))
}

#[expect(
    clippy::cast_precision_loss,
    reason = "metrics are printed with one decimal place"
)]
fn to_float(count: u64) -> f64 {
    count as f64
}
