//! Clients, and a proxy that can hold the bytes of its connections.

use crate::util::{note, now_ms};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// An answer to a client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub rows: Vec<String>,
    /// `DONE receipt` or `ERROR code text`.
    pub outcome: String,
    pub state: String,
}

impl Answer {
    pub fn is_done(&self) -> bool {
        self.outcome.starts_with("DONE")
    }
}

/// A client's session.
pub struct Client {
    reader: BufReader<TcpStream>,
    stream: TcpStream,
    pub name: String,
}

/// Returns a request id that was not used before.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("q{:06x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

impl Client {
    /// Opens a session; none if it is refused or takes over two seconds.
    pub fn open(address: SocketAddr, database: &str, name: &str) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        let reader = BufReader::new(stream.try_clone().ok()?);
        let mut client = Client {
            reader,
            stream,
            name: name.to_owned(),
        };
        client.write(&format!("CONNECT {database} {name}\r\n"))?;
        let line = client.line()?;
        if !line.starts_with("READY") {
            return None;
        }
        client
            .stream
            .set_read_timeout(Some(Duration::from_secs(12)))
            .ok()?;
        Some(client)
    }

    fn write(&mut self, text: &str) -> Option<()> {
        self.stream.write_all(text.as_bytes()).ok()
    }

    fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(1..) if line.ends_with('\n') => Some(line.trim_end().to_owned()),
            _ => None,
        }
    }

    /// Sends a request and waits for its answer; none if the connection ends before it is
    /// complete.
    pub fn query(&mut self, id: &str, text: &str) -> Option<Answer> {
        note(&format!("client {} sends {id}: {text}", self.name));
        let answer = self.exchange(id, text);
        match &answer {
            Some(answer) => note(&format!(
                "client {} gets for {id}: {} {} [{}]",
                self.name,
                answer.rows.join(" "),
                answer.outcome,
                answer.state
            )),
            None => note(&format!(
                "client {}: the connection ends without an answer to {id}",
                self.name
            )),
        }
        answer
    }

    fn exchange(&mut self, id: &str, text: &str) -> Option<Answer> {
        self.write(&format!("QUERY {id} {text}\r\n"))?;
        let (mut rows, mut outcome) = (Vec::new(), String::new());
        loop {
            let line = self.line()?;
            match line.split_once(' ') {
                Some(("ROW", row)) => rows.push(row.to_owned()),
                Some(("DONE" | "ERROR", _)) => outcome = line,
                Some(("READY", rest)) => {
                    let state = rest.split(' ').next().unwrap_or("").to_owned();
                    return Some(Answer {
                        rows,
                        outcome,
                        state,
                    });
                }
                _ => return None,
            }
        }
    }
}

/// Returns whether a node reports that it is ready.
pub fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(500)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let request = "GET /v1/ready HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n";
    if stream.write_all(request.as_bytes()).is_err() {
        return false;
    }
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).is_ok() && answer.ends_with(b"200")
}

/// A partition that connections may lie behind.
#[derive(Default)]
pub struct Cut {
    is_cut: Mutex<bool>,
    healed: Condvar,
    /// Whether something was held up.
    pub has_held: AtomicBool,
}

impl Cut {
    pub fn set(&self, is_cut: bool) {
        *self.is_cut.lock().unwrap() = is_cut;
        self.healed.notify_all();
    }

    fn wait(&self) {
        let mut is_cut = self.is_cut.lock().unwrap();
        if *is_cut {
            self.has_held.store(true, Ordering::Relaxed);
        }
        while *is_cut {
            is_cut = self.healed.wait(is_cut).unwrap();
        }
    }
}

/// Starts a proxy to `target` and returns its address. While one of `cuts` is set, bytes
/// are held up in both directions, and new connections are not made; what was held up is
/// delivered afterwards, unless its sender has reset the connection, or had opened it during
/// the cut and given it up.
pub fn proxy(listen: SocketAddr, target: SocketAddr, cuts: Vec<Arc<Cut>>) -> SocketAddr {
    let listener = TcpListener::bind(listen).expect("a port is free");
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let cuts = cuts.clone();
            std::thread::spawn(move || {
                let is_cut = || cuts.iter().any(|cut| *cut.is_cut.lock().unwrap());
                if is_cut() {
                    for cut in &cuts {
                        cut.wait();
                    }
                    // Opened during the cut: it is made now only if the opener still waits.
                    let mut byte = [0];
                    let _ = client.set_nonblocking(true);
                    if !is_waiting(&client, &mut byte) {
                        return;
                    }
                    let _ = client.set_nonblocking(false);
                }
                let Ok(server) = TcpStream::connect(target) else {
                    return;
                };
                let _ = client.set_nodelay(true);
                let _ = server.set_nodelay(true);
                let (Ok(client2), Ok(server2)) = (client.try_clone(), server.try_clone()) else {
                    return;
                };
                let cuts2 = cuts.clone();
                std::thread::spawn(move || copy(server2, client2, &cuts2));
                copy(client, server, &cuts);
            });
        }
    });
    address
}

/// Returns whether the opener of a connection that waits behind a cut still waits.
fn is_waiting(stream: &TcpStream, byte: &mut [u8; 1]) -> bool {
    // Bytes or an end that arrived meanwhile belong to an attempt that was given up or may
    // have been; such an opener tries again.
    match stream.peek(byte) {
        Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
        Ok(_) => false,
    }
}

/// Returns whether the sender of held bytes has reset its connection, which loses them.
fn is_reset(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    peeked.is_err_and(|error| error.kind() != std::io::ErrorKind::WouldBlock)
}

/// Copies bytes in one direction until it ends.
fn copy(mut from: TcpStream, mut to: TcpStream, cuts: &[Arc<Cut>]) {
    let mut bytes = vec![0; 65_536];
    loop {
        let count = from.read(&mut bytes);
        let is_held = cuts.iter().any(|cut| *cut.is_cut.lock().unwrap());
        for cut in cuts {
            cut.wait();
        }
        if is_held && is_reset(&from) {
            let _ = to.shutdown(Shutdown::Both);
            return;
        }
        match count {
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(count) if to.write_all(&bytes[..count]).is_ok() => {}
            _ => {
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}

/// Waits until `condition` holds, for at most `seconds`; returns whether it does.
pub fn wait_for(seconds: u64, condition: impl Fn() -> bool) -> bool {
    let until = now_ms() + seconds * 1_000;
    while now_ms() < until {
        if condition() {
            return true;
        }
        crate::util::sleep_ms(20);
    }
    condition()
}
