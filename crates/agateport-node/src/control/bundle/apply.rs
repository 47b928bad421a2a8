//! Goes by each bundle that was taken over, in order, cutting nothing.

use crate::node::Node;
use crate::owner::server;
use agateport_domain::bundle::Bundle;
use agateport_domain::group::Group;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;

/// Goes by each bundle that was taken over.
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
            tracing::info!(version, "a bundle is in force");
        }
        if bundles.changed().await.is_err() {
            return;
        }
    }
}

/// Returns the servers that the bundle no longer declares.
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

/// Adds what is new and changes what differs; what is unchanged keeps its state.
fn apply<P>(node: &Node<P>, bundle: &Arc<Bundle>)
where
    P: Policy + Send + Sync + 'static,
{
    let before = node.bundle();
    for group in &bundle.groups {
        let old = before.as_ref().and_then(|before| before.group(&group.name));
        let names = |group: &agateport_domain::bundle::Group| {
            let names = group.servers.iter().map(|server| server.name.clone());
            names.collect::<BTreeSet<_>>()
        };
        let is_same = old
            .is_some_and(|old| old.acknowledge == group.acknowledge && names(old) == names(group));
        if !is_same && let Ok(known) = Group::new(group.acknowledge, names(group)) {
            node.groups.insert(group.name.clone(), known);
        }
        for server in &group.servers {
            server::apply(node, server, bundle);
        }
    }
    node.bundle.send_replace(Some(Arc::clone(bundle)));
}
