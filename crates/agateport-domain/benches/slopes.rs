//! Measures how the time and memory of the domain's operations grow with the
//! size of a deployment; prints a table for each, with a fitted line.

use agateport_domain::bundle::Bundle;
use agateport_domain::membership::{Member, State, View};
use agateport_domain::owner::{Assignment, Cache, Policy, Rendezvous};
use agateport_domain::prelude::*;
use agateport_domain::session::Session;
use agateport_domain::tree::Tree;
use std::fmt::Write;
use std::hint::black_box;

/// Numbers of groups in the measured bundles.
const GROUPS: [u32; 4] = [47, 470, 2_350, 4_700];

/// Numbers of members in the measured views.
const MEMBERS: [u32; 5] = [7, 39, 390, 1_950, 3_900];

/// Numbers of nodes on the users' platform.
const NODES: [u32; 3] = [300, 1_000, 4_000];

/// Number of servers whose owners are selected.
const SERVERS: u32 = 60;

/// Numbers of sessions of a node.
const SESSIONS: [u32; 4] = [10_000, 50_000, 100_000, 200_000];

/// Numbers of threads that share the sessions.
const THREADS: [u32; 4] = [1, 2, 4, 8];

/// Approximate number of groups or members in all copies of one memory
/// measurement.
const COPIED: u32 = 20_000;

/// Number of operations of each thread.
const OPERATIONS: u64 = 400_000;

/// Repetitions of a measurement, of which the fastest counts, because other
/// processes share the cores.
const REPETITIONS: u32 = 7;

/// A measured point.
#[derive(Clone, Copy, Debug)]
struct Point {
    size: f64,
    value: f64,
}

/// First argument of the child process that measures memory.
const MEMORY: &str = "memory";

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [first, kind, size] = arguments.as_slice()
        && first == MEMORY
    {
        return println!("{}", measure_memory(kind, size.parse().unwrap_or(0)));
    }
    bundle();
    owners();
    assignments();
    tree();
    view();
    sessions();
    threads();
}

/// Prints the points and the least-squares line fitted to them.
fn print(label: &str, unit: &str, by: &str, points: &[Point]) {
    for point in points {
        println!(
            "{label:<28} {:>8.0} {by:<10} {:>14.2} {unit}",
            point.size, point.value
        );
    }
    let count = f64::from(u32::try_from(points.len()).unwrap_or(u32::MAX));
    let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
    let mean = points.iter().map(|point| point.value).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|point| (point.size - mean_size) * (point.value - mean))
        .sum();
    let spread: f64 = points
        .iter()
        .map(|point| (point.size - mean_size).powi(2))
        .sum();
    let slope = covariance / spread;
    let intercept = mean - slope * mean_size;
    let variance: f64 = points
        .iter()
        .map(|point| (point.value - mean).powi(2))
        .sum();
    let error: f64 = points
        .iter()
        .map(|point| (point.value - intercept - slope * point.size).powi(2))
        .sum();
    println!(
        "{label:<28} fit: {intercept:.3} + {slope:.6} x {by} {unit}, r2 {:.4}, rms error {:.3}\n",
        1.0 - error / variance,
        (error / count).sqrt(),
    );
}

/// Returns the duration of the fastest of [`REPETITIONS`] runs.
fn fastest(mut action: impl FnMut()) -> Duration {
    let times = (0..REPETITIONS).map(|_| {
        let start = Instant::now();
        action();
        start.elapsed()
    });
    times.min().unwrap_or_default()
}

fn point(size: u32, value: f64) -> Point {
    Point {
        size: f64::from(size),
        value,
    }
}

fn bundle_text(groups: u32) -> String {
    let mut text = String::from(
        "version = 1\ndefault_priority = \"counter\"\n\
         [[priority]]\nname = \"counter\"\ntarget = \"500ms\"\nworth = 20\n",
    );
    for group in 0..groups {
        let _ = write!(text, "[[group]]\nname = \"ledger-{group}\"\n");
        for server in 0..3 {
            let _ = write!(
                text,
                "[[group.server]]\nname = \"ledger-{group}-{server}\"\nzone = \"z{server}\"\n\
                 address = \"10.{}.{}.{server}:5432\"\nslots = 3\nconnections = 20\n",
                group / 256,
                group % 256,
            );
        }
    }
    text
}

