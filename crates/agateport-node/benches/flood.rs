//! Measures goodput by priority in floods, comparing rendezvous ownership with
//! even shares, in paused time.

#[path = "../tests/flood/cluster.rs"]
mod cluster;
#[path = "../tests/flood/profile.rs"]
mod profile;
#[path = "../tests/flood/run.rs"]
mod run;

use agateport_domain::owner::{Even, Policy, Rendezvous};
use agateport_domain::prelude::*;
use cluster::Cluster;
use profile::Profile;
use run::{Sum, sum};
use tokio::time::sleep;

/// Measured duration of a run.
const DURATION: Duration = Duration::from_secs(30);

/// Loads as multiples of the server's capacity.
const LOADS: [f64; 5] = [0.8, 1.0, 1.5, 3.0, 10.0];

/// Load of the runs in which nodes are killed or leave, as a multiple of the server's
/// capacity.
const FAULT_LOAD: f64 = 3.0;

/// Seed of the random number generators.
const SEED: u64 = 7;

/// Minimum percentage of the most urgent requests answered in time while the
/// least urgent priority floods.
const URGENT_BOUND: f64 = 99.0;

/// Minimum ratio of the goodput at the highest load to the goodput at capacity.
const GOODPUT_BOUND: f64 = 0.9;

/// Priority that floods.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Flood {
    Least,
    Most,
}

impl Flood {
    /// Returns the load of each priority as a fraction of the capacity.
    fn loads(self, load: f64) -> [f64; 3] {
        match self {
            Self::Least => [0.2, 0.25, load - 0.45],
            Self::Most => [load - 0.5, 0.3, 0.2],
        }
    }
}

/// Fault that is injected into the nodes during a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    HalfKilled,
    OwnerLeaves,
}

/// Injects a fault after a third of the run.
async fn inject_fault<P>(cluster: Arc<Cluster<P>>, fault: Fault)
where
    P: Policy + Send + Sync + 'static,
{
    sleep(DURATION / 3).await;
    match fault {
        Fault::None => {}
        Fault::HalfKilled => [0, 2, 4].into_iter().for_each(|node| cluster.kill(node)),
        Fault::OwnerLeaves => cluster
            .owner()
            .into_iter()
            .for_each(|node| cluster.leave(node)),
    }
}

/// Result of one run.
struct Measurement {
    sums: [Sum; 3],
    connections: usize,
}

impl Measurement {
    fn goodput(&self) -> f64 {
        self.sums.iter().map(|sum| sum.goodput).sum()
    }
}

fn measure<P>(profile: &Profile, policy: P, loads: [f64; 3], fault: Fault) -> Measurement
where
    P: Policy + Send + Sync + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("failed to build the runtime");
    let results = runtime.block_on(async {
        let cluster = Cluster::start(profile.clone(), policy, SEED);
        tokio::spawn(inject_fault(Arc::clone(&cluster), fault));
        run::run(&cluster, profile, loads, DURATION).await;
        (cluster.results(), cluster.peak_connections())
    });
    let (samples, connections) = results;
    let sums = [0, 1, 2].map(|class| sum(&samples, profile, class, Duration::ZERO, DURATION));
    Measurement { sums, connections }
}

fn print(policy: &str, load: f64, measurement: &Measurement) {
    let classes = measurement.sums.iter().map(|sum| {
        format!(
            "{:5.1}% {:4.2} {:4} ms {:2.0}%",
            sum.percent(),
            sum.goodput,
            sum.queued.as_millis(),
            throttled_percent(sum)
        )
    });
    let classes: Vec<_> = classes.collect();
    println!(
        "{policy:10} {load:4.1} | {} | {:4.2} | {:2}",
        classes.join(" | "),
        measurement.goodput(),
        measurement.connections
    );
}

#[expect(clippy::cast_precision_loss, reason = "the numbers are small")]
fn throttled_percent(sum: &Sum) -> f64 {
    100.0 * sum.by_throttle as f64 / sum.offered.max(1) as f64
}

fn check(profile: &Profile, flood: Flood, measurements: &[Measurement]) {
    let (at_capacity, at_highest) = (&measurements[1], &measurements[LOADS.len() - 1]);
    let ratio = at_highest.goodput() / at_capacity.goodput();
    println!(
        "  goodput at 10 times the capacity, relative to 1 times: {ratio:.2} (bound {GOODPUT_BOUND})"
    );
    match flood {
        Flood::Least => {
            let urgent = at_highest.sums[0].percent();
            println!(
                "  most urgent in time at 10 times the capacity: {urgent:.1}% (bound {URGENT_BOUND}%)"
            );
        }
        Flood::Most => {
            for (class, sum) in profile.classes.iter().zip(&at_highest.sums).skip(1) {
                let (goodput, share) = (100.0 * sum.goodput, class.minimum_share);
                println!(
                    "  goodput of {} at 10 times the capacity: {goodput:.1}% (bound {share}%)",
                    class.name
                );
            }
        }
    }
}

fn main() {
    for profile in [Profile::nairobi(), Profile::tallinn()] {
        for flood in [Flood::Least, Flood::Most] {
            println!("\n{}, flood of the {flood:?} urgent", profile.name);
            println!(
                "policy     load | {} | total | connections",
                profile.classes.map(|class| class.name).join(" | ")
            );
            println!(
                "  each: percent in time, goodput, median queue time, refused by the throttle"
            );
            let mut measurements = Vec::new();
            for load in LOADS {
                let even = measure(&profile, Even, flood.loads(load), Fault::None);
                print("even", load, &even);
                let owners = measure(&profile, Rendezvous, flood.loads(load), Fault::None);
                print("rendezvous", load, &owners);
                measurements.push(owners);
            }
            check(&profile, flood, &measurements);
        }
        measure_faults(&profile);
    }
}

fn measure_faults(profile: &Profile) {
    for fault in [Fault::HalfKilled, Fault::OwnerLeaves] {
        println!("\n{}, flood of the least urgent, {fault:?}", profile.name);
        let loads = Flood::Least.loads(FAULT_LOAD);
        let even = measure(profile, Even, loads, fault);
        print("even", FAULT_LOAD, &even);
        let owners = measure(profile, Rendezvous, loads, fault);
        print("rendezvous", FAULT_LOAD, &owners);
    }
}
