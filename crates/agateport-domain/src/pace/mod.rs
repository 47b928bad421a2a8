//! How slow a server is, relative to the other servers of its group.
//!
//! A [`Measure`] at each node that connects to a server averages what the server's
//! responses show: the time that statements take, by priority, and how many fail. A
//! [`Report`] is its state at one moment, and can be sent to other nodes. [`compare`]
//! returns how the servers of a group stand, by their reports.
//!
//! Servers are only compared with each other, so nothing changes if all of them slow
//! down, or if statements fail at all of them.

mod announced;
mod compare;
mod measure;
mod report;
mod standing;

pub use announced::Announced;
pub use compare::compare;
pub use measure::{Measure, Response};
pub use report::{Latest, Report, Time};
pub use standing::{Factor, Standing};

use std::time::Duration;

/// Responses before which a server, or a priority at it, is not compared.
///
/// With fewer, one long statement would make a server look slow.
const MIN_RESPONSES: u32 = 8;

/// Normal responses that are added to the measured ones, so that a few long statements or
/// failures have little effect. In a simulation, servers of the same speed differed by more
/// than a factor of two after eight responses each.
const PRIOR_WEIGHT: f64 = 8.0;

/// Time after the last response during which a server's factor stays as it is.
const DRIFT_DELAY: Duration = Duration::from_secs(1);

/// Time in which a server without responses loses half of its distance from normal.
///
/// A server that is avoided has few responses. Unless it drifted back, it would never be
/// tried again, even after it has recovered.
const DRIFT_HALF_LIFE: Duration = Duration::from_secs(1);

/// Age of the last response after which a report is not used.
const MAX_AGE: Duration = Duration::from_secs(10);
