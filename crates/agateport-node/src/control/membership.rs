//! Keeps the view of the other nodes.

use crate::node::Node;
use agateport_domain::membership::{Member, State};
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_wire::platform::Vm;
use std::sync::PoisonError;
use tokio::time::sleep;

/// Interval between two looks at the platform's list.
const INTERVAL: Duration = Duration::from_secs(1);

/// Reads the platform's list of VMs until the node ends.
pub async fn run<P>(node: Arc<Node<P>>)
where
    P: Policy + Send + Sync + 'static,
{
    let own = Member {
        name: node.config.name.clone(),
        zone: node.config.zone.clone(),
        address: node.config.peers,
        state: State::Live,
    };
    seed(&node, [own]);
    while !node.stopping.is_cancelled() {
        match node.platform.vms().await {
            Ok(vms) => seed(&node, vms.into_iter().map(member)),
            Err(error) => tracing::debug!(%error, "the list of VMs can't be read"),
        }
        sleep(INTERVAL).await;
    }
}

fn seed<P>(node: &Node<P>, members: impl IntoIterator<Item = Member>)
where
    P: Policy + Send + Sync + 'static,
{
    let mut view = node.view.lock().unwrap_or_else(PoisonError::into_inner);
    view.seed(members);
}

/// Records that a peer said it is leaving.
pub fn set_leaving<P>(node: &Node<P>, peer: &NodeId)
where
    P: Policy + Send + Sync + 'static,
{
    let mut view = node.view.lock().unwrap_or_else(PoisonError::into_inner);
    if let Ok(member) = view.member(peer).cloned() {
        let state = State::Leaving;
        view.seed([Member { state, ..member }]);
    }
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
    }
}
