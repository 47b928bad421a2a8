//! Database servers: a primary whose log reaches its replicas after 8 ms.

use crate::Record;
use crate::store::Store;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Name of the service.
pub const GROUP: &str = "ledger-main";

const SLOTS: usize = 3;
const MAX_CONNECTIONS: usize = 21;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const REPLICATION: Duration = Duration::from_millis(8);
const PROMOTION: Duration = Duration::from_millis(1_000);
const WORK: Duration = Duration::from_millis(8);

/// An entry of a log: the term in which it was written, and what it sets.
pub type Entry = (u64, String, String);

struct State {
    is_primary: bool,
    /// Newest term that the server knows.
    term: u64,
    /// Highest term that a DEMOTE named.
    held: u64,
    log: Vec<Entry>,
    is_up: bool,
    streams: Vec<TcpStream>,
    connections: usize,
}

pub struct Server {
    pub id: String,
    pub zone: String,
    address: SocketAddr,
    born: u64,
    state: Mutex<State>,
    receipts: AtomicU64,
}

impl Server {
    pub fn is_primary(&self) -> bool {
        self.state.lock().unwrap().is_primary
    }

    pub fn content(&self) -> (Vec<Entry>, u64) {
        let state = self.state.lock().unwrap();
        (state.log.clone(), state.term)
    }

    fn is_up(&self) -> bool {
        self.state.lock().unwrap().is_up
    }
}

impl State {
    fn position(&self) -> String {
        let term = self.log.last().map_or(1, |(term, _, _)| *term);
        format!("{term}.{}", self.log.len())
    }

    fn reached(&self, position: &str) -> bool {
        let parse = |text: &str| {
            let (term, number) = text.split_once('.')?;
            Some((term.parse::<u64>().ok()?, number.parse::<u64>().ok()?))
        };
        parse(&self.position()) >= parse(position)
    }
}

pub struct Cluster {
    store: Arc<Store>,
    record: Arc<Record>,
    servers: Mutex<Vec<Arc<Server>>>,
    is_stopped: AtomicBool,
}

impl Cluster {
    pub fn new(store: Arc<Store>, record: Arc<Record>) -> Arc<Self> {
        let cluster = Arc::new(Self {
            store,
            record,
            servers: Mutex::default(),
            is_stopped: AtomicBool::new(false),
        });
        let replicating = cluster.clone();
        spawn(move || {
            while !replicating.is_stopped.load(Ordering::Relaxed) {
                replicating.replicate();
                sleep(REPLICATION);
            }
        });
        cluster
    }

    /// Returns the servers that are up.
    pub fn servers(&self) -> Vec<Arc<Server>> {
        let servers = self.servers.lock().unwrap();
        servers.iter().filter(|server| server.is_up()).cloned().collect()
    }

    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    /// Starts a server with this log, and registers it.
    pub fn start(
        self: &Arc<Self>,
        id: &str,
        zone: &str,
        is_primary: bool,
        log: Vec<Entry>,
        term: u64,
    ) -> std::io::Result<()> {
        let listener = TcpListener::bind(("127.0.0.1", crate::free_port()?))?;
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let server = Arc::new(Server {
            id: id.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr()?,
            born: born.map_or(0, |born| born.as_millis() as u64),
            state: Mutex::new(State {
                is_primary,
                term,
                held: 0,
                log,
                is_up: true,
                streams: Vec::new(),
                connections: 0,
            }),
            receipts: AtomicU64::new(0),
        });
        self.record.line(&format!(
            "server {id} starts as {} at {}",
            if is_primary { "primary" } else { "replica" },
            server.state.lock().unwrap().position()
        ));
        self.servers.lock().unwrap().push(server.clone());
        self.register(&server, 1);
        let (cluster, accepting) = (self.clone(), server.clone());
        spawn(move || {
            for stream in listener.incoming().flatten() {
                if !accepting.is_up() || cluster.is_stopped.load(Ordering::Relaxed) {
                    // Dropping the listener refuses connections, as a crashed server does.
                    return;
                }
                let (cluster, server) = (cluster.clone(), accepting.clone());
                spawn(move || cluster.serve(&server, stream));
            }
        });
        let cluster = self.clone();
        spawn(move || {
            let mut sequence = 1;
            while !cluster.is_stopped.load(Ordering::Relaxed) {
                sleep(HEARTBEAT);
                if !server.is_up() {
                    // The entry of a silent server is removed after three intervals.
                    sleep(HEARTBEAT * 2);
                    cluster.store.remove("servers", &server.id);
                    return;
                }
                sequence += 1;
                cluster.register(&server, sequence);
            }
        });
        Ok(())
    }

