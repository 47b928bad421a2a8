//! The background tasks of a node.

use agateport_domain::prelude::*;
use std::sync::OnceLock;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// The background tasks of a node.
///
/// A task that panics would leave a node that serves callers, but no longer follows the
/// store. The node is stopped instead, like by an operator: it stops taking callers, ends
/// its sessions, and is started again by the platform.
#[derive(Clone, Debug)]
pub struct Tasks {
    tracker: TaskTracker,
    /// Cancelled when the node must stop.
    stop: CancellationToken,
    panicked: Arc<OnceLock<&'static str>>,
}

impl Tasks {
    /// Creates an empty set; `stop` stops the node.
    #[must_use]
    pub fn new(stop: CancellationToken) -> Self {
        Self {
            tracker: TaskTracker::new(),
            stop,
            panicked: Arc::default(),
        }
    }

    /// Starts a task that runs until the node has stopped.
    pub fn spawn(&self, name: &'static str, task: impl Future<Output = ()> + Send + 'static) {
        let (stop, panicked) = (self.stop.clone(), self.panicked.clone());
        self.tracker.spawn(async move {
            let ended = tokio::spawn(task).await;
            if let Err(error) = ended {
                tracing::error!(event = "task_panicked", task = name, %error, "a background task ended abnormally; the node stops");
                // The first one is reported; later ones may follow from it.
                let _ = panicked.set(name);
                stop.cancel();
            }
        });
    }

    /// Returns the name of the first task that panicked, if any has.
    #[must_use]
    pub fn panicked(&self) -> Option<&'static str> {
        self.panicked.get().copied()
    }
}
