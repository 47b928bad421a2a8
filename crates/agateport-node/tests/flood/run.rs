//! Runs a load on a cluster and aggregates the outcomes.

use crate::cluster::{Cluster, Outcome, Sample};
use crate::profile::Profile;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use tokio::time::sleep;

/// Time at the start of a run whose requests are ignored.
const WARM_UP: Duration = Duration::from_secs(2);

/// Time after the load ends, for open requests to finish.
const DRAIN: Duration = Duration::from_secs(6);

/// Aggregated outcomes of one priority's requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sum {
    pub offered: usize,
    pub in_time: usize,
    pub late: usize,
    pub by_throttle: usize,
    pub by_owner: usize,
    pub lost: usize,
    /// Median queue time of the requests that were served.
    pub queued: Duration,
    /// Fraction of the server's capacity that the requests in time used.
    pub goodput: f64,
}

impl Sum {
    /// Returns the percentage of offered requests that finished in time.
    #[expect(clippy::cast_precision_loss, reason = "the numbers are small")]
    pub fn percent(&self) -> f64 {
        100.0 * self.in_time as f64 / self.offered.max(1) as f64
    }
}

/// Applies load to a cluster for `length`. `loads` is the load of each priority as
/// a fraction of the server's capacity.
pub async fn run<P>(cluster: &Arc<Cluster<P>>, profile: &Profile, loads: [f64; 3], length: Duration)
where
    P: Policy + Send + Sync + 'static,
{
    for (class, load) in loads.into_iter().enumerate() {
        let rate = profile.rate(class, load);
        tokio::spawn(Arc::clone(cluster).load(class, rate, WARM_UP + length));
    }
    sleep(WARM_UP + length + DRAIN).await;
}

/// Aggregates the requests of one priority that arrived between `from` and `to`,
/// relative to the end of the warm-up.
#[expect(clippy::cast_precision_loss, reason = "the numbers are small")]
pub fn sum(
    results: &[Sample],
    profile: &Profile,
    class: usize,
    from: Duration,
    to: Duration,
) -> Sum {
    let mut sum = Sum::default();
    let mut queued = Vec::new();
    let between = WARM_UP + from..WARM_UP + to;
    let samples = results.iter().filter(|sample| sample.class == class);
    for sample in samples.filter(|sample| between.contains(&sample.at)) {
        sum.offered += 1;
        match sample.outcome {
            Outcome::InTime => sum.in_time += 1,
            Outcome::Late => sum.late += 1,
            Outcome::RefusedByThrottle => sum.by_throttle += 1,
            Outcome::RefusedByOwner => sum.by_owner += 1,
            Outcome::Lost => sum.lost += 1,
        }
        if matches!(sample.outcome, Outcome::InTime | Outcome::Late) {
            queued.push(sample.queued);
        }
    }
    queued.sort();
    sum.queued = queued.get(queued.len() / 2).copied().unwrap_or_default();
    let rate = sum.in_time as f64 / to.saturating_sub(from).as_secs_f64();
    sum.goodput = rate / profile.rate(class, 1.0);
    sum
}
