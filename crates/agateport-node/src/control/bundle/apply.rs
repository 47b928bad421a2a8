//! Applies accepted bundles in order, without interrupting running work.

use crate::node::Node;
use crate::owner::server;
use agateport_domain::bundle::{self, Bundle};
use agateport_domain::group::Group;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use tokio::time::sleep;

/// Interval between two checks of servers that are being retired.
const RETIREMENT_INTERVAL: Duration = Duration::from_secs(1);

/// Applies the last accepted bundle whenever it changes.
pub async fn run<P>(node: Arc<Node<P>>)
where
    P: Policy + Send + Sync + 'static,
{
    let mut bundles = node.accepted.subscribe();
    loop {
        let accepted = bundles.borrow_and_update().clone();
        if let Some(accepted) = accepted {
            apply(&node, &accepted.bundle);
            let version = accepted.revision.version;
            tracing::info!(version, "applied a bundle");
        }
        if bundles.changed().await.is_err() {
            return;
        }
    }
}

/// Returns the servers that the bundle in force no longer declares.
pub fn retiring<P>(node: &Node<P>) -> BTreeSet<ServerId>
where
    P: Policy + Send + Sync + 'static,
{
    let bundle = node.bundle();
    let is_declared = |name: &ServerId| {
        let bundle = bundle.as_ref();
        bundle.is_some_and(|bundle| bundle.server(name).is_some())
    };
    let mut retiring = BTreeSet::new();
    node.servers.for_each(|name, _| {
        if !is_declared(name) {
            retiring.insert(name.clone());
        }
    });
    retiring
}

/// Adds new groups and servers and applies changes. Unchanged ones keep their
/// state; removed ones keep it until their work has finished.
fn apply<P>(node: &Node<P>, bundle: &Arc<Bundle>)
where
    P: Policy + Send + Sync + 'static,
{
    for group in &bundle.groups {
        node.groups
            .with(&group.name, |groups| update_group(groups, group));
        for server in &group.servers {
            server::apply(node, server, bundle);
        }
    }
    node.bundle.send_replace(Some(Arc::clone(bundle)));
}

/// Creates or updates a group by its declaration. The state of the remaining servers
/// is kept.
fn update_group(groups: &mut BTreeMap<GroupId, Group>, group: &bundle::Group) {
    let names = group.servers.iter().map(|server| server.name.clone());
    let result = match groups.get_mut(&group.name) {
        Some(state) => state.reconfigure(group.acknowledge, names),
        None => Group::new(group.acknowledge, names)
            .map(|state| drop(groups.insert(group.name.clone(), state))),
    };
    if let Err(error) = result {
        tracing::warn!(group = %group.name, %error, "failed to apply the bundle to a group");
    }
}

/// Removes servers that the bundle no longer declares once they are unused.
pub async fn retire<P>(node: Arc<Node<P>>)
where
    P: Policy + Send + Sync + 'static,
{
    loop {
        sleep(RETIREMENT_INTERVAL).await;
        for name in retiring(&node) {
            node.servers.with(&name, |servers| {
                if servers.get(&name).is_some_and(server::State::is_unused) {
                    servers.remove(&name);
                }
            });
        }
    }
}
