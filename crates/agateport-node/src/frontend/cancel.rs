//! Cancel requests: any node takes one and hands it to the caller's node.

use crate::node::Node;
use crate::peers;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_wire::frame::Frame;
use agateport_wire::link::Exchange;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::startup::{BackendKeyData, SecretKey};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Returns the data that a caller of this node cancels with.
pub fn key_data<P>(node: &Node<P>, secret: i32) -> BackendKeyData {
    BackendKeyData::new(process_id(&node.config.name), SecretKey::I32(secret))
}

/// Cancels what the caller of this node with `secret` runs.
pub fn cancel<P>(node: &Node<P>, secret: i32)
where
    P: Policy + Send + Sync + 'static,
{
    if let Some(cancel) = node.frontend.cancels.get(&secret) {
        // A caller that runs nothing isn't waiting, so nothing is cancelled.
        cancel.notify_waiters();
    }
}

/// Hands a request to the node whose caller it is for.
pub async fn forward<P>(node: &Arc<Node<P>>, request: &CancelRequest)
where
    P: Policy + Send + Sync + 'static,
{
    let SecretKey::I32(secret) = request.secret_key else {
        return;
    };
    if request.pid == process_id(&node.config.name) {
        return cancel(node, secret);
    }
    let target = {
        let view = node
            .view
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let mut names = view.live().map(|member| member.name.clone());
        names.find(|name| process_id(name) == request.pid)
    };
    let Some(target) = target else {
        return;
    };
    if let Ok(mut link) = peers::link(node, &target).await {
        // Whoever cancels gets no answer, so a failure has nowhere to go.
        let _ = link.send(Frame::CancelCaller(secret)).await;
        // The stream must not be dropped before the frame has arrived.
        let _ = link.receive().await;
    }
}

/// Returns the number of a node, which fits where PostgreSQL has a process id.
fn process_id(name: &NodeId) -> i32 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    let bytes = hasher.finish().to_be_bytes();
    i32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}
