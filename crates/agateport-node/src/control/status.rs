//! Asks upstream servers for their status.
//!
//! Only the owners of a group's servers ask: often while somebody waits for a
//! server to reach a position, else as a heartbeat.

use crate::control::watcher;
use crate::node::Node;
use agateport_domain::bundle::{Bundle, Server};
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_wire::Error;
use agateport_wire::postgres::control::Control;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

/// Interval between two questions while nobody waits.
const HEARTBEAT: Duration = Duration::from_millis(200);

/// Interval between two questions while somebody waits.
const URGENT: Duration = Duration::from_millis(5);

/// Interval between two tries to reach a server that is lost.
const RETRY: Duration = Duration::from_millis(50);

/// Interval between two looks at whether this node watches the group.
const LOOK: Duration = Duration::from_millis(500);

/// Time after which an answer is given up; slower servers are still heard.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Time for a first answer of a server that this node doesn't watch.
const FIRST: Duration = Duration::from_millis(500);

/// Counts who waits for the positions of each group.
#[derive(Debug, Default)]
pub struct Interest {
    waiting: Sharded<GroupId, watch::Sender<usize>>,
}

impl Interest {
    /// Asks for the group's positions often, until the guard is dropped.
    #[must_use]
    pub fn raise(&self, group: &GroupId) -> Guard {
        let sender = self.sender(group);
        sender.send_modify(|count| *count += 1);
        Guard { sender }
    }

    fn sender(&self, group: &GroupId) -> watch::Sender<usize> {
        self.waiting.with(group, |waiting| {
            let sender = waiting
                .entry(group.clone())
                .or_insert_with(|| watch::Sender::new(0));
            sender.clone()
        })
    }
}

/// Keeps the questions frequent while it lives.
#[derive(Debug)]
pub struct Guard {
    sender: watch::Sender<usize>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.sender.send_modify(|count| *count -= 1);
    }
}

/// Waits until something is known of a server that this node doesn't watch, or
/// it doesn't answer in time.
pub async fn ensure<P>(node: &Node<P>, group: &GroupId, server: &ServerId)
where
    P: Policy + Send + Sync + 'static,
{
    let mut reports = node.reports.subscribe();
    let is_known = || {
        let known = node.groups.update(group, |group| group.is_known(server));
        known.unwrap_or(true)
    };
    if is_known() {
        return;
    }
    let _interest = node.interest.raise(group);
    let waiting = async {
        while !is_known() {
            // The sender lives as long as the node.
            let _ = reports.changed().await;
        }
    };
    // What is known after that time is judged as it is.
    let _ = timeout(FIRST, waiting).await;
}

/// Keeps one task for each server of the bundle in force until the node ends.
pub async fn run<P>(node: Arc<Node<P>>)
where
    P: Policy + Send + Sync + 'static,
{
    let mut bundles = node.bundle.subscribe();
    let mut before: Option<Arc<Bundle>> = None;
    loop {
        let round = node.stopping.child_token();
        let bundle = bundles.borrow_and_update().clone();
        if let Some(bundle) = bundle {
            start(&node, &bundle, &round);
            if let Some(before) = before.replace(Arc::clone(&bundle)) {
                go_on(&node, &before, &bundle);
            }
        }
        tokio::select! {
            changed = bundles.changed() => if changed.is_err() { return },
            () = node.stopping.cancelled() => return,
        }
        round.cancel();
    }
}

fn start<P>(node: &Arc<Node<P>>, bundle: &Arc<Bundle>, round: &CancellationToken)
where
    P: Policy + Send + Sync + 'static,
{
    for group in &bundle.groups {
        for server in &group.servers {
            let node = Arc::clone(node);
            let bundle = Arc::clone(bundle);
            let (group, server) = (group.name.clone(), server.clone());
            let asking = async move { ask(&node, &bundle, &group, &server).await };
            tokio::spawn(round.clone().run_until_cancelled_owned(asking));
        }
    }
}

/// Goes on with servers that the bundle no longer declares while they have work
/// to finish, since writes wait for their positions.
fn go_on<P>(node: &Arc<Node<P>>, before: &Arc<Bundle>, after: &Bundle)
where
    P: Policy + Send + Sync + 'static,
{
    for group in &before.groups {
        let is_gone = |server: &&Server| after.server(&server.name).is_none();
        for server in group.servers.iter().filter(is_gone) {
            let (node, before) = (Arc::clone(node), Arc::clone(before));
            let (group, server) = (group.name.clone(), server.clone());
            tokio::spawn(async move {
                tokio::select! {
                    () = ask(&node, &before, &group, &server) => {}
                    () = retired(&node, &server.name) => {}
                    () = node.stopping.cancelled() => {}
                }
            });
        }
    }
}

/// Waits until a server has no more work.
async fn retired<P>(node: &Node<P>, server: &ServerId)
where
    P: Policy + Send + Sync + 'static,
{
    loop {
        sleep(LOOK).await;
        if node.servers.update(server, |_| ()).is_none() {
            return;
        }
    }
}

/// Asks one server again and again, while this node watches its group.
async fn ask<P>(node: &Node<P>, bundle: &Bundle, group: &GroupId, server: &Server)
where
    P: Policy + Send + Sync + 'static,
{
    let mut waiting = node.interest.sender(group).subscribe();
    let mut control = None;
    let mut looked = Instant::now();
    let mut is_watched = watcher::rank(node, bundle, group).is_some();
    loop {
        if looked.elapsed() >= LOOK {
            looked = Instant::now();
            is_watched = watcher::rank(node, bundle, group).is_some();
        }
        if !is_watched && *waiting.borrow() == 0 {
            control = None;
            node.groups
                .update(group, |group| group.forget(&server.name));
            pause(LOOK, &mut waiting).await;
            continue;
        }
        if let Ok(asked) = timeout(TIMEOUT, once(node, group, server, &mut control)).await {
            if asked.is_err() {
                control = None;
                node.groups
                    .update(group, |group| group.record_refusal(&server.name));
            }
        } else {
            control = None;
            node.groups
                .update(group, |group| group.record_timeout(&server.name));
        }
        match control {
            Some(_) => pause(HEARTBEAT, &mut waiting).await,
            None => sleep(RETRY).await,
        }
    }
}

/// Waits for `longest`, or a short while if somebody waits for a position.
async fn pause(longest: Duration, waiting: &mut watch::Receiver<usize>) {
    let urgent = async {
        // The sender lives as long as the node.
        let _ = waiting.wait_for(|count| *count > 0).await;
        sleep(URGENT).await;
    };
    // Either way the next question is due.
    let _ = timeout(longest, urgent).await;
}

async fn once<P>(
    node: &Node<P>,
    group: &GroupId,
    server: &Server,
    control: &mut Option<Control>,
) -> Result<(), Error>
where
    P: Policy + Send + Sync + 'static,
{
    if control.is_none() {
        *control = Some(Control::connect(server.address).await?);
    }
    if let Some(connected) = control.as_mut() {
        // The status is at least as new as the question.
        let asked = Instant::now();
        let status = connected.status().await?;
        node.groups.update(group, |group| {
            group.record_status(&server.name, status, asked);
        });
        node.reports.send_modify(|count| *count += 1);
    }
    Ok(())
}
