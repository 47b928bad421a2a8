//! Refuses on arrival what is not expected to start in time.

use super::super::class::Class;
use super::super::{MIN_RETRY_DELAY, Ticket};
use super::{Queue, service_time, to_f64};
use crate::id::PriorityId;
use crate::request::{Reason, Refusal};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Share of the time until the answer is due that a request may wait for a slot. A caller that
/// is refused can then still be served elsewhere within its target.
const WAIT_SHARE: f64 = 0.2;

/// Share of the expected time after which a running request is expected to end. Times vary, and
/// with the whole time short requests are refused that a slot would have been free for.
const RUNNING_SHARE: f64 = 0.7;

/// Longest delay after which a refused request is retried, so that an estimate from before
/// the load fell does not keep callers away.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Wait of a priority without a minimum share for a slot of it; short enough to be added to
/// any time.
const NEVER: Duration = Duration::from_hours(1);

/// Largest share of the slots that later requests of denser priorities are expected to take;
/// the rest keeps the expected wait finite.
const MAX_DENSER_LOAD: f64 = 0.9;

/// Largest random part of a retry delay, as a share of it.
const JITTER: f64 = 0.25;

/// Fractional part of the golden ratio: its multiples are spread evenly between 0 and 1.
const SPREAD: f64 = 0.618_033_988_749_895;

/// State of the refusals on arrival.
#[derive(Clone, Debug, Default)]
pub struct Arrivals {
    /// When the slots are free for a further refused request of each priority, after those
    /// refused before.
    retries: BTreeMap<PriorityId, Instant>,
    /// Number of refusals, which spreads the retries.
    count: u32,
}

impl Queue {
    /// Returns the refusal of a request that is not expected to start within its share of
    /// the time until its answer is due.
    pub(super) fn refuse_on_arrival(&mut self, ticket: &Ticket, now: Instant) -> Option<Refusal> {
        self.arrivals.as_ref()?;
        let class = self.classes.get_mut(&ticket.priority)?;
        class.offered.record(now);
        let class = self.classes.get(&ticket.priority)?;
        let hold_time = class.hold_time.upper_bound(now);
        let wait = self.expected_wait(class, ticket, now);
        let left = ticket.due.saturating_duration_since(now);
        let allowed = left.mul_f64(WAIT_SHARE);
        if wait <= allowed {
            return None;
        }
        let drained = wait.saturating_sub(allowed);
        let retry_after = self.reserve_retry(ticket, drained, now);
        if hold_time <= left {
            self.record_refusal(&ticket.priority, now);
        }
        Some(Refusal {
            reason: Reason::TargetMissed,
            retry_after: Some(retry_after),
        })
    }

    /// Returns the expected time until a new request starts: after the running requests and
    /// those that get a slot before it.
    fn expected_wait(&self, class: &Class, ticket: &Ticket, now: Instant) -> Duration {
        let ends = self.running.values().map(|running| {
            let class = self.classes.get(&running.priority);
            let held = class.map_or(Duration::ZERO, |class| class.hold_time.expected(now));
            now.max(running.since + held.mul_f64(RUNNING_SHARE))
        });
        let mut free: Vec<_> = ends.collect();
        free.resize(free.len().max(self.limit.slots()), now);
        free.sort();
        let own = class.count_ahead(&ticket.caller);
        let first = free.first().map_or(now, |first| *first);
        let by_share = now.max(first) + self.wait_for_share(class, own, now);
        let others = self
            .classes
            .iter()
            .filter(|(name, _)| **name != ticket.priority);
        let mut ahead: Vec<_> = others
            .map(|(_, other)| {
                let is_denser = other.density() > class.density();
                let count = if is_denser {
                    other.len()
                } else {
                    other.owed(now)
                };
                (other, count)
            })
            .collect();
        ahead.push((class, own));
        for (other, count) in ahead {
            let held = other.hold_time.expected(now);
            for _ in 0..count {
                let Some(end) = free.iter_mut().min() else {
                    break;
                };
                *end += held;
            }
        }
        let by_worth = free.into_iter().min().unwrap_or(now);
        let by_worth = by_worth.saturating_duration_since(now);
        let by_worth = by_worth.div_f64(1.0 - self.denser_load(class, now));
        by_worth.min(by_share.saturating_duration_since(now))
    }

    /// Returns the share of the slots that requests of denser priorities take as they arrive.
    fn denser_load(&self, class: &Class, now: Instant) -> f64 {
        let density = class.density();
        let others = self.classes.values();
        let denser = others.filter(|other| other.density() > density);
        let load: f64 = denser
            .map(|other| other.offered.get(now) * other.hold_time.expected(now).as_secs_f64())
            .sum();
        (load / to_f64(self.limit.slots())).min(MAX_DENSER_LOAD)
    }

    /// Returns the time until the minimum share of a priority suffices for `ahead` requests
    /// and one more.
    fn wait_for_share(&self, class: &Class, ahead: usize, now: Instant) -> Duration {
        let rate = class.share() * to_f64(self.limit.slots());
        if rate == 0.0 {
            return NEVER;
        }
        let missing = service_time(class, ahead, now).as_secs_f64() - class.credit();
        Duration::from_secs_f64((missing / rate).max(0.0))
    }

    /// Returns when a refused request is to be retried: once the queue has drained for the
    /// requests of denser priorities that were refused, then for those of its own.
    fn reserve_retry(&mut self, ticket: &Ticket, drained: Duration, now: Instant) -> Duration {
        let Some(class) = self.classes.get(&ticket.priority) else {
            return MIN_RETRY_DELAY;
        };
        let density = class.density();
        let slot_time = class
            .hold_time
            .expected(now)
            .div_f64(to_f64(self.limit.slots()));
        let Some(arrivals) = &mut self.arrivals else {
            return MIN_RETRY_DELAY;
        };
        let before = arrivals.retries.iter().filter(|(name, _)| {
            let class = self.classes.get(*name);
            class.is_some_and(|class| class.density() >= density)
        });
        let before = before.map(|(_, at)| *at).max();
        let at = (now + drained).max(before.unwrap_or(now));
        let at = at.min(now + MAX_RETRY_DELAY);
        let next = at + slot_time;
        arrivals.retries.insert(ticket.priority.clone(), next);
        arrivals.count = arrivals.count.wrapping_add(1);
        let jitter = (f64::from(arrivals.count) * SPREAD).fract() * JITTER;
        let delay = at.saturating_duration_since(now).max(MIN_RETRY_DELAY);
        delay.mul_f64(1.0 + jitter)
    }
}
