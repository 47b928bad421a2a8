//! How many connections of a server a node may have, while owners move.

use std::time::{Duration, Instant};

/// Time that a higher allowance must stand before it is used: by then the nodes
/// whose allowance fell have learned of the same list.
pub const RAISE_DELAY: Duration = Duration::from_secs(5);

/// Percent of the connections that is kept for nodes other than the first.
const RESERVE_PERCENT: usize = 55;

/// Nodes after the first that share the reserve.
const BACKUPS: usize = 3;

/// Connections that each node uses for status questions.
const STATUS_CONNECTIONS: usize = 1;

/// Returns how many connections the node at `position` of the server's order
/// over all `listed` nodes may have.
///
/// The order counts dead nodes too: so the sum over all nodes stays within
/// `connections`, whichever of them take themselves for the owner.
#[must_use]
pub fn allowance(connections: usize, listed: usize, position: usize) -> usize {
    let pool = connections.saturating_sub(listed * STATUS_CONNECTIONS);
    let reserve = pool * RESERVE_PERCENT / 100;
    if position == 0 {
        return pool - reserve;
    }
    if position > BACKUPS {
        return 0;
    }
    reserve / BACKUPS + usize::from(position <= reserve % BACKUPS)
}

/// Returns an even part of the connections.
#[must_use]
pub fn even_share(connections: usize, listed: usize, position: usize) -> usize {
    let pool = connections.saturating_sub(listed * STATUS_CONNECTIONS);
    let nodes = listed.max(1);
    pool / nodes + usize::from(position < pool % nodes)
}

/// An allowance in use: lowered at once, raised after a delay.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    current: usize,
    pending_raise: Option<(usize, Instant)>,
    is_initialized: bool,
}

impl Default for Allowance {
    /// One connection, until the nodes are known.
    fn default() -> Self {
        Self {
            current: 1,
            pending_raise: None,
            is_initialized: false,
        }
    }
}

impl Allowance {
    /// Returns the connections that may be open.
    #[must_use]
    pub fn current(&self) -> usize {
        self.current
    }

    /// Takes in what the order over the nodes grants now; `is_known` tells
    /// whether the other nodes are known.
    pub fn set(&mut self, granted: usize, is_known: bool, now: Instant) {
        let is_first = is_known && !self.is_initialized;
        self.is_initialized |= is_known;
        if granted <= self.current || is_first {
            self.current = granted;
            self.pending_raise = None;
            return;
        }
        let (minimum, since) = self.pending_raise.unwrap_or((granted, now));
        // Only what was granted all the while may be used.
        let minimum = minimum.min(granted);
        self.pending_raise = Some((minimum, since));
        if now.saturating_duration_since(since) >= RAISE_DELAY {
            self.current = minimum;
            self.pending_raise = None;
        }
    }
}
