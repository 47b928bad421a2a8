//! Stand-ins for the platform's store, its promotion service, database servers and clients,
//! and the case that runs with them. Standard library only.
//!
//! Usage: case-2 CASE NODE_PROGRAM FOLDER TROUBLE
//!
//! In case 6 the primary crashes, then both replicas, and all three come back. In case 7 both
//! replicas are lost for good; later the primary crashes and comes back.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod json;
mod servers;
mod store;

use servers::{Cluster, Server};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Bounds of the smallest deployments on the users' pages.
const RECOVERY: Duration = Duration::from_secs(12);
const GRACE_SECONDS: f64 = 6.0;
const DRAIN_MILLISECONDS: u64 = 7_000;

/// Time of the day at which each step begins.
const CRASH_AT: Duration = Duration::from_secs(15);
const LOSS_AT: Duration = Duration::from_secs(8);
const OTHERS_AFTER: Duration = Duration::from_millis(700);
const BACK_AFTER: Duration = Duration::from_secs(5);
const KILL_AT: Duration = Duration::from_secs(32);
const DOWN: Duration = Duration::from_millis(1_200);
const MEASURED: Duration = Duration::from_secs(8);

/// A record of what was sent, answered and run, with times since the start.
pub struct Record {
    started: Instant,
    file: Mutex<std::fs::File>,
}

impl Record {
    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {text}");
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }
}

/// The processes of the system; they end with the case.
struct Nodes {
    program: PathBuf,
    folder: PathBuf,
    names: Vec<String>,
    children: Vec<Option<Child>>,
}

impl Nodes {
    fn start(&mut self, record: &Record) -> std::io::Result<()> {
        for (index, name) in self.names.iter().enumerate() {
            let log = std::fs::File::options()
                .create(true)
                .append(true)
                .open(self.folder.join(format!("{name}.log")))?;
            // As in the deploy file: the program alone, which finds its settings by a variable.
            let child = Command::new(&self.program)
                .env_clear()
                .env("AGATEPORT_BOOT", self.folder.join(format!("{name}.toml")))
                .stdout(Stdio::from(log.try_clone()?))
                .stderr(Stdio::from(log))
                .spawn()?;
            record.line(&format!("node {name} starts"));
            self.children[index] = Some(child);
        }
        Ok(())
    }

    fn kill(&mut self, record: &Record) {
        for (child, name) in self.children.iter_mut().zip(&self.names) {
            if let Some(mut child) = child.take() {
                let _ = child.kill();
                let _ = child.wait();
                record.line(&format!("node {name} is killed"));
            }
        }
    }

    /// Returns whether all processes run.
    fn all_run(&mut self) -> bool {
        self.children
            .iter_mut()
            .all(|child| child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None))))
    }
}

impl Drop for Nodes {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// One operation of a client: when it began, and whether it was served.
type Outcomes = Arc<Mutex<Vec<(Duration, bool)>>>;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, program, folder, trouble] = &arguments[..] else {
        eprintln!("usage: case-2 CASE NODE_PROGRAM FOLDER TROUBLE");
        exit(2);
    };
    let trouble = match (case.as_str(), trouble.as_str()) {
        (_, "0") => Trouble::None,
        ("6", _) => Trouble::CrashesInARow,
        ("7", _) => Trouble::LastServerRestarts,
        _ => {
            eprintln!("no such case");
            exit(2);
        }
    };
    match run(Path::new(program), Path::new(folder), trouble) {
        Ok(true) => exit(1),
        Ok(false) => exit(0),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            exit(2);
        }
    }
}

fn free_port() -> std::io::Result<u16> {
    // Below the range from which the system takes ports of outgoing connections.
    for port in (12_000 + (std::process::id().wrapping_mul(53) % 9_000) as u16)..30_000 {
        if USED.lock().unwrap().contains(&port) {
            continue;
        }
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            USED.lock().unwrap().push(port);
            return Ok(port);
        }
    }
    Err(std::io::Error::other("no port is free"))
}

static USED: Mutex<Vec<u16>> = Mutex::new(Vec::new());

/// What happens to the servers.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Trouble {
    None,
    CrashesInARow,
    LastServerRestarts,
}

