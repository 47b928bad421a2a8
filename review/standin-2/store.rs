//! The platform's metadata store and its promotion service, over HTTP/1.1.

use crate::Record;
use crate::json::{self, Value};
use crate::servers::Cluster;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread::spawn;
use std::time::{Duration, Instant};

/// Table and key of a row.
type Key = (String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    /// Values in Base64, with their versions.
    rows: BTreeMap<Key, (String, u64)>,
    /// Versions of deletions.
    deleted: BTreeMap<Key, u64>,
}

pub struct Store {
    pub address: SocketAddr,
    rows: Mutex<Rows>,
    changed: Condvar,
    promoter: OnceLock<Arc<Cluster>>,
    record: Arc<Record>,
    started: Instant,
}

/// Starts the store at a free loopback address.
pub fn start(record: Arc<Record>) -> std::io::Result<Arc<Store>> {
    let listener = TcpListener::bind(("127.0.0.1", crate::free_port()?))?;
    let store = Arc::new(Store {
        address: listener.local_addr()?,
        rows: Mutex::default(),
        changed: Condvar::new(),
        promoter: OnceLock::new(),
        record,
        started: Instant::now(),
    });
    let serving = store.clone();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let store = serving.clone();
            spawn(move || store.serve(stream));
        }
    });
    Ok(store)
}

impl Store {
    pub fn set_promoter(&self, cluster: Arc<Cluster>) {
        let _ = self.promoter.set(cluster);
    }

    /// Writes a row as the operator or a server does.
    pub fn set(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let key = (table.to_owned(), key.to_owned());
        rows.deleted.remove(&key);
        rows.rows.insert(key, (json::base64(value.as_bytes()), version));
        self.changed.notify_all();
    }

    /// Removes a row as it expires.
    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().unwrap();
        let key = (table.to_owned(), key.to_owned());
        if rows.rows.remove(&key).is_some() {
            rows.version += 1;
            let version = rows.version;
            rows.deleted.insert(key, version);
            self.changed.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut output) = stream.try_clone() else { return };
        let mut input = BufReader::new(stream);
        while let Some((head, body)) = read_request(&mut input) {
            let (status, answer) = self.answer(&head, &body);
            let head = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                answer.len()
            );
            if output.write_all((head + &answer).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &[String], body: &[u8]) -> (u16, String) {
        let mut words = head[0].split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = parse_query(query);
        match (method, path) {
            ("GET", "/v1/rows-get") => (200, self.get(&query)),
            ("GET", "/v1/rows-feed") => (200, self.feed(&query)),
            ("POST", "/v1/rows-tx") => self.transact(body),
            ("POST", "/promote") => self.promote(head, body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn get(&self, query: &BTreeMap<String, String>) -> String {
        let rows = self.rows.lock().unwrap();
        let table = query.get("table").map_or("", String::as_str);
        let from = query.get("from").map_or("", String::as_str);
        let to = query.get("to");
        let found = rows.rows.iter().filter(|((of, key), _)| {
            of == table && key.as_str() >= from && to.is_none_or(|to| key < to)
        });
        let found: Vec<_> = found
            .map(|((_, key), (value, version))| row(table, key, Some(value), *version))
            .collect();
        self.page(&found, rows.version)
    }

    fn feed(&self, query: &BTreeMap<String, String>) -> String {
        let table = query.get("table").map_or("", String::as_str);
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let (after, wait) = (number("after"), Duration::from_millis(number("wait_ms")));
        let begun = Instant::now();
        let mut rows = self.rows.lock().unwrap();
        loop {
            let set = rows.rows.iter().filter(|((of, _), (_, version))| of == table && *version > after);
            let set = set.map(|((_, key), (value, version))| (*version, row(table, key, Some(value), *version)));
            let gone = rows.deleted.iter().filter(|((of, _), version)| of == table && **version > after);
            let gone = gone.map(|((_, key), version)| (*version, row(table, key, None, *version)));
            let mut found: Vec<_> = set.chain(gone).collect();
            found.sort();
            let left = wait.saturating_sub(begun.elapsed());
            if !found.is_empty() || left.is_zero() {
                let found: Vec<_> = found.into_iter().map(|(_, row)| row).collect();
                return self.page(&found, rows.version);
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn page(&self, rows: &[String], version: u64) -> String {
        format!(
            "{{\"rows\":[{}],\"has_more\":false,\"ver\":{version},\"now_ms\":{}}}",
            rows.join(","),
            self.started.elapsed().as_millis()
        )
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(change) = json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let key = |entry: &Value| {
            let text = |name| entry.text(name).unwrap_or("").to_owned();
            (text("table"), text("key"))
        };
        let mut rows = self.rows.lock().unwrap();
        let is_expected = change.list("expected_rev").iter().all(|entry| {
            let known = rows.rows.get(&key(entry)).map_or(0, |(_, version)| *version);
            entry.number("ver") == Some(known)
        });
        if !is_expected {
            return (412, "{\"rows\":[]}".to_owned());
        }
        rows.version += 1;
        let version = rows.version;
        for entry in change.list("set_keys") {
            let value = entry.text("value").unwrap_or("").to_owned();
            rows.deleted.remove(&key(entry));
            rows.rows.insert(key(entry), (value, version));
        }
        for entry in change.list("delete_keys") {
            if rows.rows.remove(&key(entry)).is_some() {
                rows.deleted.insert(key(entry), version);
            }
        }
        self.changed.notify_all();
        (200, format!("{{\"ver\":{version},\"now_ms\":{}}}", self.started.elapsed().as_millis()))
    }

    fn promote(&self, head: &[String], body: &[u8]) -> (u16, String) {
        let field = |name: &str| {
            let found = head.iter().find_map(|line| {
                let (key, value) = line.split_once(':')?;
                key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
            });
            found.unwrap_or_default()
        };
        let order = json::parse(body);
        let id = order.as_ref().and_then(|order| order.text("id")).unwrap_or("").to_owned();
        let status = self.promoter.get().map_or(503, |cluster| cluster.promote(&id));
        self.record.line(&format!(
            "platform: POST /promote {id} by {} with token {} -> {status}",
            field("X-Duty-Holder"),
            field("X-Fence-Token")
        ));
        (status, "{}".to_owned())
    }
}

fn row(table: &str, key: &str, value: Option<&String>, version: u64) -> String {
    let content = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"deleted\":true".to_owned(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{content},\"ver\":{version}}}")
}

/// Reads a request: its line and headers, and its body.
fn read_request(input: &mut BufReader<TcpStream>) -> Option<(Vec<String>, Vec<u8>)> {
    let mut head = Vec::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().ok()?;
        }
        head.push(line);
    }
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    (!head.is_empty()).then_some((head, body))
}

fn parse_query(text: &str) -> BTreeMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), decode(value))).collect()
}

/// Decodes the percent encoding.
fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        rest = tail;
        let code = tail.get(..2).and_then(|code| std::str::from_utf8(code).ok());
        match (first, code.and_then(|code| u8::from_str_radix(code, 16).ok())) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            (b'+', _) => bytes.push(b' '),
            (byte, _) => bytes.push(*byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
