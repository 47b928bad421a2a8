//! The coordinator is killed and starts again while it replaces a primary that the nodes
//! can't reach; the primary is reachable again soon after.

use crate::net::{Client, Cut, is_ready, new_id, proxy, wait_for};
use crate::util::{Node, free_address, note, now_ms, sleep_ms, sleep_until};
use crate::world::World;
use crate::{Verdict, ZONES};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// Time from the kill until the process starts again.
const RESTART_MS: u64 = 500;

/// Longest time for which the primary is cut off.
const CUT_MS: u64 = 5_000;

/// An acknowledged write: its id, and when its answer arrived.
type Acknowledged = Arc<Mutex<Vec<(String, u64)>>>;

pub fn run(folder: &str, has_trouble: bool) -> Verdict {
    let world = World::new(8);
    let cut = Arc::new(Cut::default());
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    for (index, zone) in ZONES.iter().enumerate() {
        let id = format!("i-{index}");
        world.start_server_behind(&id, "ledger", zone, index == 0, |address| {
            let cuts = if index == 0 {
                vec![cut.clone()]
            } else {
                Vec::new()
            };
            proxy(any, address, cuts)
        });
    }
    world.configure(1, &["ledger"]);
    let platform = world.serve_platform();
    // Not the first start of the whole deployment, so the nodes don't spread their first
    // reads of the store, and the first one becomes the coordinator, as it mostly does.
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
                false,
            )
        })
        .collect();
    if !wait_for(20, || nodes.iter().all(|node| is_ready(node.ready))) {
        return Err("the nodes do not become ready".to_owned());
    }
    sleep_ms(2_000);
    let stop = Arc::new(AtomicBool::new(false));
    let acknowledged = Acknowledged::default();
    let clients: Vec<_> = (0..9)
        .map(|number: usize| {
            let address = nodes[number % nodes.len()].callers;
            let (stop, acknowledged) = (stop.clone(), acknowledged.clone());
            std::thread::spawn(move || write(address, number, &stop, &acknowledged))
        })
        .collect();
    sleep_ms(2_000);

    let cut_at = now_ms();
    if has_trouble {
        note("the path from the nodes to the primary i-0 is cut");
        cut.set(true);
        let orders = || world.with(|state| state.orders.clone());
        if !wait_for(CUT_MS / 1_000, || !orders().is_empty()) {
            return Err("no other server is promoted".to_owned());
        }
        let holder = orders()[0].holder.clone();
        let Some(node) = nodes.iter().find(|node| node.name == holder) else {
            return Err("the coordinator is unknown".to_owned());
        };
        node.kill_and_restart(folder, RESTART_MS);
        sleep_ms(500);
        cut.set(false);
        note(&format!(
            "the path to i-0 heals after {} ms",
            now_ms() - cut_at
        ));
    }
    sleep_until(cut_at + 8_000);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| "a client failed".to_owned())?;
    }

    let acknowledged = acknowledged.lock().unwrap().clone();
    let (effects, runs) = world.with(|state| (state.effects.clone(), state.runs.clone()));
    note(&format!("{} writes were acknowledged", acknowledged.len()));
    if acknowledged.len() < 100 {
        return Err("too few writes were acknowledged".to_owned());
    }
    let mut is_kept = true;
    for run in &runs {
        let (Some(ended), Some((term, number))) = (run.ended, run.commit) else {
            continue;
        };
        let later = effects
            .iter()
            .find(|(at, _, leader)| *at < ended && *leader != run.server);
        let newest = effects.iter().rev().find(|(at, _, _)| *at < ended);
        let is_old = newest.is_some_and(|(_, _, leader)| *leader != run.server);
        let answer = acknowledged.iter().find(|(id, _)| *id == run.id);
        if let (true, Some((at, _, leader)), Some((_, answered))) = (is_old, later, answer) {
            note(&format!(
                "ONE: {} was committed as {term}.{number} at {} {} ms after {leader} had taken over, and \
                 acknowledged {} ms after that",
                run.id,
                run.server,
                ended - at,
                answered - ended
            ));
            is_kept = false;
        }
    }
    Ok(is_kept)
}

/// Writes again and again, with a new session after each failure.
fn write(address: SocketAddr, number: usize, stop: &AtomicBool, acknowledged: &Acknowledged) {
    let mut session = None;
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        sleep_ms(40);
        let name = format!("u{number}");
        let opened = session
            .take()
            .or_else(|| Client::open(address, "ledger-now", &name));
        let Some(mut client) = opened else { continue };
        let id = new_id();
        count += 1;
        let Some(answer) = client.query(&id, &format!("WRITE item-{number} {count}")) else {
            continue;
        };
        if answer.is_done() {
            acknowledged.lock().unwrap().push((id, now_ms()));
        }
        session = Some(client);
    }
}
