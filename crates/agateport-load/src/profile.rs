//! What callers do: priorities with their rates, mixes and floods.

use crate::error::Error;
use serde::Deserialize;
use std::path::Path;
use std::time::Duration;

/// Sessions of a priority when the profile doesn't say.
const DEFAULT_SESSIONS: usize = 32;

/// Target of a priority when the profile doesn't say.
const DEFAULT_TARGET: Duration = Duration::from_secs(1);

/// What all callers of a run do.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Time to run.
    #[serde(with = "humantime_serde")]
    pub time: Duration,
    /// Database groups that the sessions are spread over.
    pub groups: Vec<String>,
    /// Ranks of work.
    #[serde(rename = "priority")]
    pub priorities: Vec<Priority>,
}

/// The callers of one priority.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Priority {
    /// Name of the priority in the bundle; an empty one asks for none.
    pub name: String,
    /// Arrivals a second.
    pub rate: f64,
    /// Time within which an answer counts as goodput.
    #[serde(default = "default_target", with = "humantime_serde")]
    pub target: Duration,
    /// Sessions at most; a further arrival waits, and its latency counts on.
    #[serde(default = "default_sessions")]
    pub sessions: usize,
    /// Share of arrivals before which the session moves to another node.
    #[serde(default)]
    pub roam: f64,
    /// Share of the moves that hand the watermark over.
    #[serde(default = "default_handover")]
    pub handover: f64,
    /// Relative frequency of each kind of work.
    pub mix: Mix,
    /// A time with another rate.
    pub flood: Option<Flood>,
}

/// Relative frequency of each kind of work.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Mix {
    /// Reads of a table without a read rule.
    pub read: f64,
    /// Reads of a table with a maximum staleness.
    pub bounded_read: f64,
    /// Writes without a key.
    pub write: f64,
    /// Writes with a key, sent again when their outcome is unknown.
    pub keyed_write: f64,
    /// Transactions of two writes.
    pub transaction: f64,
}

/// A time with another rate.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Flood {
    /// When it starts, from the start of the run.
    #[serde(with = "humantime_serde")]
    pub from: Duration,
    /// When it ends, from the start of the run.
    #[serde(with = "humantime_serde")]
    pub until: Duration,
    /// Arrivals a second meanwhile.
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
    /// Reads a profile.
    ///
    /// # Errors
    ///
    /// [`Error`] if the file can't be read or isn't a profile.
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

    /// Returns the profile of callers that half read and half write.
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

    /// Multiplies all rates.
    pub fn scale(&mut self, factor: f64) {
        for priority in &mut self.priorities {
            priority.rate *= factor;
            if let Some(flood) = &mut priority.flood {
                flood.rate *= factor;
            }
        }
    }

    /// Checks that there is something to do.
    ///
    /// # Errors
    ///
    /// [`Error::Empty`] if there is no group, or a priority without work.
    pub fn check(&self) -> Result<(), Error> {
        if self.groups.is_empty() {
            return Err(Error::Empty("groups"));
        }
        if self.priorities.iter().any(|one| one.mix.total() <= 0.0) {
            return Err(Error::Empty("mix"));
        }
        if self.priorities.iter().any(|one| one.sessions == 0) {
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
    /// Returns the arrivals a second at `at` from the start of the run.
    #[must_use]
    pub fn rate_at(&self, at: Duration) -> f64 {
        match self.flood {
            Some(flood) if (flood.from..flood.until).contains(&at) => flood.rate,
            _ => self.rate,
        }
    }

    /// Returns how the priority is called in a report.
    #[must_use]
    pub fn label(&self) -> &str {
        if self.name.is_empty() {
            return "default";
        }
        &self.name
    }
}
