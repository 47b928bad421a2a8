//! State of the frontend that does not belong to a session.

use super::read_index::Poll;
use agateport_domain::prelude::*;
use agateport_domain::request::retry::Budget;
use tokio::sync::Notify;

/// State of the frontend that does not belong to a session.
#[derive(Debug, Default)]
pub struct State {
    /// Retry budget of each group.
    pub budgets: Sharded<GroupId, Budget>,
    /// Last poll for a read index of each group.
    pub polls: Sharded<GroupId, Poll>,
    /// Cancel notifications of the callers, by their secrets.
    pub cancels: Sharded<i32, Arc<Notify>>,
    loads: Sharded<ServerId, usize>,
}

impl State {
    /// Returns the number of unanswered requests that this frontend has sent to a
    /// server.
    #[must_use]
    pub fn load(&self, server: &ServerId) -> usize {
        self.loads.get(server).unwrap_or_default()
    }

    /// Counts a request as load of a server until the guard is dropped.
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

/// Guard that counts one request as load of a server.
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
