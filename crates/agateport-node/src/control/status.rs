//! Asks upstream servers for their status.

use crate::node::Node;
use agateport_domain::bundle::{Bundle, Server};
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_wire::postgres::control::Control;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

/// Interval between two questions to a server.
const INTERVAL: Duration = Duration::from_millis(20);

/// Time after which an answer is given up.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Keeps one task for each server of the bundle in force until the node ends.
pub async fn run<P>(node: Arc<Node<P>>)
where
    P: Policy + Send + Sync + 'static,
{
    let mut bundles = node.bundle.subscribe();
    loop {
        let round = node.stopping.child_token();
        let bundle = bundles.borrow_and_update().clone();
        if let Some(bundle) = bundle {
            start(&node, &bundle, &round);
        }
        tokio::select! {
            changed = bundles.changed() => if changed.is_err() { return },
            () = node.stopping.cancelled() => return,
        }
        round.cancel();
    }
}

fn start<P>(node: &Arc<Node<P>>, bundle: &Bundle, round: &CancellationToken)
where
    P: Policy + Send + Sync + 'static,
{
    for group in &bundle.groups {
        for server in &group.servers {
            let node = Arc::clone(node);
            let (group, server) = (group.name.clone(), server.clone());
            let asking = async move { ask(&node, &group, &server).await };
            tokio::spawn(round.clone().run_until_cancelled_owned(asking));
        }
    }
}

/// Asks one server again and again.
async fn ask<P>(node: &Node<P>, group: &GroupId, server: &Server)
where
    P: Policy + Send + Sync + 'static,
{
    let mut control = None;
    loop {
        if control.is_none() {
            let connecting = timeout(TIMEOUT, Control::connect(server.address));
            control = connecting.await.ok().and_then(Result::ok);
        }
        if let Some(connected) = control.as_mut() {
            // The status is at least as new as the question.
            let asked = Instant::now();
            match timeout(TIMEOUT, connected.status()).await {
                Ok(Ok(status)) => {
                    node.groups.update(group, |group| {
                        group.report(&server.name, status, asked);
                    });
                    node.reports.send_modify(|count| *count += 1);
                }
                Ok(Err(_)) | Err(_) => control = None,
            }
        }
        sleep(INTERVAL).await;
    }
}
