//! Asks suspected servers what they are, and tells the other nodes, through the
//! store, which primaries this node can't reach.

use super::poll::Snapshot;
use super::wake::Wake;
use crate::dialect::Dialect;
use crate::message::Order;
use crate::record::{self, Records, Witness};
use crate::source::{Change, Store};
use crate::upstreams::Upstreams;
use agateport_domain::prelude::*;
use futures::future::join_all;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Time between two looks; suspected servers are asked each time.
const INTERVAL: Duration = Duration::from_millis(100);

/// Watches the primaries until the node ends.
pub async fn run<D: Dialect, S: Store>(
    node: NodeId,
    store: Arc<S>,
    upstreams: Arc<Upstreams<D>>,
    news: watch::Receiver<Option<Snapshot>>,
    wake: Arc<Wake>,
    token: CancellationToken,
) {
    let mut told: Option<BTreeMap<GroupId, ServerId>> = None;
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            () = tokio::time::sleep(INTERVAL) => {}
        }
        let Some(snapshot) = news.borrow().clone() else {
            continue;
        };
        // A former process of this node may have left its word behind.
        let known = told.get_or_insert_with(|| snapshot.records.losses_of(&node));
        let primaries = primaries(&upstreams);
        ask_suspects(&upstreams, &snapshot.records, &primaries).await;
        let mut lost = primaries;
        lost.retain(|_, name| {
            upstreams
                .server(name)
                .is_some_and(|server| server.is_lost())
        });
        if lost != *known && tell(&node, store.as_ref(), known, &lost).await {
            told = Some(lost.clone());
        }
        if !lost.is_empty() {
            // What the other nodes say is wanted soon.
            wake.hurry();
        }
    }
}

fn primaries<D: Dialect>(upstreams: &Upstreams<D>) -> BTreeMap<GroupId, ServerId> {
    let groups = upstreams.groups().into_iter();
    let leaders = groups.filter_map(|group| {
        let leader = upstreams.group(&group).leader()?;
        Some((group, leader.server))
    });
    leaders.collect()
}

/// Asks every suspected server what it is, and every primary that another node
/// can't reach; an answer ends the suspicion.
async fn ask_suspects<D: Dialect>(
    upstreams: &Upstreams<D>,
    records: &Records,
    primaries: &BTreeMap<GroupId, ServerId>,
) {
    let doubted: BTreeSet<_> = primaries
        .iter()
        .filter(|(group, server)| records.witnesses(group, server) > 0)
        .map(|(_, server)| server)
        .collect();
    let registry = upstreams.registry();
    let servers = registry.keys().filter_map(|name| upstreams.server(name));
    let questions = servers
        .filter(|server| server.loss().is_suspected() || doubted.contains(&server.listing().server))
        .map(|server| async move {
            if let Err(error) = server.status(Order::Status).await {
                let name = &*server.listing().server;
                tracing::debug!(server = name, %error, "a suspected server gave no status");
            }
        });
    join_all(questions).await;
}

async fn tell<S: Store>(
    node: &NodeId,
    store: &S,
    told: &BTreeMap<GroupId, ServerId>,
    lost: &BTreeMap<GroupId, ServerId>,
) -> bool {
    let mut change = Change::default();
    for group in told.keys().filter(|group| !lost.contains_key(*group)) {
        change.dropped.insert(record::loss_key(group, node));
    }
    for (group, server) in lost {
        let witness = Witness {
            server: server.clone(),
        };
        let key = record::loss_key(group, node);
        change.set.insert(key, record::value(&witness));
    }
    match store.change(record::stamped(change)).await {
        Ok(_) => {
            tracing::info!(event = "primaries_lost", lost = ?lost, "the primaries out of reach changed");
            true
        }
        Err(error) => {
            tracing::warn!(event = "witness_unsaid", %error, "the store took no word of a lost primary");
            false
        }
    }
}
