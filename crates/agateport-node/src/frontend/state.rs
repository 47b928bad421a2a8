//! What the frontend keeps beside the sessions.

use super::read_index::Poll;
use agateport_domain::prelude::*;
use agateport_domain::request::retry::Budget;
use tokio::sync::Notify;

/// What the frontend keeps beside the sessions.
#[derive(Debug, Default)]
pub struct State {
    /// Retries left, for each group.
    pub budgets: Sharded<GroupId, Budget>,
    /// Last read index that was asked for, for each group.
    pub polls: Sharded<GroupId, Poll>,
    /// Callers that can be cancelled, by the secret that they were given.
    pub cancels: Sharded<i32, Arc<Notify>>,
    loads: Sharded<ServerId, usize>,
}

impl State {
    /// Returns the number of requests that were sent to a server and aren't
    /// answered.
    #[must_use]
    pub fn load(&self, server: &ServerId) -> usize {
        self.loads.get(server).unwrap_or_default()
    }

    /// Counts a request to a server until the load is dropped.
    #[must_use]
    pub fn add_load(self: &Arc<Self>, server: ServerId) -> Load {
        self.loads.with(&server, |loads| {
            *loads.entry(server.clone()).or_default() += 1;
        });
        Load {
            state: Arc::clone(self),
            server,
        }
    }
}

/// A request that counts as load of a server until it is dropped.
#[derive(Debug)]
pub struct Load {
    state: Arc<State>,
    server: ServerId,
}

impl Drop for Load {
    fn drop(&mut self) {
        self.state.loads.update(&self.server, |load| *load -= 1);
    }
}
