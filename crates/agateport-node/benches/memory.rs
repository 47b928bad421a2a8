//! Measures the memory of idle callers, and the network traffic and processor
//! time of an idle node's control tasks; prints a table.
//!
//! The callers run in a process of their own, so that only the node's side of
//! each connection is measured.

mod support;

use mimalloc::MiMalloc;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use support::{Deployment, GROUP, node_name, processor_time};

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// Argument that starts the process of the callers.
const CALLERS: &str = "callers";

/// Numbers of idle callers.
const COUNTS: [u32; 4] = [0, 2_000, 4_000, 8_000];

/// Time over which an idle node's control tasks are measured.
const IDLE_PERIOD: Duration = Duration::from_secs(3);

/// Version 3.0 of the PostgreSQL protocol.
const PROTOCOL: i32 = 196_608;

fn main() {
    let mut arguments = std::env::args().skip(1);
    if arguments.next().as_deref() == Some(CALLERS) {
        let address = arguments.next().and_then(|text| text.parse().ok());
        hold_connections(address.expect("missing address argument"));
        return;
    }
    let deployment = Deployment::start();
    let address = deployment.nodes[0].callers;
    println!("server at {}, node at {address}", deployment.server);
    measure_idle_node();
    let program = std::env::current_exe().expect("failed to get the path of the program");
    let mut child = Command::new(program)
        .args([CALLERS, &address.to_string()])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("failed to start the process of the callers");
    let mut input = child
        .stdin
        .take()
        .expect("missing standard input of the callers");
    let mut output = BufReader::new(
        child
            .stdout
            .take()
            .expect("missing standard output of the callers"),
    );
    let mut before: Option<(u32, u64)> = None;
    for count in COUNTS {
        writeln!(input, "{count}").expect("failed to write to the process of the callers");
        let mut line = String::new();
        output
            .read_line(&mut line)
            .expect("failed to read from the process of the callers");
        let memory = resident_memory();
        let each = before.map(|(count_before, memory_before)| {
            (memory - memory_before) / u64::from(count - count_before)
        });
        println!("{count:>6} idle callers: {memory:>10} bytes, {each:?} per additional caller");
        before = Some((count, memory));
    }
    drop(input);
    child
        .wait()
        .expect("failed to wait for the process of the callers");
}

/// Opens connections until there are as many as each input line states, and keeps
/// them open.
fn hold_connections(address: SocketAddr) {
    let mut open = Vec::new();
    for line in std::io::stdin().lines() {
        let count: usize = line.ok().and_then(|text| text.parse().ok()).unwrap_or(0);
        while open.len() < count {
            open.push(log_in(address).expect("failed to log in to the node"));
        }
        println!("{}", open.len());
    }
}

fn log_in(address: SocketAddr) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address)?;
    let text = format!("user\0bench\0database\0{GROUP}\0\0");
    let length = i32::try_from(text.len() + 8).unwrap_or(0);
    stream.write_all(&length.to_be_bytes())?;
    stream.write_all(&PROTOCOL.to_be_bytes())?;
    stream.write_all(text.as_bytes())?;
    let mut header = [0; 5];
    loop {
        stream.read_exact(&mut header)?;
        let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]);
        let mut body = vec![0; length as usize - 4];
        stream.read_exact(&mut body)?;
        if header[0] == b'Z' {
            return Ok(stream);
        }
    }
}

/// Prints the processor time and loopback traffic of a node without callers.
fn measure_idle_node() {
    let (start, processor, bytes) = (
        Instant::now(),
        processor_time(&node_name(0)),
        loopback_bytes(),
    );
    std::thread::sleep(IDLE_PERIOD);
    let seconds = start.elapsed().as_secs_f64();
    let spent = processor_time(&node_name(0)).saturating_sub(processor);
    let share = 100.0 * spent.as_secs_f64() / seconds;
    let received = loopback_bytes().saturating_sub(bytes);
    println!("idle node, one server: {share:.2}% of a core");
    println!(
        "loopback, all processes: {} bytes a second",
        received / IDLE_PERIOD.as_secs()
    );
}

/// Returns the resident memory of the process, in bytes.
fn resident_memory() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("failed to read /proc/self/status");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kibibytes.unwrap_or(0) * 1024
}

/// Returns the bytes received on the loopback interface since the machine was
/// booted.
fn loopback_bytes() -> u64 {
    let text = fs::read_to_string("/proc/net/dev").expect("failed to read /proc/net/dev");
    let line = text
        .lines()
        .find(|line| line.trim_start().starts_with("lo:"));
    let received = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    received.unwrap_or(0)
}
