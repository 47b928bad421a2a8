//! What the handover of a group waits for, as one node knows it.

use crate::metrics::millis;
use crate::protocol::Protocol;
use crate::upstreams::Upstreams;
use agateport_domain::group::Wait;
use agateport_domain::prelude::*;
use agateport_domain::report::Handover;
use std::fmt::Write;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Time for which a condition must have lasted before it is logged. It bounds the number of
/// lines if conditions alternate.
const LOG_DELAY: Duration = Duration::from_secs(1);

/// A handover that waits.
#[derive(Clone, Copy, Debug)]
struct Current {
    wait: Wait,
    /// Since when it has waited for this condition.
    wait_since: Uptime,
    /// Since when it has waited for any condition.
    since: Uptime,
    /// The condition that was logged last.
    logged: Option<Wait>,
}

/// The handover of a group, if it waits.
#[derive(Debug, Default)]
pub struct Pending {
    current: Mutex<Option<Current>>,
}

impl Pending {
    /// Records what the handover of `group` waits for at `now`.
    pub fn record(&self, group: &GroupId, wait: Wait, now: Uptime) {
        let mut current = self.lock();
        if wait == Wait::Nothing {
            let ended = current.take().filter(|ended| ended.logged.is_some());
            if let Some(ended) = ended {
                tracing::info!(
                    event = "handover_ended",
                    group = &**group,
                    waited_ms = millis(now.saturating_sub(ended.since)),
                    "the handover of the group waits for nothing any more"
                );
            }
            return;
        }
        let known = current.get_or_insert(Current {
            wait,
            wait_since: now,
            since: now,
            logged: None,
        });
        if known.wait != wait {
            known.wait = wait;
            known.wait_since = now;
        }
        if known.logged != Some(wait) && now >= known.wait_since + LOG_DELAY {
            known.logged = Some(wait);
            tracing::info!(
                event = "handover_waits",
                group = &**group,
                condition = wait.name(),
                waited_ms = millis(now.saturating_sub(known.since)),
                "the handover of the group waits for a condition"
            );
        }
    }

    /// Returns what the handover of `group` waits for at `now`; none if it waits for nothing.
    #[must_use]
    pub fn observe(&self, group: &GroupId, now: Uptime) -> Option<Handover> {
        let current = (*self.lock())?;
        Some(Handover {
            group: group.clone(),
            condition: current.wait,
            condition_ms: millis(now.saturating_sub(current.wait_since)),
            waiting_ms: millis(now.saturating_sub(current.since)),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Option<Current>> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the handovers that wait at `now`, by group.
#[must_use]
pub fn handovers<W: Protocol>(upstreams: &Upstreams<W>, now: Uptime) -> Vec<Handover> {
    let groups = upstreams.groups().into_iter();
    groups
        .filter_map(|group| upstreams.group(&group).pending.observe(&group, now))
        .collect()
}

/// Renders the handovers that wait as gauges.
#[must_use]
pub fn render<W: Protocol>(upstreams: &Upstreams<W>, now: Uptime) -> String {
    let mut text = String::new();
    for handover in handovers(upstreams, now) {
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "agateport_handover_wait_milliseconds{{group=\"{}\",condition=\"{}\"}} {}",
            handover.group,
            handover.condition.name(),
            handover.condition_ms
        );
    }
    text
}