/// Runs the case; returns whether the rule was broken.
fn run(program: &Path, folder: &Path, trouble: Trouble) -> std::io::Result<bool> {
    let record = Arc::new(Record {
        started: Instant::now(),
        file: Mutex::new(std::fs::File::create(folder.join("record.txt"))?),
    });
    let store = store::start(record.clone())?;
    let cluster = Cluster::new(store.clone(), record.clone());
    store.set_promoter(cluster.clone());
    let zones = ["a", "b", "c"];
    for (index, zone) in zones.iter().enumerate() {
        cluster.start(&format!("i-0000000{index}"), zone, index == 0, Vec::new(), 1)?;
    }
    store.set("op", "config", &configuration());
    let mut nodes = Nodes {
        program: program.to_owned(),
        folder: folder.to_owned(),
        names: Vec::new(),
        children: Vec::new(),
    };
    let mut fronts = Vec::new();
    let mut ready = Vec::new();
    for zone in zones {
        let name = format!("front-{zone}-1");
        let ports = [free_port()?, free_port()?, free_port()?, free_port()?];
        let [callers, check, metrics, peers] = ports.map(|port| format!("127.0.0.1:{port}"));
        let platform = store.address;
        std::fs::write(
            folder.join(format!("{name}.toml")),
            format!(
                "node = \"{name}\"\nzone = \"{zone}\"\ncore_share = 0.25\ncores = 1\n\
                 callers = \"{callers}\"\nready = \"{check}\"\nmetrics = \"{metrics}\"\n\
                 peers = \"{peers}\"\nstore = \"{platform}\"\npromotions = \"{platform}\"\n\
                 grace_seconds = {GRACE_SECONDS:.1}\ndrain_milliseconds = {DRAIN_MILLISECONDS}\n\
                 memory_megabytes = 260\ndescriptors = 4300\n"
            ),
        )?;
        fronts.push(callers.parse::<SocketAddr>().unwrap());
        ready.push(check.parse::<SocketAddr>().unwrap());
        nodes.names.push(name);
        nodes.children.push(None);
    }
    nodes.start(&record)?;
    wait_ready(&ready)?;
    let begun = record.now();
    record.line("traffic begins");
    let outcomes: Outcomes = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..12)
        .map(|number| {
            let (fronts, outcomes) = (fronts.clone(), outcomes.clone());
            let (stop, record) = (stop.clone(), record.clone());
            spawn(move || client(number, &fronts, &outcomes, &stop, &record))
        })
        .collect();
    let until = |time: Duration| sleep((begun + time).saturating_sub(record.now()));

    let (primary, others): (Vec<_>, Vec<_>) =
        cluster.servers().into_iter().partition(|server| server.is_primary());
    if trouble == Trouble::LastServerRestarts {
        until(LOSS_AT);
        others.iter().for_each(|server| cluster.crash(server));
    }
    if trouble != Trouble::None {
        until(CRASH_AT);
        primary.iter().for_each(|server| cluster.crash(server));
    }
    if trouble == Trouble::CrashesInARow {
        until(CRASH_AT + OTHERS_AFTER);
        others.iter().for_each(|server| cluster.crash(server));
    }
    if trouble != Trouble::None {
        until(CRASH_AT + BACK_AFTER);
        // A server comes back with its log, under a new id as after each crash on the bench.
        let back = primary.iter().chain(&others);
        let count = if trouble == Trouble::CrashesInARow { 3 } else { 1 };
        for (index, server) in back.take(count).enumerate() {
            restart(&cluster, server, &format!("i-0000001{index}"))?;
        }
    }
    until(KILL_AT);
    if !nodes.all_run() {
        record.line("a node ended by itself");
    }
    nodes.kill(&record);
    sleep(DOWN);
    nodes.start(&record)?;
    let back = record.now();
    sleep(RECOVERY + MEASURED);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let running = nodes.all_run();
    nodes.kill(&record);
    cluster.stop();

    let share = |from: Duration, to: Duration| {
        let outcomes = outcomes.lock().unwrap();
        let window = outcomes.iter().filter(|(at, _)| from <= *at && *at < to);
        let (all, served) = window.fold((0, 0), |(all, served), (_, is_served)| {
            (all + 1, served + u32::from(*is_served))
        });
        (all, served)
    };
    let (all_before, served_before) = share(begun, begun + KILL_AT);
    let (all_after, served_after) = share(back + RECOVERY, back + RECOVERY + MEASURED);
    let summary = format!(
        "before the final fault {served_before} of {all_before} requests were served; later than \
         {} s after the machines were back, {served_after} of {all_after}",
        RECOVERY.as_secs()
    );
    record.line(&summary);
    println!("{summary}");
    if !running || all_after == 0 || served_before * 4 < all_before {
        return Err(std::io::Error::other("the day is not one that the rule judges"));
    }
    Ok(served_after * 4 < all_after)
}

