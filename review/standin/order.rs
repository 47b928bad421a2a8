//! The coordinator loses its path to the platform's duty calls while a planned handover is
//! under way: its order is held up, and arrives after its successor's.

use crate::net::{Cut, is_ready, proxy, wait_for};
use crate::util::{Node, free_address, note, now_ms, sleep_ms, sleep_until};
use crate::world::World;
use crate::{Verdict, ZONES};
use std::net::SocketAddr;
use std::sync::Arc;

/// Duration of the cut, the longest that a site's days have for single machines and the
/// platform.
const CUT_MS: u64 = 9_000;

pub fn run(folder: &str, has_trouble: bool) -> Verdict {
    let world = World::new(8);
    for service in ["ledger-1", "ledger-2"] {
        for (index, zone) in ZONES.iter().enumerate() {
            world.start_server(&format!("{service}-{index}"), service, zone, index == 0);
        }
    }
    world.configure(1, &["ledger-1", "ledger-2"]);
    let platform = world.serve_platform();
    let promotions = world.serve_platform();
    let mut cuts = Vec::new();
    let mut nodes = Vec::new();
    for zone in ZONES {
        let cut = Arc::new(Cut::default());
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let path = proxy(any, promotions, vec![cut.clone()]);
        let name = format!("front-{zone}-1");
        nodes.push(Node::start(
            folder,
            &name,
            zone,
            free_address(),
            platform,
            path,
            true,
        ));
        cuts.push(cut);
    }
    if !wait_for(20, || nodes.iter().all(|node| is_ready(node.ready))) {
        return Err("the nodes do not become ready".to_owned());
    }
    sleep_ms(2_000);

    // A planned handover without any trouble, which shows the coordinator.
    world.drain("ledger-1-0");
    let leads = |service: &str| {
        let effects = world.with(|state| state.effects.clone());
        effects.iter().any(|(_, of, _)| of == service)
    };
    if !wait_for(10, || leads("ledger-1")) {
        return Err("the first handover does not end".to_owned());
    }
    let holder = world.with(|state| state.orders[0].holder.clone());
    let Some(index) = nodes.iter().position(|node| node.name == holder) else {
        return Err("the coordinator is unknown".to_owned());
    };
    sleep_ms(3_000);

    let cut_at = now_ms();
    if has_trouble {
        note(&format!("the path from {holder} to the duty calls is cut"));
        cuts[index].set(true);
    }
    sleep_ms(300);
    world.drain("ledger-2-0");
    sleep_until(cut_at + CUT_MS);
    if has_trouble {
        note(&format!("the path from {holder} to the duty calls heals"));
        cuts[index].set(false);
    }
    sleep_ms(3_000);
    if !leads("ledger-2") {
        return Err("the second handover does not end".to_owned());
    }

    let orders = world.with(|state| state.orders.clone());
    let mut highest = (0, String::new());
    let mut is_kept = true;
    for order in &orders {
        if order.fence < highest.0 {
            note(&format!(
                "ONE: at {:.3} s the order of {} for {} carries the fence {}, after {} by {}",
                order.at as f64 / 1000.0,
                order.holder,
                order.server,
                order.fence,
                highest.0,
                highest.1
            ));
            is_kept = false;
        } else {
            highest = (order.fence, order.holder.clone());
        }
    }
    Ok(is_kept)
}
