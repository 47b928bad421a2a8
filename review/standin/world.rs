//! Stand-ins of the platform (store and promotions) and of the database servers.

use crate::util::{base64, note, now_ms, parse_json, quote, sleep_ms};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Time from an order to promote until the server leads, in milliseconds.
pub const PROMOTE_MS: u64 = 1_000;

/// Time after which a former primary that reaches the new one follows it.
const FOLLOW_MS: u64 = 1_000;

/// Statements that a server runs at once.
const SLOTS: usize = 3;

/// Connections that a server accepts.
pub const CONNECTIONS: usize = 21;

/// An entry of a server's log.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub term: u64,
    pub id: String,
    pub item: String,
    pub data: String,
}

/// A database server.
#[derive(Clone, Debug)]
pub struct Server {
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub is_primary: bool,
    pub is_draining: bool,
    pub term: u64,
    pub log: Vec<Entry>,
    pub busy: usize,
    pub connections: usize,
}

impl Server {
    pub fn position(&self) -> (u64, u64) {
        let term = self.log.last().map_or(1, |entry| entry.term);
        (term, self.log.len() as u64)
    }
}

/// An order to promote that has reached the platform.
#[derive(Clone, Debug)]
pub struct Order {
    pub at: u64,
    pub service: String,
    pub server: String,
    pub holder: String,
    pub fence: u64,
}

/// A run of a statement at a server.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub server: String,
    pub began: u64,
    pub ended: Option<u64>,
    /// Position of its commit.
    pub commit: Option<(u64, u64)>,
}

#[derive(Default)]
pub struct State {
    pub rows: BTreeMap<(String, String), (String, u64)>,
    pub version: u64,
    /// Changes: version, table, key, and value unless the row was deleted.
    changes: Vec<(u64, String, String, Option<String>)>,
    pub servers: BTreeMap<String, Server>,
    pub orders: Vec<Order>,
    pub runs: Vec<Run>,
    /// When a promotion took effect: time, service, server.
    pub effects: Vec<(u64, String, String)>,
    /// Work of a statement in milliseconds.
    pub work_ms: u64,
    sequence: u64,
}

pub struct World {
    pub state: Mutex<State>,
    changed: Condvar,
    pub slot_freed: Condvar,
}

impl World {
    pub fn new(work_ms: u64) -> Arc<World> {
        let state = State {
            work_ms,
            ..State::default()
        };
        let world = Arc::new(World {
            state: Mutex::new(state),
            changed: Condvar::new(),
            slot_freed: Condvar::new(),
        });
        let replicating = world.clone();
        std::thread::spawn(move || {
            loop {
                sleep_ms(8);
                replicating.with(replicate);
            }
        });
        world
    }

    pub fn with<R>(&self, action: impl FnOnce(&mut State) -> R) -> R {
        action(&mut self.state.lock().unwrap())
    }

    fn set_row(&self, state: &mut State, table: &str, key: &str, value: Option<String>) {
        state.version += 1;
        let version = state.version;
        let name = (table.to_owned(), key.to_owned());
        match &value {
            Some(value) => state.rows.insert(name, (value.clone(), version)),
            None => state.rows.remove(&name),
        };
        state
            .changes
            .push((version, table.to_owned(), key.to_owned(), value));
        self.changed.notify_all();
    }