fn bundle() {
    let (mut bytes, mut parse, mut memory, mut find) = (vec![], vec![], vec![], vec![]);
    for groups in GROUPS {
        let text = bundle_text(groups);
        let length = u32::try_from(text.len()).unwrap_or(u32::MAX);
        bytes.push(point(groups, f64::from(length) / 1024.0));
        let time = fastest(|| drop(black_box(Bundle::parse(&text))));
        parse.push(point(groups, 1e3 * time.as_secs_f64()));
        let bundle = Bundle::parse(&text).expect("the bundle is valid");
        memory.push(point(groups, memory_of("bundle", groups) / 1024.0));
        let name = format!("ledger-{}", groups - 1);
        let time = fastest(|| {
            for _ in 0..100 {
                black_box(bundle.group(black_box(&name)));
            }
        });
        find.push(point(groups, 1e6 * time.as_secs_f64() / 100.0));
    }
    print("bundle, text", "KiB", "groups", &bytes);
    print("bundle, parse", "ms", "groups", &parse);
    print("bundle, memory", "KiB", "groups", &memory);
    print("bundle, find a group", "us", "groups", &find);
}

fn members(count: u32) -> Vec<Member> {
    let members = (0..count).map(|number| Member {
        name: format!("node-{number}").into(),
        zone: format!("z{}", number % 15).into(),
        address: ([10, 0, 0, 1], 7000).into(),
        state: State::Live,
        incarnation: 1,
    });
    members.collect()
}

fn full_view(count: u32) -> View {
    let now = Instant::now();
    let address = ([10, 0, 0, 1], 7000).into();
    let mut view = View::new("node-0".into(), "z0".into(), address, 7, now);
    view.seed(members(count), now);
    view
}

fn owners() {
    let (mut points, mut cached) = (vec![], vec![]);
    let cache = Cache::default();
    for count in MEMBERS {
        let view = full_view(count);
        let (requester, server, zone): (NodeId, ServerId, Zone) =
            ("node-0".into(), "ledger-1-1".into(), "z1".into());
        let time = fastest(|| {
            black_box(Rendezvous.owners(&requester, &server, &zone, &view));
        });
        points.push(point(count, 1e6 * time.as_secs_f64()));
        let time = fastest(|| {
            black_box(cache.owners(&Rendezvous, &requester, &server, &zone, &view));
        });
        cached.push(point(count, 1e6 * time.as_secs_f64()));
    }
    print("owners of one server", "us", "members", &points);
    print("owners of one server, cached", "us", "members", &cached);
}

/// Measures the selection of the owners of [`SERVERS`] servers, and a change of one node.
fn assignments() {
    let (mut selections, mut changes) = (vec![], vec![]);
    for count in NODES {
        let nodes = members(count);
        let servers =
            (0..SERVERS).map(|server| (format!("i-{server}"), format!("z{}", server % 15)));
        let servers: Vec<(ServerId, Zone)> = servers
            .map(|(server, zone)| (server.as_str().into(), zone.as_str().into()))
            .collect();
        let select = || -> Vec<_> {
            let assigned = servers.iter().map(|(server, zone)| {
                let nodes = nodes.iter().map(|node| (&node.name, &node.zone));
                Assignment::new(server, zone, nodes)
            });
            assigned.collect()
        };
        let time = fastest(|| drop(black_box(select())));
        selections.push(point(count, 1e6 * time.as_secs_f64()));
        let mut assigned = select();
        let (node, zone): (NodeId, Zone) = ("node-new".into(), "z1".into());
        let time = fastest(|| {
            for assignment in &mut assigned {
                assignment.add(&node, &zone);
            }
        });
        changes.push(point(count, 1e6 * time.as_secs_f64()));
    }
    print("owners of 60 servers, selected", "us", "nodes", &selections);
    print(
        "owners of 60 servers, a node added",
        "us",
        "nodes",
        &changes,
    );
}

/// Measures the order of the nodes in the tree, and the sources of one of them.
fn tree() {
    let mut points = vec![];
    for count in NODES {
        let nodes = members(count);
        let time = fastest(|| {
            let tree = Tree::new(nodes.iter().map(|node| (&node.name, &node.zone, 120)));
            black_box(tree.sources(&nodes[7].name, &nodes[7].zone));
        });
        points.push(point(count, 1e6 * time.as_secs_f64()));
    }
    print("tree of the nodes", "us", "nodes", &points);
}

