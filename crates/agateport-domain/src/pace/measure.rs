//! Averages of a server's responses at one node.

use super::report::{Report, Time};
use super::{MIN_RESPONSES, PRIOR_WEIGHT};
use crate::id::PriorityId;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time constant of the averages.
const SMOOTHING: Duration = Duration::from_secs(1);

/// Weight that older responses keep when responses are rare, in responses.
const RARE_WEIGHT: f64 = 7.0;

/// Time without a response after which older ones keep only [`FORMER_WEIGHT`].
const REVISIT_AGE: Duration = Duration::from_secs(2);

/// Weight of the older responses after a pause, in responses. A server that is tried
/// again and has recovered counts as normal after a few responses; one that is still
/// slow is avoided after the first.
const FORMER_WEIGHT: f64 = 2.0;

/// What a response shows about a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Response {
    /// The server ran a statement of a kind that all servers of the group run, in this
    /// time.
    Served(Duration),
    /// The server ran a statement whose time is not comparable.
    Done,
    /// The server failed the statement, or did not answer in time.
    Failed,
}

/// An average over about a second, or over the last eight values if they are rare.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    sum: f64,
    weight: f64,
    /// Number of values.
    values: u32,
    recorded_at: Option<Instant>,
}

impl Average {
    fn record(&mut self, value: f64, now: Instant) {
        let kept = self.kept_weight(now);
        self.sum = self.mean() * kept + value;
        self.weight = kept + 1.0;
        self.values = self.values.saturating_add(1);
        self.recorded_at = Some(now);
    }

    fn mean(&self) -> f64 {
        if self.weight > 0.0 {
            self.sum / self.weight
        } else {
            0.0
        }
    }

    /// Returns the weight of the older values next to a value at `now`.
    fn kept_weight(&self, now: Instant) -> f64 {
        let Some(recorded_at) = self.recorded_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(recorded_at);
        let least = if age < REVISIT_AGE {
            RARE_WEIGHT
        } else {
            FORMER_WEIGHT
        };
        let decayed = self.weight * (-age.div_duration_f64(SMOOTHING)).exp();
        decayed.max(least).min(self.weight)
    }

    fn is_conclusive(&self) -> bool {
        self.values >= MIN_RESPONSES
    }
}

/// Averages of a server's responses at one node.
#[derive(Clone, Debug, Default)]
pub struct Measure {
    /// Seconds of a statement, by priority.
    times: BTreeMap<PriorityId, Average>,
    /// Failures per response.
    failures: Average,
}

impl Measure {
    /// Adds a response to a statement of `priority`.
    pub fn record(&mut self, priority: &PriorityId, response: Response, now: Instant) {
        let failure = f64::from(u8::from(response == Response::Failed));
        self.failures.record(failure, now);
        if let Response::Served(time) = response {
            let average = self.times.entry(priority.clone()).or_default();
            average.record(time.as_secs_f64(), now);
        }
    }

    /// Returns the state at `now` of a server that allows `limit` of its `slots`.
    #[must_use]
    pub fn report(&self, slots: usize, limit: usize, now: Instant) -> Report {
        let times = self.times.iter();
        let times = times.filter(|(_, average)| average.is_conclusive());
        let times = times.map(|(priority, average)| Time {
            priority: priority.clone(),
            mean: Duration::try_from_secs_f64(average.mean()).unwrap_or_default(),
            weight: thousandths(average.kept_weight(now)).max(1),
        });
        let failures = self.failures;
        let recorded_at = failures.recorded_at;
        Report {
            age: recorded_at.map_or(Duration::MAX, |at| now.saturating_duration_since(at)),
            times: times.collect(),
            failures: failures
                .is_conclusive()
                .then(|| thousandths(failures.sum / (failures.weight + PRIOR_WEIGHT))),
            slots: u32::try_from(slots).unwrap_or(u32::MAX),
            limit: u32::try_from(limit).unwrap_or(u32::MAX),
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates"
)]
fn thousandths(value: f64) -> u32 {
    (value * 1_000.0).round() as u32
}
