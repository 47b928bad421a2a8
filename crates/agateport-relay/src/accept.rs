//! Accepts callers and starts a session for each.

use crate::caller::Session;
use crate::connection::Connection;
use crate::drain::Drain;
use crate::intake::{HOLDING, Holding, Kind};
use crate::protocol::Protocol;
use crate::statement::Runner;
use agateport_domain::prelude::*;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

/// Pause after a failure. Accepting may keep failing for some time; the pause avoids a
/// busy loop.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Accepts callers until the cut. One that is beyond the limit is closed at once, so that
/// the queue of the system does not fill up with callers that wait in vain.
pub async fn accept<W: Protocol>(
    listener: TcpListener,
    sessions: &TaskTracker,
    runner: Runner<W>,
    shutdown: watch::Receiver<bool>,
    drain: Drain,
) {
    let cut = drain.cut.clone();
    let intake = runner.upstreams().intake().clone();
    while let Some(accepted) = cut.run_until_cancelled(listener.accept()).await {
        match accepted {
            Ok((stream, address)) => {
                let Some(holding) = intake.admit(Kind::Caller, address) else {
                    continue;
                };
                let (runner, shutdown, drain) = (runner.clone(), shutdown.clone(), drain.clone());
                sessions.spawn(serve(stream, holding, runner, shutdown, drain));
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
    holding: Arc<Holding>,
    runner: Runner<W>,
    shutdown: watch::Receiver<bool>,
    drain: Drain,
) {
    let connection = match Connection::<W>::new(stream, holding.clone()) {
        Ok(connection) => connection,
        Err(error) => {
            tracing::debug!(%error, "a caller's connection broke");
            return;
        }
    };
    let session = Session::new(connection, runner, shutdown, drain).run();
    // A session that is closed is dropped: its connection to a server is closed as well,
    // so that the server rolls back an open transaction.
    let served = tokio::select! {
        biased;
        () = holding.closed() => return,
        served = HOLDING.scope(holding.clone(), session) => served,
    };
    if let Err(error) = served {
        tracing::debug!(%error, "a caller's connection broke");
    }
}
