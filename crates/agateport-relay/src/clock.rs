//! The clock that leases are measured with.

use agateport_domain::prelude::*;
use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the VM booted, including time spent suspended.
#[must_use]
pub fn uptime() -> Uptime {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(now.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}
