//! Makes the next question for news come early.

use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::Notify;

/// Makes the next question for news come early.
#[derive(Debug, Default)]
pub struct Wake {
    notify: Notify,
    has_changed: AtomicBool,
}

impl Wake {
    /// Asks for news now, wherever it comes from.
    pub fn hurry(&self) {
        self.notify.notify_one();
    }

    /// Asks the store itself now, since this node has just changed it.
    pub fn reread(&self) {
        self.has_changed.store(true, Ordering::Release);
        self.notify.notify_one();
    }

    /// Waits for the wish for news.
    pub async fn wished(&self) {
        self.notify.notified().await;
    }

    /// Tells, once, whether only the store's own answer will do.
    pub fn take_change(&self) -> bool {
        self.has_changed.swap(false, Ordering::AcqRel)
    }
}
