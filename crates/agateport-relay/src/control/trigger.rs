//! A trigger of early polls.

use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::Notify;

/// Triggers a poll before its interval has elapsed.
#[derive(Debug, Default)]
pub struct Trigger {
    notify: Notify,
    must_reread: AtomicBool,
}

impl Trigger {
    /// Triggers a poll, of another node or of the store.
    pub fn poll_now(&self) {
        self.notify.notify_one();
    }

    /// Triggers a poll of the store, because this node has just changed it.
    pub fn reread_store(&self) {
        self.must_reread.store(true, Ordering::Release);
        self.notify.notify_one();
    }

    /// Waits until a poll is triggered.
    pub async fn triggered(&self) {
        self.notify.notified().await;
    }

    /// Returns whether the next poll must read the store, and resets the request.
    pub fn take_reread(&self) -> bool {
        self.must_reread.swap(false, Ordering::AcqRel)
    }
}