    /// Writes the configuration: for each service S the databases S-now (`primary`), S-own
    /// (`own`) and S-old (`bounded_staleness`), with the figures of the site's sheet.
    pub fn configure(&self, version: u64, services: &[&str]) {
        let mut routes = Vec::new();
        for service in services {
            for (suffix, kind, timeout, target, prio, stale) in [
                ("now", "primary", 1_000, 200, 0, ""),
                ("own", "own", 1_000, 400, 1, ",\"max_stale_ms\":2500"),
                (
                    "old",
                    "bounded_staleness",
                    2_000,
                    1_200,
                    2,
                    ",\"max_stale_ms\":1500",
                ),
            ] {
                routes.push(format!(
                    "{{\"name\":\"r-{service}-{suffix}\",\"host\":\"{service}-{suffix}\",\
                     \"path_prefix\":\"/\",\"type\":\"{kind}\",\"timeout_ms\":{timeout},\
                     \"target_latency_ms\":{target},\"prio\":{prio},\"service\":\"{service}\",\
                     \"attempts\":2{stale}}}"
                ));
            }
        }
        let services: Vec<_> = services
            .iter()
            .map(|service| {
                format!(
                    "{{\"name\":\"{service}\",\"health_path\":\"/health\",\
                     \"max_conns\":{CONNECTIONS},\"sync_replicas\":0}}"
                )
            })
            .collect();
        let text = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
             \"limits\":{{\"tx_idle_ms\":3000}}}}",
            routes.join(","),
            services.join(",")
        );
        self.with(|state| self.set_row(state, "op", "config", Some(base64(text.as_bytes()))));
    }

    /// Starts a server of term 1 and registers it.
    pub fn start_server(self: &Arc<Self>, id: &str, service: &str, zone: &str, is_primary: bool) {
        self.start_server_behind(id, service, zone, is_primary, |address| address);
    }

    /// Starts a server whose address for the nodes is the one that `path` returns for its
    /// own.
    pub fn start_server_behind(
        self: &Arc<Self>,
        id: &str,
        service: &str,
        zone: &str,
        is_primary: bool,
        path: impl Fn(SocketAddr) -> SocketAddr,
    ) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let server = Server {
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: path(listener.local_addr().unwrap()),
            is_primary,
            is_draining: false,
            term: 1,
            log: Vec::new(),
            busy: 0,
            connections: 0,
        };
        self.with(|state| {
            state.servers.insert(id.to_owned(), server);
            self.register(state, id);
        });
        let (world, id) = (self.clone(), id.to_owned());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (world, id) = (world.clone(), id.clone());
                std::thread::spawn(move || {
                    let is_full = world.with(|state| {
                        let server = state.servers.get_mut(&id).unwrap();
                        server.connections += 1;
                        server.connections > CONNECTIONS
                    });
                    let _ = serve_database(&world, &id, &stream, is_full);
                    world.with(|state| state.servers.get_mut(&id).unwrap().connections -= 1);
                });
            }
        });
    }

    /// Writes a server's row, if it is listed.
    pub fn register(&self, state: &mut State, id: &str) {
        state.sequence += 1;
        let sequence = state.sequence;
        let server = &state.servers[id];
        let text = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{SLOTS},\"state\":\"{}\",\"cold_left_ms\":0,\"db_role\":\"{}\",\
             \"seq\":{sequence},\"born\":1700000000000}}",
            server.service,
            server.address,
            server.zone,
            if server.is_draining {
                "draining"
            } else {
                "ready"
            },
            if server.is_primary {
                "primary"
            } else {
                "replica"
            },
        );
        self.set_row(state, "servers", id, Some(base64(text.as_bytes())));
    }

    /// Reports that a server is about to leave.
    pub fn drain(&self, id: &str) {
        self.with(|state| {
            state.servers.get_mut(id).unwrap().is_draining = true;
            self.register(state, id);
        });
        note(&format!("server {id} reports that it is draining"));
    }

    /// Serves the platform at a new address.
    pub fn serve_platform(self: &Arc<Self>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().unwrap();
        let world = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let world = world.clone();
                std::thread::spawn(move || {
                    let _ = world.serve_http(&stream);
                });
            }
        });
        address
    }

    fn serve_http(self: &Arc<Self>, stream: &TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let mut words = line.split_whitespace();
            let (method, target) = (
                words.next().unwrap_or("").to_owned(),
                words.next().unwrap_or("").to_owned(),
            );
            let mut headers = BTreeMap::new();
            loop {
                let mut line = String::new();
                if reader.read_line(&mut line)? == 0 {
                    return Ok(());
                }
                let Some((name, value)) = line.trim_end().split_once(':') else {
                    break;
                };
                headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
            let length = headers.get("content-length");
            let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let query: BTreeMap<String, String> = query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .map(|(name, value)| (name.to_owned(), decode_percent(value)))
                .collect();
            sleep_ms(3);
            let (status, text) = match (method.as_str(), path) {
                ("GET", "/v1/rows-get") => (200, self.rows_get(&query)),
                ("GET", "/v1/rows-feed") => (200, self.rows_feed(&query)),
                ("POST", "/v1/rows-tx") => self.rows_tx(&body),
                ("POST", "/promote") => self.promote(&headers, &body),
                _ => (404, "{}".to_owned()),
            };
            let response = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n\
                 content-length: {}\r\n\r\n{text}",
                text.len()
            );
            writer.write_all(response.as_bytes())?;
        }
    }

    fn rows_get(&self, query: &BTreeMap<String, String>) -> String {
        let table = &query["table"];
        let from = query.get("from").cloned().unwrap_or_default();
        let to = query.get("to").filter(|to| !to.is_empty());
        self.with(|state| {
            let rows = state.rows.iter().filter(|((of, key), _)| {
                of == table && *key >= from && to.is_none_or(|to| key < to)
            });
            let rows: Vec<_> = rows
                .map(|((_, key), (value, version))| row(table, key, Some(value), *version))
                .collect();
            format!(
                "{{\"rows\":[{}],\"has_more\":false,\"ver\":{},\"now_ms\":{}}}",
                rows.join(","),
                state.version,
                now_ms()
            )
        })
    }

    fn rows_feed(&self, query: &BTreeMap<String, String>) -> String {
        let table = &query["table"];
        let after: u64 = query["after"].parse().unwrap_or(0);
        let wait: u64 = query["wait_ms"].parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        loop {
            let changes = state.changes.iter();
            let rows: Vec<_> = changes
                .filter(|(version, of, _, _)| *version > after && of == table)
                .map(|(version, _, key, value)| row(table, key, value.as_ref(), *version))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return format!(
                    "{{\"rows\":[{}],\"ver\":{},\"now_ms\":{}}}",
                    rows.join(","),
                    state.version,
                    now_ms()
                );
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn rows_tx(&self, body: &[u8]) -> (u16, String) {
        let body = parse_json(body);
        let mut state = self.state.lock().unwrap();
        let key = |entry: &crate::util::Json| {
            (
                entry.get("table").text().to_owned(),
                entry.get("key").text().to_owned(),
            )
        };
        for entry in body.get("expected_rev").list() {
            let version = state
                .rows
                .get(&key(entry))
                .map_or(0, |(_, version)| *version);
            if version != entry.get("ver").number() {
                return (412, "{\"rows\":[]}".to_owned());
            }
        }
        state.version += 1;
        let version = state.version;
        for entry in body.get("set_keys").list() {
            let (table, name) = key(entry);
            let value = entry.get("value").text().to_owned();
            state
                .rows
                .insert((table.clone(), name.clone()), (value.clone(), version));
            state.changes.push((version, table, name, Some(value)));
        }
        for entry in body.get("delete_keys").list() {
            let (table, name) = key(entry);
            state.rows.remove(&(table.clone(), name.clone()));
            state.changes.push((version, table, name, None));
        }
        self.changed.notify_all();
        (
            200,
            format!("{{\"ver\":{version},\"now_ms\":{}}}", now_ms()),
        )
    }

    fn promote(self: &Arc<Self>, headers: &BTreeMap<String, String>, body: &[u8]) -> (u16, String) {
        let body = parse_json(body);
        let header = |name: &str| headers.get(name).cloned().unwrap_or_default();
        let order = Order {
            at: now_ms(),
            service: body.get("service").text().to_owned(),
            server: body.get("id").text().to_owned(),
            holder: header("x-duty-holder"),
            fence: header("x-fence-token").parse().unwrap_or(0),
        };
        note(&format!(
            "the platform receives POST /promote: service {}, id {}, X-Duty-Holder {}, X-Fence-Token {}",
            order.service, order.server, order.holder, order.fence
        ));
        let (service, id) = (order.service.clone(), order.server.clone());
        let is_known = self.with(|state| {
            state.orders.push(order);
            let server = state.servers.get(&id);
            server.map(|server| server.is_primary)
        });
        match is_known {
            None => return (409, "{}".to_owned()),
            Some(true) => return (200, "{}".to_owned()),
            Some(false) => {}
        }
        let world = self.clone();
        std::thread::spawn(move || {
            sleep_ms(PROMOTE_MS);
            let is_new = world.with(|state| {
                if state.servers[&id].is_primary {
                    return false;
                }
                let group = state.servers.values().filter(|s| s.service == service);
                let term = group.map(|server| server.term).max().unwrap_or(0) + 1;
                let server = state.servers.get_mut(&id).unwrap();
                server.is_primary = true;
                server.term = term;
                state.effects.push((now_ms(), service.clone(), id.clone()));
                note(&format!(
                    "server {id} leads service {service} in term {term}"
                ));
                world.register(state, &id);
                true
            });
            if !is_new {
                return;
            }
            sleep_ms(FOLLOW_MS);
            world.with(|state| {
                let term = state.servers[&id].term;
                let former: Vec<_> = state
                    .servers
                    .iter()
                    .filter(|(_, s)| s.service == service && s.is_primary && s.term < term)
                    .map(|(name, _)| name.clone())
                    .collect();
                for name in former {
                    state.servers.get_mut(&name).unwrap().is_primary = false;
                    note(&format!("server {name} follows {id}"));
                    world.register(state, &name);
                }
            });
        });
        (200, "{}".to_owned())
    }
}

/// Copies the log of each service's newest primary to its replicas.
fn replicate(state: &mut State) {
    let services: std::collections::BTreeSet<_> =
        state.servers.values().map(|s| s.service.clone()).collect();
    for service in services {
        let group = state.servers.values();
        let primary = group
            .filter(|server| server.service == service && server.is_primary)
            .max_by_key(|server| server.term);
        let Some((term, log)) = primary.map(|primary| (primary.term, primary.log.clone())) else {
            continue;
        };
        for server in state.servers.values_mut() {
            if server.service == service && !server.is_primary {
                server.term = term;
                if server.log.len() != log.len() || server.log.last() != log.last() {
                    server.log.clone_from(&log);
                }
            }
        }
    }
}

fn row(table: &str, key: &str, value: Option<&String>, version: u64) -> String {
    let value = match value {
        Some(value) => format!("\"value\":{}", quote(value)),
        None => "\"deleted\":true".to_owned(),
    };
    format!(
        "{{\"table\":{},\"part\":\"\",\"key\":{},{value},\"ver\":{version}}}",
        quote(table),
        quote(key)
    )
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'%' if at + 2 < bytes.len() => {
                let code = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("00");
                decoded.push(u8::from_str_radix(code, 16).unwrap_or(0));
                at += 3;
            }
            b'+' => {
                decoded.push(b' ');
                at += 1;
            }
            byte => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// State of a connection to a server.
#[derive(Default)]
struct Session {
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, String>,
    /// Whether the open transaction is read-only, and its writes.
    transaction: Option<(bool, Vec<(String, String, String)>)>,
}

fn serve_database(
    world: &Arc<World>,
    id: &str,
    stream: &TcpStream,
    is_full: bool,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    let mut session = Session::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if is_full {
            return writer.write_all(b"ERROR TOOMANY connections\r\n");
        }
        if let Some(rest) = line.strip_prefix("CONNECT ") {
            let words: Vec<_> = rest.split(' ').collect();
            let service = world.with(|state| state.servers[id].service.clone());
            if words.first() != Some(&&*service) || words.get(2).is_some_and(|named| named != &id) {
                return writer.write_all(b"ERROR MISDIRECT another\r\n");
            }
            sleep_ms(12);
            writer.write_all(ready(world, id, &session).as_bytes())?;
            continue;
        }
        let Some(rest) = line.strip_prefix("QUERY ") else {
            return Ok(());
        };
        let (request, text) = rest.split_once(' ').unwrap_or((rest, ""));
        let mut answer = run(world, id, &mut session, request, text);
        answer.push_str(&ready(world, id, &session));
        writer.write_all(answer.as_bytes())?;
    }
}

fn ready(world: &World, id: &str, session: &Session) -> String {
    let state = if session.transaction.is_some() {
        "T"
    } else {
        "I"
    };
    let (term, number) = world.with(|state| state.servers[id].position());
    format!("READY {state} {term}.{number}\r\n")
}

/// Takes a slot for the work of a statement.
fn work(world: &World, id: &str) {
    let mut state = world.state.lock().unwrap();
    while state.servers[id].busy >= SLOTS {
        state = world.slot_freed.wait(state).unwrap();
    }
    state.servers.get_mut(id).unwrap().busy += 1;
    let work_ms = state.work_ms;
    drop(state);
    sleep_ms(work_ms);
    world.with(|state| state.servers.get_mut(id).unwrap().busy -= 1);
    world.slot_freed.notify_all();
}

/// Runs a statement and returns the lines of its answer up to the outcome.
fn run(world: &Arc<World>, id: &str, session: &mut Session, request: &str, text: &str) -> String {
    let (floor, text) = match text.strip_prefix("AFTER ") {
        Some(rest) => rest.split_once(' ').unwrap_or((rest, "")),
        None => ("0.0", text),
    };
    let floor = floor
        .split_once('.')
        .and_then(|(term, number)| Some((term.parse::<u64>().ok()?, number.parse::<u64>().ok()?)));
    if floor > Some(world.with(|state| state.servers[id].position())) {
        return "ERROR LAGGING behind\r\n".to_owned();
    }
    let is_primary = || world.with(|state| state.servers[id].is_primary);
    let words: Vec<&str> = text.splitn(4, ' ').collect();
    match words[..] {
        ["STATUS", ..] | ["DEMOTE", ..] => {
            if words[0] == "DEMOTE" {
                let term: u64 = words.get(1).and_then(|term| term.parse().ok()).unwrap_or(0);
                world.with(|state| {
                    let server = state.servers.get_mut(id).unwrap();
                    if server.is_primary && server.term < term {
                        server.is_primary = false;
                        note(&format!("server {id} is demoted"));
                        world.register(state, id);
                    }
                });
            }
            world.with(|state| {
                let server = &state.servers[id];
                let role = if server.is_primary {
                    "primary"
                } else {
                    "replica"
                };
                let (term, number) = server.position();
                format!(
                    "ROW {role} {} {term}.{number} 0 0 {} {}\r\nDONE -\r\n",
                    server.term, server.busy, server.connections
                )
            })
        }
        ["RESET"] => {
            session.values.clear();
            session.prepared.clear();
            "DONE -\r\n".to_owned()
        }
        ["SET", name, value, ..] => {
            session.values.insert(name.to_owned(), value.to_owned());
            "DONE -\r\n".to_owned()
        }
        ["PREPARE", name, access, shape] => {
            let statement = format!("{access} {shape}");
            session.prepared.insert(name.to_owned(), statement);
            "DONE -\r\n".to_owned()
        }
        ["BEGIN"] if !is_primary() => "ERROR READONLY replica\r\n".to_owned(),
        ["BEGIN", ..] => {
            session.transaction = Some((words.len() > 1, Vec::new()));
            "DONE -\r\n".to_owned()
        }
        ["ROLLBACK"] => {
            session.transaction = None;
            "DONE -\r\n".to_owned()
        }
        ["READ", ..] | ["WRITE", ..] | ["COMMIT"] => execute(world, id, session, request, &words),
        ["EXECUTE", name, ..] => match session.prepared.get(name).cloned() {
            Some(statement) => {
                let access = statement.split(' ').next().unwrap_or("").to_owned();
                let mut words = words.clone();
                words[0] = &access;
                words.remove(1);
                execute(world, id, session, request, &words)
            }
            None => "ERROR NOSTMT unknown\r\n".to_owned(),
        },
        _ => "ERROR FAILED unknown\r\n".to_owned(),
    }
}

/// Runs a read, a write or a COMMIT.
fn execute(
    world: &Arc<World>,
    id: &str,
    session: &mut Session,
    request: &str,
    words: &[&str],
) -> String {
    note(&format!(
        "server {id} begins to run {request}: {}",
        words.join(" ")
    ));
    let index = world.with(|state| {
        state.runs.push(Run {
            id: request.to_owned(),
            server: id.to_owned(),
            began: now_ms(),
            ended: None,
            commit: None,
        });
        state.runs.len() - 1
    });
    work(world, id);
    let mut rows = String::new();
    let answer = world.with(|state| {
        let is_primary = state.servers[id].is_primary;
        let writes = match words[0] {
            "READ" => {
                let log = &state.servers[id].log;
                let found = log
                    .iter()
                    .rev()
                    .find(|entry| Some(&&*entry.item) == words.get(1));
                let own = session
                    .transaction
                    .iter()
                    .flat_map(|(_, writes)| writes.iter().rev());
                let own = own
                    .clone()
                    .find(|(_, item, _)| Some(&&**item) == words.get(1));
                let data = own.map(|(_, _, data)| data.clone());
                let data = data.or(found.map(|entry| entry.data.clone()));
                rows = format!("ROW {}\r\n", data.unwrap_or_else(|| "none".to_owned()));
                Vec::new()
            }
            "WRITE" if !is_primary => return Err("READONLY"),
            "WRITE" => {
                let data = words.get(2..).unwrap_or(&[]).join(" ");
                let write = (request.to_owned(), words[1].to_owned(), data);
                match &mut session.transaction {
                    Some((true, _)) => return Err("READONLY"),
                    Some((false, writes)) => {
                        writes.push(write);
                        Vec::new()
                    }
                    None => vec![write],
                }
            }
            _ => {
                let (_, writes) = session.transaction.take().unwrap_or_default();
                if !writes.is_empty() && !is_primary {
                    return Err("READONLY");
                }
                writes
            }
        };
        let server = state.servers.get_mut(id).unwrap();
        let term = server.term;
        let has_written = !writes.is_empty();
        for (write, item, data) in writes {
            server.log.push(Entry {
                term,
                id: write,
                item,
                data,
            });
        }
        let position = server.position();
        if has_written {
            state.runs[index].commit = Some(position);
        }
        state.runs[index].ended = Some(now_ms());
        Ok(has_written.then_some(position))
    });
    match answer {
        Ok(commit) => {
            let commit = commit.map_or(String::new(), |(term, number)| {
                format!(", commits {term}.{number}")
            });
            note(&format!("server {id} has run {request}{commit}"));
            format!("{rows}DONE {index:x}.{id}.{request}\r\n")
        }
        Err(code) => {
            note(&format!("server {id} answers {code} to {request}"));
            format!("ERROR {code} {id}\r\n")
        }
    }
}