    /// Writes the entry in which a server describes itself.
    fn register(&self, server: &Server, sequence: u64) {
        let role = if server.is_primary() { "primary" } else { "replica" };
        let entry = format!(
            "{{\"service\":\"{GROUP}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{SLOTS},\
             \"state\":\"ready\",\"cold_left_ms\":0,\"seq\":{sequence},\"db_role\":\"{role}\",\"born\":{}}}",
            server.address, server.zone, server.born
        );
        self.store.set("servers", &server.id, &entry);
    }

    /// Ends a server without notice; its log is kept for its return.
    pub fn crash(&self, server: &Server) {
        self.record.line(&format!("server {} crashes", server.id));
        let mut state = server.state.lock().unwrap();
        state.is_up = false;
        for stream in state.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        drop(state);
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect(server.address);
    }

    /// Carries out an order to promote; returns the status of the answer.
    pub fn promote(self: &Arc<Self>, id: &str) -> u16 {
        let servers = self.servers();
        let Some(server) = servers.into_iter().find(|server| server.id == id) else {
            return 409;
        };
        if server.is_primary() {
            return 200;
        }
        let cluster = self.clone();
        spawn(move || {
            sleep(PROMOTION);
            if !server.is_up() {
                return;
            }
            let others = cluster.servers();
            let newest = others.iter().map(|other| other.content().1).max().unwrap_or(1);
            let mut state = server.state.lock().unwrap();
            state.is_primary = true;
            state.term = newest + 1;
            let position = state.position();
            drop(state);
            cluster.record.line(&format!("server {} leads term {} from {position}", server.id, newest + 1));
            cluster.register(&server, 1_000);
            // A former primary that reaches the new one follows it a second later.
            sleep(Duration::from_secs(1));
            for other in cluster.servers() {
                let mut state = other.state.lock().unwrap();
                if other.id != server.id && state.is_primary && state.term <= newest {
                    state.is_primary = false;
                }
            }
        });
        200
    }

    /// Copies the log of the primary of the newest term to the replicas.
    fn replicate(&self) {
        let servers = self.servers();
        let primary = servers.iter().filter(|server| server.is_primary());
        let Some(primary) = primary.max_by_key(|server| server.content().1) else {
            return;
        };
        let (log, term) = primary.content();
        for server in servers.iter().filter(|server| !server.is_primary()) {
            let mut state = server.state.lock().unwrap();
            state.log.clone_from(&log);
            state.term = state.term.max(term);
        }
    }

