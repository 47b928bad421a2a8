//! Cancel requests: a node that receives one forwards it to the node of the caller.

use crate::node::Node;
use crate::peers;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_wire::frame::Frame;
use agateport_wire::link::Exchange;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::startup::{BackendKeyData, SecretKey};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Returns the key data that identifies a caller of this node in cancel requests.
pub fn key_data<P>(node: &Node<P>, secret: i32) -> BackendKeyData {
    BackendKeyData::new(process_id(&node.config.name), SecretKey::I32(secret))
}

/// Cancels the running request of the caller of this node that has `secret`.
pub fn cancel<P>(node: &Node<P>, secret: i32)
where
    P: Policy + Send + Sync + 'static,
{
    if let Some(cancel) = node.frontend.cancels.get(&secret) {
        // An idle caller does not wait for the notification, so nothing is cancelled.
        cancel.notify_waiters();
    }
}

/// Forwards a cancel request to the node of the caller that it identifies.
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
        // PostgreSQL defines no answer to a cancel request, so failures are ignored.
        let _ = link.send(Frame::CancelCaller(secret)).await;
        // Dropping the stream before the frame has arrived would discard the frame.
        let _ = link.receive().await;
    }
}

/// Returns the process id that identifies a node in cancel requests: a hash of its
/// name.
fn process_id(name: &NodeId) -> i32 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    let bytes = hasher.finish().to_be_bytes();
    i32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}
