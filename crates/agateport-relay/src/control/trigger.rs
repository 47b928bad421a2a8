//! Makes the next question for news come early.

use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::Notify;

/// Makes the next question for news come early.
#[derive(Debug, Default)]
pub struct Trigger {
    notify: Notify,
    must_reread: AtomicBool,
}

impl Trigger {
    /// Asks for news now, wherever it comes from.
    pub fn poll_now(&self) {
        self.notify.notify_one();
    }

    /// Asks the store itself now, since this node has just changed it.
    pub fn reread_store(&self) {
        self.must_reread.store(true, Ordering::Release);
        self.notify.notify_one();
    }

    /// Waits for the wish for news.
    pub async fn triggered(&self) {
        self.notify.notified().await;
    }

    /// Tells, once, whether only the store's own answer will do.
    pub fn take_reread(&self) -> bool {
        self.must_reread.swap(false, Ordering::AcqRel)
    }
}
