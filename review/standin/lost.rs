//! SIGTERM of a node while transactions are open: requests that are sent in them later than
//! half of the grace period after it.

use crate::net::{Client, is_ready, new_id, wait_for};
use crate::util::{Node, SIGTERM, free_address, note, now_ms, sleep_ms, sleep_until};
use crate::world::World;
use crate::{Verdict, ZONES};
use std::sync::{Arc, Mutex};

/// Transactions that are open at the node: half of them write at the primary, the others
/// read at any server.
const SESSIONS: u64 = 12;

/// Work of a statement, as the sheet's `sale-commit` has at most.
const WORK_MS: u64 = 60;

/// Pause of a client between two statements.
const PAUSE_MS: u64 = 500;

/// Most statements of a transaction.
const STATEMENTS: usize = 12;

/// Grace period, as in the sheet.
const GRACE_MS: u64 = 6_000;

/// A request of a transaction, and when its answer was complete or its connection ended.
#[derive(Clone, Debug)]
struct Sent {
    id: String,
    at: u64,
    ended: u64,
    is_answered: bool,
}

pub fn run(folder: &str, has_trouble: bool) -> Verdict {
    let world = World::new(WORK_MS);
    for (index, zone) in ZONES.iter().enumerate() {
        world.start_server(&format!("i-{index}"), "ledger", zone, index == 0);
    }
    world.configure(1, &["ledger"]);
    let platform = world.serve_platform();
    let nodes: Vec<Node> = ZONES
        .iter()
        .map(|zone| {
            let name = format!("front-{zone}-1");
            Node::start(
                folder,
                &name,
                zone,
                free_address(),
                platform,
                platform,
                true,
            )
        })
        .collect();
    if !wait_for(20, || nodes.iter().all(|node| is_ready(node.ready))) {
        return Err("the nodes do not become ready".to_owned());
    }
    sleep_ms(1_500);
    let node = &nodes[1];
    let begin = now_ms() + 200;
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let threads: Vec<_> = (0..SESSIONS)
        .map(|number| {
            let (address, sent) = (node.callers, sent.clone());
            // Spread, so that the statements of the sessions follow each other.
            let begin = begin + number * (WORK_MS + PAUSE_MS) / SESSIONS;
            std::thread::spawn(move || transaction(address, number, begin, &sent))
        })
        .collect();
    // All transactions are open by then.
    sleep_until(begin + WORK_MS + PAUSE_MS + 100);
    let term = now_ms();
    if has_trouble {
        note(&format!("SIGTERM to {}", node.name));
        node.signal(SIGTERM);
    }
    for thread in threads {
        thread.join().map_err(|_| "a client failed".to_owned())?;
    }
    if has_trouble {
        let has_ended = wait_for(3, || node.has_ended());
        note(&format!(
            "the node has {}ended by itself",
            if has_ended { "" } else { "not " }
        ));
    }
    let runs = world.with(|state| state.runs.clone());
    let sent = sent.lock().unwrap().clone();
    if sent.len() < SESSIONS as usize * 6 {
        return Err("too few statements were sent".to_owned());
    }
    let mut lost = 0;
    for request in sent.iter().filter(|request| !request.is_answered) {
        let Some(run) = runs.iter().find(|run| run.id == request.id) else {
            continue;
        };
        let after = request.at.saturating_sub(term);
        // Not counted: a request that was sent no later than 3 s after the SIGTERM while its
        // server was still at work in the last sixth of the grace period; and connections
        // that end later than 1 s after the grace period.
        let is_counted = after > 3_000 && request.ended < term + GRACE_MS + 1_000;
        note(&format!(
            "{}: sent {after} ms after the SIGTERM, run at {} since {} ms after it, its connection ended \
             {} ms after it was sent and {} ms after the SIGTERM without an answer{}",
            request.id,
            run.server,
            run.began.saturating_sub(term),
            request.ended - request.at,
            request.ended.saturating_sub(term),
            if is_counted {
                ": LOST"
            } else {
                " (not counted)"
            }
        ));
        lost += usize::from(is_counted);
    }
    note(&format!(
        "{} statements sent, {lost} lost after they were passed on",
        sent.len()
    ));
    if !has_trouble && sent.iter().any(|request| !request.is_answered) {
        return Ok(false);
    }
    Ok(lost == 0)
}

/// Runs one transaction of up to [`STATEMENTS`] statements, which writes and commits.
fn transaction(address: std::net::SocketAddr, number: u64, begin: u64, sent: &Mutex<Vec<Sent>>) {
    let is_writing = number % 2 == 0;
    let database = if is_writing {
        "ledger-now"
    } else {
        "ledger-old"
    };
    let Some(mut client) = Client::open(address, database, &format!("u{number}")) else {
        note(&format!("client u{number} is refused"));
        return;
    };
    sleep_until(begin);
    let mut texts = vec![if is_writing { "BEGIN" } else { "BEGIN READ" }.to_owned()];
    for step in 1..STATEMENTS - 1 {
        texts.push(match step % 3 {
            0 if is_writing => format!("WRITE w{number} {step}"),
            _ => format!("READ r{number}"),
        });
    }
    texts.push("COMMIT".to_owned());
    for text in texts {
        let (id, at) = (new_id(), now_ms());
        let answer = client.query(&id, &text);
        let is_done = answer.as_ref().is_some_and(|answer| answer.is_done());
        if !text.starts_with("BEGIN") {
            sent.lock().unwrap().push(Sent {
                id,
                at,
                ended: now_ms(),
                is_answered: answer.is_some(),
            });
        }
        if !is_done {
            return;
        }
        sleep_ms(PAUSE_MS);
    }
}
