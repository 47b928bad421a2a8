//! Maintains the node's view of the other nodes.

use crate::config::Config;
use crate::node::Node;
use agateport_domain::bundle::dissemination::readers;
use agateport_domain::membership::{Gossip, Member, PROBE_INTERVAL, PROBE_TIMEOUT, State, View};
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_wire::Error;
use agateport_wire::frame::Frame;
use agateport_wire::link::Exchange;
use agateport_wire::platform::Vm;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use std::sync::PoisonError;
use tokio::time::{interval, sleep, timeout};

/// Interval between two reads of the platform's list of VMs.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Maintains the view until the node ends.
pub async fn run<P>(node: Arc<Node<P>>)
where
    P: Policy + Send + Sync + 'static,
{
    let stopping = node.stopping.clone();
    let tasks = async { tokio::join!(read_list(&node), probe(&node), announce_leave(&node)) };
    let _ = stopping.run_until_cancelled(tasks).await;
}

/// Periodically reads the platform's list of VMs while this node is one of the
/// readers.
async fn read_list<P>(node: &Node<P>)
where
    P: Policy + Send + Sync + 'static,
{
    loop {
        if with_view(node, |view| is_reader(view, &node.config)) {
            match node.platform.vms().await {
                Ok(vms) => {
                    let members = vms.into_iter().map(member);
                    with_view(node, |view| view.seed(members, Instant::now()));
                }
                Err(error) => tracing::debug!(%error, "failed to read the list of VMs"),
            }
        }
        sleep(LIST_INTERVAL).await;
    }
}

/// Returns whether this node reads the list: the readers of its zone do, and so
/// does a node that has not joined yet. The other nodes receive changes by
/// gossip.
fn is_reader(view: &View, config: &Config) -> bool {
    !view.is_joined() || readers(view, &config.zone).contains(&config.name)
}

/// Probes one member in each interval.
async fn probe<P>(node: &Arc<Node<P>>)
where
    P: Policy + Send + Sync + 'static,
{
    let mut ticks = interval(PROBE_INTERVAL);
    loop {
        ticks.tick().await;
        let target = with_view(node, |view| {
            view.expire(Instant::now());
            view.next_probe()
        });
        if let Some(target) = target {
            // A probe without an answer may take longer than one interval.
            tokio::spawn(probe_one(Arc::clone(node), target));
        }
    }
}

async fn probe_one<P>(node: Arc<Node<P>>, target: Member)
where
    P: Policy + Send + Sync + 'static,
{
    if is_alive(&node, &target).await || is_alive_indirectly(&node, &target).await {
        return;
    }
    node.metrics.count("membership", "unanswered");
    with_view(&node, |view| view.suspect(&target.name, Instant::now()));
}

/// Probes a member directly.
async fn is_alive<P>(node: &Node<P>, target: &Member) -> bool
where
    P: Policy + Send + Sync + 'static,
{
    let gossip = with_view(node, |view| view.gossip(&target.name));
    let probe = send_probe(node, target, Frame::Probe(gossip));
    matches!(timeout(PROBE_TIMEOUT, probe).await, Ok(Ok(())))
}

/// Probes a member through other members.
async fn is_alive_indirectly<P>(node: &Node<P>, target: &Member) -> bool
where
    P: Policy + Send + Sync + 'static,
{
    let relays = with_view(node, |view| view.relays(&target.name));
    let probes = relays.iter().map(|relay| {
        let gossip = with_view(node, |view| view.gossip(&target.name));
        let frame = Frame::ProbeFor(target.name.clone(), gossip);
        timeout(2 * PROBE_TIMEOUT, send_probe(node, relay, frame))
    });
    let mut answers: FuturesUnordered<_> = probes.collect();
    while let Some(answer) = answers.next().await {
        if matches!(answer, Ok(Ok(()))) {
            return true;
        }
    }
    false
}

async fn send_probe<P>(node: &Node<P>, member: &Member, frame: Frame) -> Result<(), Error>
where
    P: Policy + Send + Sync + 'static,
{
    let mut stream = node.peers.connection(member).await?.open().await?;
    stream.send(frame).await?;
    match stream.receive().await? {
        Frame::Alive(gossip) => {
            with_view(node, |view| view.merge(gossip, Instant::now()));
            Ok(())
        }
        _ => Err(Error::Ended),
    }
}

/// Answers a probe.
///
/// # Errors
///
/// [`Error`] if the peer disconnected.
pub async fn answer<P, E>(node: &Node<P>, exchange: &mut E, gossip: Gossip) -> Result<(), Error>
where
    P: Policy + Send + Sync + 'static,
    E: Exchange,
{
    let answer = with_view(node, |view| {
        let from = gossip.from.clone();
        view.merge(gossip, Instant::now());
        view.gossip(&from)
    });
    exchange.send(Frame::Alive(answer)).await
}

/// Probes a member on behalf of a peer.
///
/// # Errors
///
/// [`Error`] if the peer disconnected.
pub async fn relay<P, E>(
    node: &Node<P>,
    exchange: &mut E,
    target: &NodeId,
    gossip: Gossip,
) -> Result<(), Error>
where
    P: Policy + Send + Sync + 'static,
    E: Exchange,
{
    let from = gossip.from.clone();
    let target = with_view(node, |view| {
        view.merge(gossip, Instant::now());
        view.member(target).cloned()
    });
    let Ok(target) = target else {
        return exchange.send(Frame::Unknown).await;
    };
    if !is_alive(node, &target).await {
        return exchange.send(Frame::Unknown).await;
    }
    let gossip = with_view(node, |view| view.gossip(&from));
    exchange.send(Frame::Alive(gossip)).await
}

/// Waits until the node begins to leave, and announces it to some peers.
async fn announce_leave<P>(node: &Node<P>)
where
    P: Policy + Send + Sync + 'static,
{
    node.leaving.cancelled().await;
    let peers = with_view(node, |view| {
        view.leave(Instant::now());
        view.relays(&node.config.name)
    });
    for peer in peers {
        is_alive(node, &peer).await;
    }
}

fn with_view<P, R>(node: &Node<P>, action: impl FnOnce(&mut View) -> R) -> R
where
    P: Policy + Send + Sync + 'static,
{
    let mut view = node.view.lock().unwrap_or_else(PoisonError::into_inner);
    action(&mut view)
}

/// Records that a peer announced that it is leaving.
pub fn set_leaving<P>(node: &Node<P>, peer: &NodeId)
where
    P: Policy + Send + Sync + 'static,
{
    with_view(node, |view| view.set_leaving(peer, Instant::now()));
}

fn member(vm: Vm) -> Member {
    Member {
        name: vm.name.into(),
        zone: vm.zone.into(),
        address: vm.address,
        state: if vm.is_leaving {
            State::Leaving
        } else {
            State::Live
        },
        incarnation: 0,
    }
}
