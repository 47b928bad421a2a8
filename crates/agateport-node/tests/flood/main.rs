//! Scenarios of overload, with nodes that are killed or leave during the run.

mod cluster;
mod profile;
mod run;

use agateport_domain::owner::Rendezvous;
use agateport_domain::prelude::*;
use cluster::Cluster;
use profile::Profile;
use std::fmt::Write as _;
use tokio::time::sleep;

/// A fault of a node, given by its index.
#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    Leave(usize),
}

/// A parsed scenario: the deployment, each priority's load as a fraction of the
/// server's capacity, and the faults with their times.
struct Scenario {
    profile: Profile,
    loads: [f64; 3],
    length: Duration,
    faults: Vec<(Duration, Fault)>,
}

/// Parses a scenario with one command per line.
fn parse(text: &str) -> Scenario {
    let mut scenario = Scenario {
        profile: Profile::nairobi(),
        loads: [0.2, 0.25, 0.3],
        length: Duration::from_secs(10),
        faults: Vec::new(),
    };
    for line in text.lines() {
        let words = shlex::split(line).expect("unclosed quote in a command");
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        match words.as_slice() {
            [] => {}
            ["deployment", "tallinn"] => scenario.profile = Profile::tallinn(),
            ["deployment", "nairobi"] => scenario.profile = Profile::nairobi(),
            ["load", class, load] => {
                let names = scenario.profile.classes.map(|class| class.name);
                let index = names.iter().position(|name| name == class);
                let index = index.expect("unknown priority");
                scenario.loads[index] = load.parse().expect("malformed load");
            }
            ["run", seconds] => scenario.length = time(seconds),
            [fault, node, "at", seconds] => {
                let node = node.parse().expect("malformed node index");
                let fault = match *fault {
                    "kill" => Fault::Kill(node),
                    "leave" => Fault::Leave(node),
                    other => panic!("unknown fault {other}"),
                };
                scenario.faults.push((time(seconds), fault));
            }
            other => panic!("unknown command {other:?}"),
        }
    }
    scenario
}

fn time(seconds: &str) -> Duration {
    Duration::from_secs(seconds.parse().expect("malformed time"))
}

async fn run_scenario(text: &str) -> String {
    let scenario = parse(text);
    let profile = &scenario.profile;
    let cluster = Cluster::start(profile.clone(), Rendezvous, 7);
    let owner_before = cluster.owner();
    for (at, fault) in scenario.faults {
        let cluster = Arc::clone(&cluster);
        tokio::spawn(async move {
            sleep(at).await;
            match fault {
                Fault::Kill(node) => cluster.kill(node),
                Fault::Leave(node) => cluster.leave(node),
            }
        });
    }
    run::run(&cluster, profile, scenario.loads, scenario.length).await;
    let results = cluster.results();
    let mut report = format!("{}\non {}:\n", text.trim(), profile.name);
    for (class, declared) in profile.classes.iter().enumerate() {
        let sum = run::sum(&results, profile, class, Duration::ZERO, scenario.length);
        writeln!(
            report,
            "{}: offered {}, in time {} ({:.1}%, goodput {:.2}), late {}, refused by the throttle {}, \
             by the owner {}, lost {}",
            declared.name,
            sum.offered,
            sum.in_time,
            sum.percent(),
            sum.goodput,
            sum.late,
            sum.by_throttle,
            sum.by_owner,
            sum.lost
        )
        .expect("writing to a string cannot fail");
    }
    let owners = (owner_before, cluster.owner());
    writeln!(report, "owner before and after: {owners:?}")
        .expect("writing to a string cannot fail");
    let connections = cluster.peak_connections();
    assert!(connections + profile.nodes <= profile.connections);
    writeln!(report, "peak connections: {connections}").expect("writing to a string cannot fail");
    report
}

#[test]
fn scenarios() {
    insta::glob!("scenarios/*.txt", |path| {
        let text = std::fs::read_to_string(path).expect("failed to read the scenario");
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("failed to build the runtime");
        insta::assert_snapshot!(runtime.block_on(run_scenario(&text)));
    });
}