fn restart(cluster: &Arc<Cluster>, server: &Arc<Server>, id: &str) -> std::io::Result<()> {
    let (log, term) = server.content();
    cluster.start(id, &server.zone, server.is_primary(), log, term)
}

fn configuration() -> String {
    let route = |host: &str, kind: &str, timeout: u32, target: u32, prio: u32| {
        format!(
            "{{\"name\":\"{host}\",\"host\":\"{host}\",\"type\":\"{kind}\",\"timeout_ms\":{timeout},\
             \"target_latency_ms\":{target},\"prio\":{prio},\"service\":\"{}\",\"max_stale_ms\":1500}}",
            servers::GROUP
        )
    };
    format!(
        "{{\"version\":3,\"routes\":[{},{}],\"services\":[{{\"name\":\"{}\",\"max_conns\":21}}],\
         \"limits\":{{\"tx_idle_ms\":5000}}}}",
        route("sales", "primary", 1_000, 200, 0),
        route("stock", "bounded_staleness", 2_000, 1_200, 2),
        servers::GROUP
    )
}

fn wait_ready(addresses: &[SocketAddr]) -> std::io::Result<()> {
    let begun = Instant::now();
    while !addresses.iter().all(|address| is_ready(*address)) {
        if begun.elapsed() > Duration::from_secs(15) {
            return Err(std::io::Error::other("the nodes did not become ready"));
        }
        sleep(Duration::from_millis(100));
    }
    Ok(())
}

fn is_ready(address: SocketAddr) -> bool {
    let request = b"GET /v1/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let mut answer = Vec::new();
    stream.write_all(request).is_ok()
        && stream.read_to_end(&mut answer).is_ok()
        && answer.starts_with(b"HTTP/1.1 200")
}

/// A client: one operation each 100 ms, half of them writes at the primary and half of them
/// reads of bounded age. Each session serves one operation; an operation is tried at most
/// three times, at another node each time, within its deadline of 3 s.
fn client(
    number: usize,
    fronts: &[SocketAddr],
    outcomes: &Outcomes,
    stop: &AtomicBool,
    record: &Record,
) {
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        let begun = record.now();
        count += 1;
        let mut is_served = false;
        for attempt in 0..3 {
            let id = format!("c{number}n{count}a{attempt}");
            let (database, text) = if count % 2 == 0 {
                ("sales", format!("WRITE item{number} value{count}"))
            } else {
                ("stock", format!("READ item{number}"))
            };
            let address = fronts[(number + count + attempt) % fronts.len()];
            let answer = operation(address, database, &id, &text);
            record.line(&format!("{id} {database} {text} -> {answer}"));
            is_served = answer.starts_with("DONE");
            // Only after a promise that nothing is kept may a write be tried again.
            let is_promise = ["ERROR BUSY", "ERROR ABORTED", "ERROR LAGGING", "ERROR READONLY"]
                .iter()
                .any(|promise| answer.starts_with(promise));
            let may_retry = is_promise || database == "stock";
            if is_served || !may_retry || record.now() > begun + Duration::from_secs(3) {
                break;
            }
            sleep(Duration::from_millis(300));
        }
        outcomes.lock().unwrap().push((begun, is_served));
        sleep(Duration::from_millis(100));
    }
}

/// Runs one statement in a session of its own; returns its outcome.
fn operation(address: SocketAddr, database: &str, id: &str, text: &str) -> String {
    let tried = || -> std::io::Result<String> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        stream.write_all(format!("CONNECT {database} u1\r\n").as_bytes())?;
        let mut line = String::new();
        reader.read_line(&mut line)?;
        if !line.starts_with("READY") {
            return Ok(line.trim_end().to_owned());
        }
        stream.write_all(format!("QUERY {id} {text}\r\n").as_bytes())?;
        let mut outcome = String::new();
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Ok("closed".to_owned());
            }
            if line.starts_with("DONE") || line.starts_with("ERROR") {
                outcome = line.trim_end().to_owned();
            }
            if line.starts_with("READY") {
                let _ = stream.write_all(b"BYE\r\n");
                return Ok(outcome);
            }
        }
    };
    tried().unwrap_or_else(|error| format!("no answer: {error}"))
}