    fn serve(&self, server: &Arc<Server>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (Ok(mut output), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        {
            let mut state = server.state.lock().unwrap();
            if !state.is_up {
                return;
            }
            state.connections += 1;
            state.streams.push(kept);
            if state.streams.len() > 200 {
                state.streams.retain(|stream| stream.peer_addr().is_ok());
            }
        }
        let mut session = Session::default();
        let mut input = BufReader::new(stream);
        let mut line = String::new();
        while matches!(input.read_line(&mut line), Ok(1..)) && server.is_up() {
            let answer = self.answer(server, &mut session, line.trim_end_matches(['\r', '\n']));
            line.clear();
            if !server.is_up() || output.write_all(answer.as_bytes()).is_err() {
                break;
            }
            if session.is_closed {
                break;
            }
        }
        server.state.lock().unwrap().connections -= 1;
        let _ = output.shutdown(Shutdown::Both);
    }

    fn answer(&self, server: &Server, session: &mut Session, line: &str) -> String {
        if let Some(fields) = line.strip_prefix("CONNECT ") {
            let fields: Vec<&str> = fields.splitn(3, ' ').collect();
            let is_addressed = fields[0] == GROUP && fields.get(2).is_none_or(|id| *id == server.id);
            let state = server.state.lock().unwrap();
            if !is_addressed {
                session.is_closed = true;
                return "ERROR MISDIRECT another server\r\n".to_owned();
            }
            if state.connections > MAX_CONNECTIONS {
                session.is_closed = true;
                return "ERROR TOOMANY connections\r\n".to_owned();
            }
            return format!("READY I {}\r\n", state.position());
        }
        let Some((id, text)) = line.strip_prefix("QUERY ").and_then(|rest| rest.split_once(' ')) else {
            session.is_closed = true;
            return String::new();
        };
        if id != "-" {
            sleep(WORK);
        }
        let begun = Instant::now();
        let mut state = server.state.lock().unwrap();
        let outcome = session.run(server, &mut state, id, text);
        let letter = match &session.transaction {
            None => 'I',
            Some(_) if session.has_failed => 'E',
            Some(_) => 'T',
        };
        let answer = format!("{outcome}READY {letter} {}\r\n", state.position());
        drop(state);
        if id != "-" {
            let at = begun.elapsed().as_micros();
            self.record.line(&format!("server {} ran {id} {text} in {at} us", server.id));
        }
        answer
    }
}

#[derive(Default)]
struct Session {
    is_closed: bool,
    /// Writes of the open transaction.
    transaction: Option<Vec<(String, String)>>,
    has_failed: bool,
    prepared: BTreeMap<String, (bool, String)>,
}

impl Session {
    fn run(&mut self, server: &Server, state: &mut State, id: &str, text: &str) -> String {
        let mut text = text.to_owned();
        if let Some(rest) = text.strip_prefix("AFTER ") {
            let (position, rest) = rest.split_once(' ').unwrap_or((rest, ""));
            if !state.reached(position) {
                return "ERROR LAGGING behind\r\n".to_owned();
            }
            text = rest.to_owned();
        }
        let receipt = || {
            let number = server.receipts.fetch_add(1, Ordering::Relaxed);
            format!("DONE {}.{number}.{id}\r\n", server.id)
        };
        let words: Vec<&str> = text.splitn(3, ' ').collect();
        let read_only = "ERROR READONLY a replica\r\n".to_owned();
        match words[..] {
            ["STATUS"] => status(state),
            ["DEMOTE", term] => {
                let term = term.parse().unwrap_or(0);
                state.held = state.held.max(term);
                if state.is_primary && state.term < term {
                    state.is_primary = false;
                }
                status(state)
            }
            ["RESET"] => {
                self.prepared.clear();
                "DONE -\r\n".to_owned()
            }
            ["BEGIN"] if !state.is_primary => read_only,
            ["BEGIN"] | ["BEGIN", "READ"] => {
                self.transaction = Some(Vec::new());
                self.has_failed = false;
                receipt()
            }
            ["ROLLBACK"] => {
                self.transaction = None;
                "DONE -\r\n".to_owned()
            }
            ["COMMIT"] => {
                let writes = self.transaction.take().unwrap_or_default();
                if self.has_failed || (!writes.is_empty() && !state.is_primary) {
                    return read_only;
                }
                let term = state.term;
                state.log.extend(writes.into_iter().map(|(item, data)| (term, item, data)));
                receipt()
            }
            ["READ", item] => {
                let found = state.log.iter().rev().find(|(_, written, _)| written == item);
                let row = found.map_or(String::new(), |(_, _, data)| format!("ROW {data}\r\n"));
                row + &receipt()
            }
            ["WRITE", ..] if !state.is_primary => read_only,
            ["WRITE", item, data] => {
                let write = (item.to_owned(), data.to_owned());
                match &mut self.transaction {
                    Some(writes) => writes.push(write),
                    None => state.log.push((state.term, write.0, write.1)),
                }
                receipt()
            }
            ["SET", ..] => "DONE -\r\n".to_owned(),
            ["PREPARE", name, rest] => {
                let (access, shape) = rest.split_once(' ').unwrap_or((rest, ""));
                let prepared = (access == "WRITE", shape.to_owned());
                self.prepared.insert(name.to_owned(), prepared);
                "DONE -\r\n".to_owned()
            }
            _ => "ERROR FAILED not known here\r\n".to_owned(),
        }
    }
}

fn status(state: &State) -> String {
    let role = if state.is_primary { "primary" } else { "replica" };
    format!(
        "ROW {role} {} {} {} 0 0 {}\r\nDONE -\r\n",
        state.term,
        state.position(),
        state.held,
        state.connections
    )
}
