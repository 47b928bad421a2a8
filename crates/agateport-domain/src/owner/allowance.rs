//! Limits on the connections of each node to a server while owners change.

use std::time::{Duration, Instant};

/// Time for which a higher allowance must be granted before it is used.
///
/// By then the nodes whose allowance fell have received the same list of
/// members.
pub const RAISE_DELAY: Duration = Duration::from_secs(5);

/// Percentage of the connections reserved for nodes other than the first.
const RESERVE_PERCENT: usize = 55;

/// Number of nodes after the first that share the reserved connections.
const RESERVE_NODES: usize = 3;

/// Connections that each node uses for status queries.
const STATUS_CONNECTIONS: usize = 1;

/// Returns the number of connections allowed to the node at `position` of the
/// server's order over all `listed` nodes.
///
/// The order includes dead nodes. So the sum over all nodes stays within
/// `connections`, whichever of them consider themselves the owner.
#[must_use]
pub fn allowance(connections: usize, listed: usize, position: usize) -> usize {
    let pool = connections.saturating_sub(listed * STATUS_CONNECTIONS);
    let reserve = pool * RESERVE_PERCENT / 100;
    if position == 0 {
        return pool - reserve;
    }
    if position > RESERVE_NODES {
        return 0;
    }
    reserve / RESERVE_NODES + usize::from(position <= reserve % RESERVE_NODES)
}

/// Returns an even share of the connections for the node at `position` of
/// `listed` nodes.
#[must_use]
pub fn even_allowance(connections: usize, listed: usize, position: usize) -> usize {
    let pool = connections.saturating_sub(listed * STATUS_CONNECTIONS);
    let nodes = listed.max(1);
    pool / nodes + usize::from(position < pool % nodes)
}

/// The allowance of a node, which is lowered at once and raised after a delay.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    current: usize,
    pending_raise: Option<(usize, Instant)>,
    is_initialized: bool,
}

impl Default for Allowance {
    /// Allows one connection until the members are known.
    fn default() -> Self {
        Self {
            current: 1,
            pending_raise: None,
            is_initialized: false,
        }
    }
}

impl Allowance {
    /// Returns the number of connections that may be open.
    #[must_use]
    pub fn current(&self) -> usize {
        self.current
    }

    /// Updates the allowance to the number of connections granted now;
    /// `is_known` is whether the other nodes are known.
    ///
    /// The first grant after they are known applies at once.
    pub fn set(&mut self, granted: usize, is_known: bool, now: Instant) {
        let is_first = is_known && !self.is_initialized;
        self.is_initialized |= is_known;
        if granted <= self.current || is_first {
            self.current = granted;
            self.pending_raise = None;
            return;
        }
        let (minimum, since) = self.pending_raise.unwrap_or((granted, now));
        // The raise is limited to the lowest grant during the delay.
        let minimum = minimum.min(granted);
        self.pending_raise = Some((minimum, since));
        if now.saturating_duration_since(since) >= RAISE_DELAY {
            self.current = minimum;
            self.pending_raise = None;
        }
    }
}
