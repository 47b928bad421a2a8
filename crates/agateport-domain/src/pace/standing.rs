//! How a server stands among the others of its group.

/// Ratio below which a server counts as normal, so that noise has no effect.
const MIN_RATIO: f64 = 1.5;

/// Largest ratio. It exceeds the load of a full server with a full group behind it, but
/// keeps every server eligible.
const MAX_RATIO: f64 = 16.0;

/// The factor by which work at a server takes longer than at the other servers of its
/// group, in percent: at least [`Factor::NORMAL`], and bounded.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Factor(u32);

impl Factor {
    /// The factor of a server that is as fast as the others, or not known to be slower.
    pub const NORMAL: Self = Self(100);

    /// Returns the factor for a ratio of times. Ratios below 1.5 count as normal.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the ratio is between its bounds"
    )]
    pub fn from_ratio(ratio: f64) -> Self {
        if ratio >= MIN_RATIO {
            Self((ratio.min(MAX_RATIO) * 100.0).round() as u32)
        } else {
            Self::NORMAL
        }
    }

    /// Returns the factor in percent.
    #[must_use]
    pub fn percent(self) -> u32 {
        self.0
    }
}

impl Default for Factor {
    fn default() -> Self {
        Self::NORMAL
    }
}

/// How a server stands among the others of its group.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Standing {
    /// How slow the server is.
    pub pace: Factor,
    /// Slots of the server and the lower limit that its latency allows, if it is lower.
    pub limits: Option<(u32, u32)>,
}

impl Standing {
    /// How a server stands that is as fast as the others, or of which nothing is known.
    pub const NORMAL: Self = Self {
        pace: Factor::NORMAL,
        limits: None,
    };

    /// Returns the expected work until one more request ends, in hundredths of a request at
    /// a normal server, at a `load` of requests that run there or wait.
    ///
    /// The request itself counts, so that a slow server also costs more while it has no
    /// load. Requests beyond a lowered limit wait for the fewer slots.
    #[must_use]
    pub fn work(self, load: usize) -> usize {
        let requests = load.saturating_add(1);
        let waiting = self.limits.map_or(0, |(slots, limit)| {
            let beyond = requests.saturating_sub(to_usize(limit));
            let removed = to_usize(slots.saturating_sub(limit));
            beyond.saturating_mul(removed) / to_usize(limit.max(1))
        });
        let requests = requests.saturating_add(waiting);
        requests.saturating_mul(to_usize(self.pace.percent()))
    }
}

fn to_usize(count: u32) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}
