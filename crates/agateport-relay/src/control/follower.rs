//! Keeps the copy of a store table up to date while the node reads the store itself.
//!
//! The silence of a source proves nothing: its call may hang, or the store may deliver
//! nothing for a time. Each read of the node's own rows therefore also returns the
//! revision of the whole store. A copy that includes that revision matches the
//! store; any other one has to catch up.

use crate::source::{Head, Reading, Revision, Source};
use agateport_domain::prelude::*;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Time from a read at a later revision until a copy has to catch up. The source may
/// deliver the changes by itself, and several changes need one call.
const CATCH_UP_DELAY: Duration = Duration::from_millis(400);

/// Follows a source.
#[derive(Debug)]
pub struct Follower<T, A> {
    /// The source.
    pub source: T,
    /// Applies its readings.
    pub apply: A,
    /// Whether this node reads the store itself.
    pub is_reading: watch::Receiver<bool>,
    /// The latest state of the store that this node has read.
    pub heads: watch::Receiver<Option<Head>>,
}

impl<T: Source, A: Fn(Reading<T::Item>) + Send + Sync> Follower<T, A> {
    /// Follows the source until `end` is cancelled.
    pub async fn run(mut self, end: CancellationToken) {
        loop {
            let mut is_reading = self.is_reading.clone();
            let is_following = *is_reading.borrow_and_update();
            tokio::select! {
                () = end.cancelled() => return,
                () = self.advance(), if is_following => {}
                changed = is_reading.changed() => if changed.is_err() { return },
            }
        }
    }

    /// Applies the next reading of the source, or makes it catch up if the store has a
    /// revision that it does not include.
    async fn advance(&mut self) {
        let revision = self.source.revision();
        let reading = tokio::select! {
            reading = self.source.next() => reading,
            head = missed_head(&mut self.heads, revision, &self.apply) => {
                self.source.catch_up(head.revision).await
            }
        };
        (self.apply)(reading);
    }
}

/// Waits until [`CATCH_UP_DELAY`] after a read of the store at a later revision than
/// `known`. Reads at that revision confirm the copy.
async fn missed_head<I>(
    heads: &mut watch::Receiver<Option<Head>>,
    known: Revision,
    confirm: &(impl Fn(Reading<I>) + Sync),
) -> Head {
    loop {
        let head = *heads.borrow_and_update();
        if let Some(head) = head {
            if known < head.revision {
                tokio::time::sleep(CATCH_UP_DELAY).await;
                return heads.borrow().unwrap_or(head);
            }
            confirm(Reading {
                change: None,
                read_at: head.read_at,
            });
        }
        if heads.changed().await.is_err() {
            // The node stops.
            std::future::pending::<()>().await;
        }
    }
}
