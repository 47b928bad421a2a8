//! Time, recording, JSON, Base64, processes and free ports.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};

static STARTED: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

/// Returns the time since the start of the script in milliseconds.
pub fn now_ms() -> u64 {
    STARTED.get_or_init(Instant::now).elapsed().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Sleeps until `at` milliseconds after the start of the script.
pub fn sleep_until(at: u64) {
    sleep_ms(at.saturating_sub(now_ms()));
}

/// Opens the record. Lines written with [`note`] go there.
pub fn open_record(path: &str) {
    let file = File::create(path).expect("the record can be created");
    RECORD.set(Mutex::new(file)).ok();
    now_ms();
}

/// Writes a line with the time to the record.
pub fn note(line: &str) {
    let Some(record) = RECORD.get() else { return };
    let mut file = record.lock().unwrap();
    let _ = writeln!(file, "{:>9.3} s  {line}", now_ms() as f64 / 1000.0);
    let _ = file.flush();
}

/// A JSON value; numbers are kept as text.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(entries) => entries.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }
    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }
    pub fn number(&self) -> u64 {
        match self {
            Json::Number(text) => text.parse().unwrap_or(0),
            _ => 0,
        }
    }
    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(values) => values,
            _ => &[],
        }
    }
}

/// Parses a JSON document; malformed ones give null.
pub fn parse_json(bytes: &[u8]) -> Json {
    let mut at = 0;
    value(bytes, &mut at).unwrap_or(Json::Null)
}

fn blanks(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    blanks(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut entries = BTreeMap::new();
            loop {
                blanks(bytes, at);
                match bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Table(entries));
                    }
                    b',' => *at += 1,
                    _ => {
                        let Json::Text(key) = value(bytes, at)? else {
                            return None;
                        };
                        blanks(bytes, at);
                        (*bytes.get(*at)? == b':').then_some(())?;
                        *at += 1;
                        entries.insert(key, value(bytes, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut values = Vec::new();
            loop {
                blanks(bytes, at);
                match bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(values));
                    }
                    b',' => *at += 1,
                    _ => values.push(value(bytes, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            loop {
                match bytes.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return Some(Json::Text(String::from_utf8_lossy(&text).into_owned()));
                    }
                    b'\\' => {
                        let escaped = *bytes.get(*at + 1)?;
                        *at += 2;
                        match escaped {
                            b'u' => {
                                let code = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                                let code = u32::from_str_radix(code, 16).ok()?;
                                *at += 4;
                                let character = char::from_u32(code).unwrap_or('?');
                                text.extend(character.to_string().into_bytes());
                            }
                            b'n' => text.push(b'\n'),
                            b't' => text.push(b'\t'),
                            b'r' => text.push(b'\r'),
                            other => text.push(other),
                        }
                    }
                    byte => {
                        text.push(*byte);
                        *at += 1;
                    }
                }
            }
        }
        _ => {
            let start = *at;
            while bytes
                .get(*at)
                .is_some_and(|byte| byte.is_ascii_alphanumeric() || b"+-.".contains(byte))
            {
                *at += 1;
            }
            let word = std::str::from_utf8(&bytes[start..*at]).ok()?;
            match word {
                "" => None,
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => Some(Json::Number(number.to_owned())),
            }
        }
    }
}

/// Quotes a text for JSON.
pub fn quote(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index)) as usize & 63];
            let is_padding = index > chunk.len();
            text.push(if is_padding { '=' } else { digit as char });
        }
    }
    text
}

/// Returns a loopback address with a free port below the range for outgoing connections.
pub fn free_address() -> SocketAddr {
    static NEXT: Mutex<u16> = Mutex::new(0);
    let mut next = NEXT.lock().unwrap();
    if *next == 0 {
        *next = 20_000 + (std::process::id() % 250) as u16 * 40;
    }
    loop {
        *next = if *next >= 31_900 { 20_000 } else { *next + 1 };
        let address = SocketAddr::from(([127, 0, 0, 1], *next));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;

/// A node: one process of the project's program.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: String,
    log: String,
    child: Mutex<Child>,
}

impl Node {
    /// Starts a node as the deploy file says, with settings as its template gives them.
    pub fn start(
        folder: &str,
        name: &str,
        zone: &str,
        peers: SocketAddr,
        store: SocketAddr,
        promotions: SocketAddr,
        is_first_start: bool,
    ) -> Node {
        let (callers, ready, metrics) = (free_address(), free_address(), free_address());
        let settings = format!("{folder}/{name}.toml");
        let text = format!(
            "node = \"{name}\"\nzone = \"{zone}\"\ncore_share = 0.25\ncores = 1\n\
             is_first_start = {is_first_start}\ncallers = \"{callers}\"\nready = \"{ready}\"\n\
             metrics = \"{metrics}\"\npeers = \"{peers}\"\nstore = \"{store}\"\n\
             promotions = \"{promotions}\"\ngrace_seconds = 6.0\n"
        );
        std::fs::write(&settings, text).expect("the settings can be written");
        let log = format!("{folder}/{name}.log");
        note(&format!(
            "node {name} (zone {zone}) is started for callers at {callers}"
        ));
        Node {
            name: name.to_owned(),
            callers,
            ready,
            child: Mutex::new(spawn(folder, &settings, &log)),
            settings,
            log,
        }
    }

    /// Kills the process, and starts it again after `pause_ms`.
    pub fn kill_and_restart(&self, folder: &str, pause_ms: u64) {
        let mut child = self.child.lock().unwrap();
        note(&format!("SIGKILL to {}", self.name));
        let _ = child.kill();
        let _ = child.wait();
        sleep_ms(pause_ms);
        note(&format!("{} is started again", self.name));
        *child = spawn(folder, &self.settings, &self.log);
    }

    pub fn signal(&self, signal: i32) {
        let mut child = self.child.lock().unwrap();
        if matches!(child.try_wait(), Ok(None)) {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&self) -> bool {
        !matches!(self.child.lock().unwrap().try_wait(), Ok(None))
    }
}

fn spawn(folder: &str, settings: &str, log: &str) -> Child {
    let open = |path: &str| File::options().create(true).append(true).open(path);
    let log = open(log).expect("a log can be created");
    let errors = log.try_clone().expect("a log can be shared");
    let child = Command::new("target/release/agateport-platform")
        .env_clear()
        .env("AGATEPORT_BOOT", settings)
        .env("PATH", "/usr/bin:/bin")
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .expect("the program starts");
    // For `run.sh`, which ends the nodes if this process is ended.
    let mut pids = open(&format!("{folder}/pids")).expect("the folder is writable");
    writeln!(pids, "{}", child.id()).expect("it is written");
    child
}

impl Drop for Node {
    fn drop(&mut self) {
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }
}
