//! Accepts callers and starts a session for each.

use crate::caller::Session;
use crate::connection::Connection;
use crate::drain::Drain;
use crate::protocol::Protocol;
use crate::statement::Runner;
use agateport_domain::prelude::*;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

/// Pause after a failure. Accepting may keep failing for some time; the pause avoids a
/// busy loop.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Accepts callers until the cut.
pub async fn accept<W: Protocol>(
    listener: TcpListener,
    sessions: &TaskTracker,
    runner: Runner<W>,
    shutdown: watch::Receiver<bool>,
    drain: Drain,
) {
    let cut = drain.cut.clone();
    while let Some(accepted) = cut.run_until_cancelled(listener.accept()).await {
        match accepted {
            Ok((stream, _)) => {
                let (runner, shutdown, drain) = (runner.clone(), shutdown.clone(), drain.clone());
                sessions.spawn(serve(stream, runner, shutdown, drain));
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error, "the connection of a caller could not be accepted");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn serve<W: Protocol>(
    stream: TcpStream,
    runner: Runner<W>,
    shutdown: watch::Receiver<bool>,
    drain: Drain,
) {
    let served = match Connection::<W>::new(stream) {
        Ok(connection) => {
            Session::new(connection, runner, shutdown, drain)
                .run()
                .await
        }
        Err(error) => Err(error),
    };
    if let Err(error) = served {
        tracing::debug!(%error, "a caller's connection broke");
    }
}
