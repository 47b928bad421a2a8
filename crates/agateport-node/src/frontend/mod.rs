//! The frontend: accepts callers and routes their requests to the owners of servers.

mod caller;
mod cancel;
mod candidate;
mod forward;
mod local;
mod login;
mod options;
mod pipeline;
mod priority;
mod query;
mod read_index;
mod route;
mod settings;
pub mod startup;
pub mod state;
pub mod throttles;

pub use cancel::cancel;

use crate::node::Node;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use tokio::net::TcpListener;

/// Accepts callers until the node drains.
pub async fn listen<P>(node: Arc<Node<P>>, listener: TcpListener)
where
    P: Policy + Send + Sync + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = node.leaving.cancelled() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let caller = caller::serve(Arc::clone(&node), stream);
                node.callers.spawn(caller);
            }
            Err(error) => tracing::warn!(%error, "failed to accept a caller"),
        }
    }
}
