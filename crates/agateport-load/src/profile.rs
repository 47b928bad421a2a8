//! Load profiles: priorities with their arrival rates, mixes and floods.

use crate::error::Error;
use serde::Deserialize;
use std::path::Path;
use std::time::Duration;

/// Number of sessions of a priority whose profile sets none.
const DEFAULT_SESSIONS: usize = 32;

/// Latency target of a priority whose profile sets none.
const DEFAULT_TARGET: Duration = Duration::from_secs(1);

/// Load profile of a run.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Duration of the run.
    #[serde(with = "humantime_serde")]
    pub time: Duration,
    /// Database groups that the sessions are spread over.
    pub groups: Vec<String>,
    /// Priorities and their load.
    #[serde(rename = "priority")]
    pub priorities: Vec<Priority>,
}

/// Load of one priority.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Priority {
    /// Name of the priority in the bundle. If it is empty, sessions set no
    /// priority.
    pub name: String,
    /// Arrivals per second.
    pub rate: f64,
    /// Latency up to which a completed arrival counts as goodput.
    #[serde(default = "default_target", with = "humantime_serde")]
    pub target: Duration,
    /// Number of sessions. An arrival that finds all of them busy waits, and the
    /// wait is part of its latency.
    #[serde(default = "default_sessions")]
    pub sessions: usize,
    /// Fraction of arrivals before which the session reconnects to another node.
    #[serde(default)]
    pub roam: f64,
    /// Fraction of these reconnections that pass the watermark on.
    #[serde(default = "default_handover")]
    pub handover: f64,
    /// Relative frequency of each kind of statement.
    pub mix: Mix,
    /// Interval with another arrival rate, if any.
    pub flood: Option<Flood>,
}

/// Relative frequency of each kind of statement.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Mix {
    /// Reads from a table without a read rule.
    pub read: f64,
    /// Reads from a table with a maximum staleness.
    pub bounded_read: f64,
    /// Writes without an idempotency key.
    pub write: f64,
    /// Writes with an idempotency key, retried while their outcome is unknown.
    pub keyed_write: f64,
    /// Transactions of two writes.
    pub transaction: f64,
}

/// Interval with another arrival rate.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Flood {
    /// Start of the interval, from the start of the run.
    #[serde(with = "humantime_serde")]
    pub from: Duration,
    /// End of the interval, from the start of the run.
    #[serde(with = "humantime_serde")]
    pub until: Duration,
    /// Arrivals per second during the interval.
    pub rate: f64,
}

fn default_target() -> Duration {
    DEFAULT_TARGET
}

fn default_sessions() -> usize {
    DEFAULT_SESSIONS
}

fn default_handover() -> f64 {
    1.0
}

impl Profile {
    /// Reads and checks a profile.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the file cannot be read, or if its profile is
    /// malformed or generates no load.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(|source| Error::File {
            path: path.to_owned(),
            source,
        })?;
        let profile: Self = toml::from_str(&text).map_err(|source| Error::Profile {
            path: path.to_owned(),
            source,
        })?;
        profile.check()?;
        Ok(profile)
    }

    /// Returns a profile of one priority with as many bounded reads as writes.
    #[must_use]
    pub fn simple(group: String, rate: f64, sessions: usize, time: Duration) -> Self {
        let mix = Mix {
            bounded_read: 1.0,
            write: 1.0,
            ..Mix::default()
        };
        let priority = Priority {
            name: String::new(),
            rate,
            target: DEFAULT_TARGET,
            sessions,
            roam: 0.0,
            handover: 1.0,
            mix,
            flood: None,
        };
        Self {
            time,
            groups: vec![group],
            priorities: vec![priority],
        }
    }

    /// Multiplies all arrival rates by `factor`.
    pub fn scale(&mut self, factor: f64) {
        for priority in &mut self.priorities {
            priority.rate *= factor;
            if let Some(flood) = &mut priority.flood {
                flood.rate *= factor;
            }
        }
    }

    /// Checks that the profile generates load.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Empty`] if there is no group, or if a priority has no
    /// sessions or an empty mix.
    pub fn check(&self) -> Result<(), Error> {
        if self.groups.is_empty() {
            return Err(Error::Empty("groups"));
        }
        if self
            .priorities
            .iter()
            .any(|priority| priority.mix.total() <= 0.0)
        {
            return Err(Error::Empty("mix"));
        }
        if self
            .priorities
            .iter()
            .any(|priority| priority.sessions == 0)
        {
            return Err(Error::Empty("sessions"));
        }
        Ok(())
    }
}

impl Mix {
    /// Returns the sum of all frequencies.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.read + self.bounded_read + self.write + self.keyed_write + self.transaction
    }
}

impl Priority {
    /// Returns the arrivals per second at `at` from the start of the run.
    #[must_use]
    pub fn rate_at(&self, at: Duration) -> f64 {
        match self.flood {
            Some(flood) if (flood.from..flood.until).contains(&at) => flood.rate,
            _ => self.rate,
        }
    }

    /// Returns the name of the priority in reports.
    #[must_use]
    pub fn label(&self) -> &str {
        if self.name.is_empty() {
            return "default";
        }
        &self.name
    }
}
