//! Queries the status of upstream servers.
//!
//! The owners of a group's servers query them: frequently while a task waits for a
//! status or the group is unhealthy, otherwise as a heartbeat. Other nodes query
//! them only while a task waits.

use crate::control::monitor;
use crate::node::Node;
use agateport_domain::bundle::{Bundle, Server};
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_wire::Error;
use agateport_wire::postgres::control::Control;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

/// Interval between two queries while no task waits.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between two queries while a task waits.
const URGENT_INTERVAL: Duration = Duration::from_millis(5);

/// Interval between two attempts to connect to an unreachable server.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between two checks whether this node monitors the group, or whether a
/// retiring server has been removed.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time limit for the answer to a query, long enough that a slow server is not
/// considered unreachable.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// Time limit for the first answer of a server that this node has no status of.
const FIRST_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of tasks that need frequent status queries of each group.
#[derive(Debug, Default)]
pub struct Subscriptions {
    counts: Sharded<GroupId, watch::Sender<usize>>,
}

impl Subscriptions {
    /// Makes queries to the group frequent until the subscription is dropped.
    #[must_use]
    pub fn add(&self, group: &GroupId) -> Subscription {
        let sender = self.sender(group);
        sender.send_modify(|count| *count += 1);
        Subscription { sender }
    }

    fn sender(&self, group: &GroupId) -> watch::Sender<usize> {
        self.counts.with(group, |counts| {
            let sender = counts
                .entry(group.clone())
                .or_insert_with(|| watch::Sender::new(0));
            sender.clone()
        })
    }
}

/// Keeps the queries to a group frequent until it is dropped.
#[derive(Debug)]
pub struct Subscription {
    sender: watch::Sender<usize>,
}

impl Drop for Subscription {
    fn drop(&mut self) {
        self.sender.send_modify(|count| *count -= 1);
    }
}

/// Waits until this node has a status of the server, for at most `FIRST_TIMEOUT`.
pub async fn wait_until_known<P>(node: &Node<P>, group: &GroupId, server: &ServerId)
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
    let _subscription = node.subscriptions.add(group);
    let waiting = async {
        while !is_known() {
            // The sender lives as long as the node.
            let _ = reports.changed().await;
        }
    };
    // After a timeout, the check of the requirement refuses the request.
    let _ = timeout(FIRST_TIMEOUT, waiting).await;
}

/// Runs one task for each server of the bundle in force, until the node ends.
pub async fn run<P>(node: Arc<Node<P>>)
where
    P: Policy + Send + Sync + 'static,
{
    let mut bundles = node.bundle.subscribe();
    let mut previous: Option<Arc<Bundle>> = None;
    loop {
        let token = node.stopping.child_token();
        let bundle = bundles.borrow_and_update().clone();
        if let Some(bundle) = bundle {
            start(&node, &bundle, &token);
            if let Some(previous) = previous.replace(Arc::clone(&bundle)) {
                poll_retiring(&node, &previous, &bundle);
            }
        }
        tokio::select! {
            changed = bundles.changed() => if changed.is_err() { return },
            () = node.stopping.cancelled() => return,
        }
        token.cancel();
    }
}

fn start<P>(node: &Arc<Node<P>>, bundle: &Arc<Bundle>, token: &CancellationToken)
where
    P: Policy + Send + Sync + 'static,
{
    for group in &bundle.groups {
        for server in &group.servers {
            let node = Arc::clone(node);
            let bundle = Arc::clone(bundle);
            let (group, server) = (group.name.clone(), server.clone());
            let polling = async move { poll(&node, &bundle, &group, &server).await };
            tokio::spawn(token.clone().run_until_cancelled_owned(polling));
        }
    }
}

/// Continues to poll servers that the bundle no longer declares until their work
/// has finished, since writes wait for their positions.
fn poll_retiring<P>(node: &Arc<Node<P>>, previous: &Arc<Bundle>, current: &Bundle)
where
    P: Policy + Send + Sync + 'static,
{
    for group in &previous.groups {
        let is_gone = |server: &&Server| current.server(&server.name).is_none();
        for server in group.servers.iter().filter(is_gone) {
            let (node, previous) = (Arc::clone(node), Arc::clone(previous));
            let (group, server) = (group.name.clone(), server.clone());
            tokio::spawn(async move {
                tokio::select! {
                    () = poll(&node, &previous, &group, &server) => {}
                    () = wait_until_retired(&node, &server.name) => {}
                    () = node.stopping.cancelled() => {}
                }
            });
        }
    }
}

/// Waits until a retiring server has finished its work and is removed.
async fn wait_until_retired<P>(node: &Node<P>, server: &ServerId)
where
    P: Policy + Send + Sync + 'static,
{
    loop {
        sleep(CHECK_INTERVAL).await;
        if node.servers.update(server, |_| ()).is_none() {
            return;
        }
    }
}

/// Periodically queries one server, while this node monitors its group or a task
/// waits for it.
async fn poll<P>(node: &Node<P>, bundle: &Bundle, group: &GroupId, server: &Server)
where
    P: Policy + Send + Sync + 'static,
{
    let mut subscribers = node.subscriptions.sender(group).subscribe();
    let mut control = None;
    let mut checked_at = Instant::now();
    let mut is_monitor = monitor::rank(node, bundle, group).is_some();
    loop {
        if checked_at.elapsed() >= CHECK_INTERVAL {
            checked_at = Instant::now();
            is_monitor = monitor::rank(node, bundle, group).is_some();
        }
        if !is_monitor && *subscribers.borrow() == 0 {
            control = None;
            node.groups
                .update(group, |group| group.forget(&server.name));
            pause(CHECK_INTERVAL, &mut subscribers).await;
            continue;
        }
        if let Ok(result) = timeout(QUERY_TIMEOUT, query(node, group, server, &mut control)).await {
            if result.is_err() {
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
            Some(_) => pause(POLL_INTERVAL, &mut subscribers).await,
            None => sleep(RETRY_INTERVAL).await,
        }
    }
}

/// Waits for `longest`, but at most for `URGENT_INTERVAL` while a task waits.
async fn pause(longest: Duration, subscribers: &mut watch::Receiver<usize>) {
    let urgent = async {
        // The sender lives as long as the node.
        let _ = subscribers.wait_for(|count| *count > 0).await;
        sleep(URGENT_INTERVAL).await;
    };
    // The next query is due in either case.
    let _ = timeout(longest, urgent).await;
}

async fn query<P>(
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
        // The status is at least as recent as the query.
        let sent_at = Instant::now();
        let status = connected.status().await?;
        node.groups.update(group, |group| {
            group.record_status(&server.name, status, sent_at);
        });
        node.reports.send_modify(|count| *count += 1);
    }
    Ok(())
}
