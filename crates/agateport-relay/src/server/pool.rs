//! The pool of a server's connections that no statement uses.

use super::{IDLE_TIMEOUT, Inner, Server};
use crate::clock::uptime;
use crate::link::{self, Link};
use crate::message::Values;
use crate::protocol::Protocol;
use agateport_domain::prelude::*;

/// Idle timeout of a workspace's connection, which no other workspace can use. The number of
/// such connections is limited, so the timeout only closes those of workspaces that have left.
const WORKSPACE_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Divisor of the share's connections for those that a node keeps open for workspaces. When all
/// nodes lose power, the server counts their connections for 3 s more; the other half leaves
/// room for as many new ones.
const KEPT_DIVISOR: usize = 2;

impl<W: Protocol> Inner<W> {
    /// Closes the connections of workspaces that have been unused for the longest, until a
    /// further connection stays within the node's part of the server's connections.
    fn make_room(&mut self) {
        let kept = self.share.connections / KEPT_DIVISOR;
        while self.queue.connections_in_use() + self.idle.len() > kept.max(1) {
            let idle = self.idle.iter().enumerate();
            let idle = idle.filter(|(_, link)| link.workspace().is_some());
            let Some((index, _)) = idle.min_by_key(|(_, link)| link.idle_since) else {
                return;
            };
            self.idle.swap_remove(index);
        }
    }
}

impl<W: Protocol> Server<W> {
    /// Takes the idle connection of the workspace that needs the fewest commands to have
    /// `values` out of the pool; none if a new one has to be opened.
    #[must_use]
    pub fn idle_link(&self, values: &Values, workspace: Option<&WorkspaceId>) -> Option<Link<W>> {
        let mut inner = self.lock();
        loop {
            let usable = inner.idle.iter().enumerate();
            let usable = usable.filter(|(_, link)| link.workspace() == workspace);
            let (index, _) = usable.min_by_key(|(_, link)| link.distance(values))?;
            let link = inner.idle.swap_remove(index);
            if link.is_open() {
                return Some(link);
            }
        }
    }

    /// Returns an idle connection of any workspace, or opens one for none. The node's own
    /// commands depend on no workspace.
    ///
    /// # Errors
    ///
    /// [`link::Error`] if the server is unreachable or refuses the connection.
    pub async fn any_link(&self) -> Result<Link<W>, link::Error> {
        let idle = {
            let mut inner = self.lock();
            inner.idle.retain(Link::is_open);
            inner.idle.pop()
        };
        match idle {
            Some(link) => Ok(link),
            None => self.open_link(None).await,
        }
    }

    /// Returns an idle connection of the workspace, or opens a new one.
    ///
    /// # Errors
    ///
    /// [`link::Error`] if the server is unreachable or refuses the connection.
    pub async fn link(
        &self,
        values: &Values,
        workspace: Option<&WorkspaceId>,
    ) -> Result<Link<W>, link::Error> {
        if let Some(link) = self.idle_link(values, workspace) {
            return Ok(link);
        }
        self.lock().make_room();
        self.open_link(workspace).await
    }

    async fn open_link(&self, workspace: Option<&WorkspaceId>) -> Result<Link<W>, link::Error> {
        let started_at = uptime();
        let entry = self.entry();
        let opened = Link::open(
            self.trace.next_link(),
            entry.address,
            &entry.group,
            &entry.server,
            workspace,
        )
        .await;
        match opened {
            Ok((link, watermark)) => {
                self.record_answer(started_at, watermark);
                Ok(link)
            }
            Err(link::Error::Refused(code)) => Err(link::Error::Refused(code)),
            Err(error) => {
                self.lock().detector.record_failure(started_at);
                Err(error)
            }
        }
    }

    /// Takes back a connection that is outside of a transaction, for reuse.
    pub fn release_link(&self, mut link: Link<W>) {
        link.rest();
        self.lock().idle.push(link);
    }

    /// Closes connections that are broken or were idle for too long, and assigns slots to
    /// requests that are no longer held back for more urgent ones.
    pub fn close_idle(&self) {
        let now = uptime();
        let mut inner = self.lock();
        Self::dispatch(&mut inner);
        let idle_timeout = inner.idle_timeout;
        inner.idle.retain(|link| {
            let is_kept = link.workspace().is_some() && idle_timeout == IDLE_TIMEOUT;
            let timeout = if is_kept {
                WORKSPACE_IDLE_TIMEOUT
            } else {
                idle_timeout
            };
            now < link.idle_since + timeout && link.is_open()
        });
    }
}
