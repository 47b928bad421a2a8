//! Read indexes of groups. Concurrent requests share one poll of a group's servers.

use crate::node::Node;
use crate::peers;
use agateport_domain::bundle;
use agateport_domain::group::{ReadIndex, Status};
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_domain::session::Error;
use agateport_wire::frame::Frame;
use agateport_wire::link::Exchange;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::sync::watch;
use tokio::time::timeout;

/// Time limit for the servers to answer a poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of failed polls after which a watermark is accepted unchecked.
const CHECK_ATTEMPTS: usize = 3;

/// Outcome of a poll. The outer `None` means that the poll is running, the inner
/// `None` that it failed.
type Outcome = Option<Option<Watermark>>;

/// A poll of a group's servers.
#[derive(Clone, Debug)]
pub struct Poll {
    started_at: Instant,
    outcome: watch::Receiver<Outcome>,
}

impl Poll {
    fn covers(&self, since: Instant) -> bool {
        self.started_at >= since && matches!(*self.outcome.borrow(), Some(Some(_)))
    }

    fn is_running(&self) -> bool {
        // The sender of an aborted poll has been dropped.
        self.outcome.borrow().is_none() && self.outcome.has_changed().is_ok()
    }
}

/// Returns a watermark that covers every write acknowledged before `since`, or `None` if
/// too few servers answer.
pub async fn obtain<P>(
    node: &Arc<Node<P>>,
    group: &bundle::Group,
    since: Instant,
) -> Option<Watermark>
where
    P: Policy + Send + Sync + 'static,
{
    loop {
        let mut poll = join(node, group, since);
        // The sender is dropped only when the poll has ended.
        let outcome = poll.outcome.wait_for(Option::is_some).await;
        let watermark = outcome.ok().and_then(|outcome| *outcome).flatten();
        if poll.started_at >= since {
            return watermark;
        }
    }
}

/// Checks a watermark that a caller specifies.
///
/// # Errors
///
/// [`Error::Ahead`] if the watermark is ahead of every acknowledged write.
pub async fn check<P>(
    node: &Arc<Node<P>>,
    group: &bundle::Group,
    watermark: Watermark,
) -> Result<(), Error>
where
    P: Policy + Send + Sync + 'static,
{
    let now = Instant::now();
    for _ in 0..CHECK_ATTEMPTS {
        match obtain(node, group, now).await {
            Some(last) if last < watermark => return Err(Error::Ahead { watermark, last }),
            Some(_) => return Ok(()),
            None => {}
        }
    }
    // An unchecked watermark can only make the requirement stricter.
    Ok(())
}

/// Returns a poll to wait for: a successful one that started late enough, a running one,
/// or else a new one.
fn join<P>(node: &Arc<Node<P>>, group: &bundle::Group, since: Instant) -> Poll
where
    P: Policy + Send + Sync + 'static,
{
    let (sender, receiver) = watch::channel(None);
    let mut is_new = false;
    let poll = node.frontend.polls.with(&group.name, |polls| {
        let known = polls.get(&group.name);
        let usable = known.filter(|poll| poll.is_running() || poll.covers(since));
        if let Some(poll) = usable {
            return poll.clone();
        }
        is_new = true;
        let poll = Poll {
            started_at: Instant::now(),
            outcome: receiver,
        };
        polls.insert(group.name.clone(), poll.clone());
        poll
    });
    if is_new {
        node.metrics.count("read_index", "poll");
        tokio::spawn(run_poll(Arc::clone(node), group.clone(), sender));
    }
    poll
}

async fn run_poll<P>(node: Arc<Node<P>>, group: bundle::Group, sender: watch::Sender<Outcome>)
where
    P: Policy + Send + Sync + 'static,
{
    let mut index = ReadIndex::new(group.acknowledge, group.servers.len());
    let requests = group
        .servers
        .iter()
        .map(|server| query_status(&node, &group.name, server));
    let mut answers: FuturesUnordered<_> = requests.collect();
    let polling = async {
        while let Some(status) = answers.next().await {
            if let Some(status) = status {
                index.add(status);
            }
            if index.watermark().is_some() {
                break;
            }
        }
        index.watermark()
    };
    let watermark = timeout(POLL_TIMEOUT, polling).await.unwrap_or_default();
    if watermark.is_none() {
        node.metrics.count("read_index", "no_majority");
    }
    sender.send_replace(Some(watermark));
}

/// Requests the current status of a server from the first of its two preferred owners
/// that answers.
async fn query_status<P>(
    node: &Arc<Node<P>>,
    group: &GroupId,
    server: &bundle::Server,
) -> Option<Status>
where
    P: Policy + Send + Sync + 'static,
{
    for owner in node.owners(server).iter().take(2) {
        let Ok(mut link) = peers::link(node, owner).await else {
            continue;
        };
        let request = Frame::Locate(group.clone(), server.name.clone());
        if link.send(request).await.is_err() {
            continue;
        }
        if let Ok(Frame::Located(status)) = link.receive().await {
            return Some(status);
        }
    }
    None
}
