//! Goodput by priority in floods, owners against the even split, in paused time.

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

/// Time that is measured.
const LENGTH: Duration = Duration::from_secs(30);

/// Loads, as multiples of the server's capacity.
const LOADS: [f64; 5] = [0.8, 1.0, 1.5, 3.0, 10.0];

/// Load while nodes die or leave.
const FAULT_LOAD: f64 = 3.0;

/// Seed of all randomness.
const SEED: u64 = 7;

/// Bound of the most urgent priority in a flood of the least urgent, in percent.
const URGENT_BOUND: f64 = 99.0;

/// Bound of the goodput at the highest load against that at capacity.
const GOODPUT_BOUND: f64 = 0.9;

/// Which priority floods.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Flood {
    Least,
    Most,
}

impl Flood {
    /// Returns the parts of the capacity that each priority asks for.
    fn parts(self, load: f64) -> [f64; 3] {
        match self {
            Self::Least => [0.2, 0.25, load - 0.45],
            Self::Most => [load - 0.5, 0.3, 0.2],
        }
    }
}

/// What happens to the nodes in the middle of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    HalfDie,
    OwnerLeaves,
}

/// Lets a fault happen after a third of the time.
async fn strike<P>(cluster: Arc<Cluster<P>>, fault: Fault)
where
    P: Policy + Send + Sync + 'static,
{
    sleep(LENGTH / 3).await;
    match fault {
        Fault::None => {}
        Fault::HalfDie => [0, 2, 4].into_iter().for_each(|node| cluster.kill(node)),
        Fault::OwnerLeaves => cluster
            .owner()
            .into_iter()
            .for_each(|node| cluster.leave(node)),
    }
}

/// What one run gave.
struct Line {
    sums: [Sum; 3],
    connections: usize,
}

impl Line {
    fn goodput(&self) -> f64 {
        self.sums.iter().map(|sum| sum.goodput).sum()
    }
}

fn measure<P>(profile: &Profile, policy: P, parts: [f64; 3], fault: Fault) -> Line
where
    P: Policy + Send + Sync + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime needs nothing but a thread");
    let results = runtime.block_on(async {
        let cluster = Cluster::start(profile.clone(), policy, SEED);
        tokio::spawn(strike(Arc::clone(&cluster), fault));
        run::run(&cluster, profile, parts, LENGTH).await;
        (cluster.results(), cluster.peak_connections())
    });
    let (samples, connections) = results;
    let sums = [0, 1, 2].map(|class| sum(&samples, profile, class, Duration::ZERO, LENGTH));
    Line { sums, connections }
}

fn print(policy: &str, load: f64, line: &Line) {
    let classes = line.sums.iter().map(|sum| {
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
        line.goodput(),
        line.connections
    );
}

#[expect(clippy::cast_precision_loss, reason = "the numbers are small")]
fn throttled_percent(sum: &Sum) -> f64 {
    100.0 * sum.by_throttle as f64 / sum.offered.max(1) as f64
}

fn check(profile: &Profile, flood: Flood, lines: &[Line]) {
    let (at_one, at_most) = (&lines[1], &lines[LOADS.len() - 1]);
    let ratio = at_most.goodput() / at_one.goodput();
    println!("  goodput at 10 times against 1 times: {ratio:.2} (bound {GOODPUT_BOUND})");
    match flood {
        Flood::Least => {
            let urgent = at_most.sums[0].percent();
            println!("  most urgent in time at 10 times: {urgent:.1}% (bound {URGENT_BOUND}%)");
        }
        Flood::Most => {
            for (class, sum) in profile.classes.iter().zip(&at_most.sums).skip(1) {
                let (goodput, share) = (100.0 * sum.goodput, class.minimum_share);
                println!(
                    "  {} at 10 times: {goodput:.1}% (bound {share}%)",
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
            let mut lines = Vec::new();
            for load in LOADS {
                let even = measure(&profile, Even, flood.parts(load), Fault::None);
                print("even", load, &even);
                let owners = measure(&profile, Rendezvous, flood.parts(load), Fault::None);
                print("rendezvous", load, &owners);
                lines.push(owners);
            }
            check(&profile, flood, &lines);
        }
        faults(&profile);
    }
}

fn faults(profile: &Profile) {
    for fault in [Fault::HalfDie, Fault::OwnerLeaves] {
        println!("\n{}, flood of the least urgent, {fault:?}", profile.name);
        let parts = Flood::Least.parts(FAULT_LOAD);
        let even = measure(profile, Even, parts, fault);
        print("even", FAULT_LOAD, &even);
        let owners = measure(profile, Rendezvous, parts, fault);
        print("rendezvous", FAULT_LOAD, &owners);
    }
}