fn view() {
    let (mut memory, mut clone) = (vec![], vec![]);
    for count in MEMBERS {
        memory.push(point(count, memory_of("view", count) / 1024.0));
        let view = full_view(count);
        let time = fastest(|| drop(black_box(view.clone())));
        clone.push(point(count, 1e6 * time.as_secs_f64()));
    }
    print("view, memory", "KiB", "members", &memory);
    print("view, copy", "us", "members", &clone);
}

fn sessions() {
    let (mut memory, mut time) = (vec![], vec![]);
    let group: GroupId = "ledger-1".into();
    for count in SESSIONS {
        memory.push(point(count, memory_of("sessions", count) / 1024.0));
        let sessions = fill_sessions(count, &group);
        let taken = fastest(|| observe(&sessions, &group, u64::from(count), 0));
        let per_operation = 1e9 * taken.as_secs_f64() / to_f64(OPERATIONS);
        time.push(point(count, per_operation));
    }
    print("sessions, memory", "KiB", "sessions", &memory);
    print("session, raise a watermark", "ns", "sessions", &time);
}

fn fill_sessions(count: u32, group: &GroupId) -> Sharded<SessionId, Session> {
    let sessions = Sharded::new();
    for id in 0..u64::from(count) {
        let mut session = Session::new(Instant::now());
        session.observe(group, Watermark::default());
        sessions.insert(id, session);
    }
    sessions
}

fn observe(sessions: &Sharded<SessionId, Session>, group: &GroupId, count: u64, first: u64) {
    for number in 0..OPERATIONS {
        let id = (first + number.wrapping_mul(7_919)) % count;
        let seen = Watermark {
            term: 1,
            position: number,
        };
        sessions.update(&id, |session| session.observe(group, seen));
    }
}

fn threads() {
    let group: GroupId = "ledger-1".into();
    let sessions: Sharded<SessionId, Session> = Sharded::new();
    for id in 0..100_000 {
        sessions.insert(id, Session::new(Instant::now()));
    }
    let mut points = vec![];
    for count in THREADS {
        let time = fastest(|| {
            std::thread::scope(|scope| {
                for thread in 0..count {
                    let (sessions, group) = (&sessions, &group);
                    let first = u64::from(thread) * 12_345;
                    scope.spawn(move || observe(sessions, group, 100_000, first));
                }
            });
        });
        let rate = to_f64(OPERATIONS) * f64::from(count) / time.as_secs_f64();
        points.push(point(count, rate / 1e6));
    }
    print("shards, watermarks raised", "million/s", "threads", &points);
}

/// Returns the memory of one `kind` of this size, in bytes, as measured in a
/// child process.
fn memory_of(kind: &str, size: u32) -> f64 {
    let program = std::env::current_exe().expect("the program has a path");
    let output = std::process::Command::new(program)
        .args([MEMORY, kind, &size.to_string()])
        .output()
        .expect("the program starts again");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.trim().parse().unwrap_or(f64::NAN)
}

/// Returns the memory that one `kind` adds to this process, in bytes.
fn measure_memory(kind: &str, size: u32) -> f64 {
    let group: GroupId = "ledger-1".into();
    let text = bundle_text(size);
    // Parsing once first leaves the memory that only parsing needs with the
    // allocator, so that it is not counted.
    let _ = black_box(Bundle::parse(&text));
    let copies = COPIED / size + 1;
    let before = resident_memory();
    match kind {
        "bundle" => measure_copies(copies, || Bundle::parse(&text), before),
        "view" => measure_copies(copies, || full_view(size), before),
        _ => measure_copies(1, || fill_sessions(size, &group), before),
    }
}

fn measure_copies<T>(copies: u32, make: impl Fn() -> T, before: f64) -> f64 {
    let values: Vec<T> = (0..copies).map(|_| make()).collect();
    let after = resident_memory();
    drop(black_box(values));
    (after - before) / f64::from(copies)
}

/// Returns the resident memory of the process, in bytes.
fn resident_memory() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kibibytes.unwrap_or(0.0) * 1024.0
}

#[expect(
    clippy::cast_precision_loss,
    reason = "the counts are small enough to be exact"
)]
fn to_f64(count: u64) -> f64 {
    count as f64
}
