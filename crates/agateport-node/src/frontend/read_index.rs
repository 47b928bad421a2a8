//! Takes read indexes: one poll of a group's servers serves all who wait.

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

/// Time that the servers may take to answer.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Polls after which a watermark is taken unchecked.
const CHECKS: usize = 3;

/// What became of a poll; none while it is under way.
type Result = Option<Option<Watermark>>;

/// One poll of a group's servers.
#[derive(Clone, Debug)]
pub struct Round {
    started: Instant,
    result: watch::Receiver<Result>,
}

impl Round {
    fn serves(&self, since: Instant) -> bool {
        self.started >= since && matches!(*self.result.borrow(), Some(Some(_)))
    }

    fn is_under_way(&self) -> bool {
        // A poll that was given up has dropped its sender.
        self.result.borrow().is_none() && self.result.has_changed().is_ok()
    }
}

/// Returns a place that covers every write acknowledged before `since`, or none
/// if too few servers answer.
pub async fn take<P>(
    node: &Arc<Node<P>>,
    group: &bundle::Group,
    since: Instant,
) -> Option<Watermark>
where
    P: Policy + Send + Sync + 'static,
{
    loop {
        let mut round = join(node, group, since);
        // The sender lives until the poll has ended.
        let result = round.result.wait_for(Option::is_some).await;
        let place = result.ok().and_then(|result| *result).flatten();
        if round.started >= since {
            return place;
        }
    }
}

/// Checks a watermark that a caller handed over.
///
/// # Errors
///
/// [`Error::Ahead`] if no write of that place can have been acknowledged.
pub async fn check<P>(
    node: &Arc<Node<P>>,
    group: &bundle::Group,
    watermark: Watermark,
) -> std::result::Result<(), Error>
where
    P: Policy + Send + Sync + 'static,
{
    let now = Instant::now();
    for _ in 0..CHECKS {
        match take(node, group, now).await {
            Some(last) if last < watermark => return Err(Error::Ahead { watermark, last }),
            Some(_) => return Ok(()),
            None => {}
        }
    }
    // A watermark that can't be checked only asks for more.
    Ok(())
}

/// Returns the poll to wait for: one that started late enough, else the one
/// that is under way, else a new one.
fn join<P>(node: &Arc<Node<P>>, group: &bundle::Group, since: Instant) -> Round
where
    P: Policy + Send + Sync + 'static,
{
    let (sender, receiver) = watch::channel(None);
    let mut is_new = false;
    let round = node.frontend.rounds.with(&group.name, |rounds| {
        let known = rounds.get(&group.name);
        let usable = known.filter(|round| round.is_under_way() || round.serves(since));
        if let Some(round) = usable {
            return round.clone();
        }
        is_new = true;
        let round = Round {
            started: Instant::now(),
            result: receiver,
        };
        rounds.insert(group.name.clone(), round.clone());
        round
    });
    if is_new {
        node.metrics.count("read_index", "poll");
        tokio::spawn(poll(Arc::clone(node), group.clone(), sender));
    }
    round
}

async fn poll<P>(node: Arc<Node<P>>, group: bundle::Group, sender: watch::Sender<Result>)
where
    P: Policy + Send + Sync + 'static,
{
    let mut index = ReadIndex::new(group.acknowledge, group.servers.len());
    let asked = group
        .servers
        .iter()
        .map(|server| locate(&node, &group.name, server));
    let mut answers: FuturesUnordered<_> = asked.collect();
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
    let place = timeout(TIMEOUT, polling).await.unwrap_or_default();
    if place.is_none() {
        node.metrics.count("read_index", "no_majority");
    }
    sender.send_replace(Some(place));
}

/// Asks a server's owner what the server says of itself now.
async fn locate<P>(node: &Arc<Node<P>>, group: &GroupId, server: &bundle::Server) -> Option<Status>
where
    P: Policy + Send + Sync + 'static,
{
    for owner in node.owners(server).iter().take(2) {
        let Ok(mut link) = peers::link(node, owner).await else {
            continue;
        };
        let question = Frame::Locate(group.clone(), server.name.clone());
        if link.send(question).await.is_err() {
            continue;
        }
        if let Ok(Frame::Located(status)) = link.receive().await {
            return Some(status);
        }
    }
    None
}
