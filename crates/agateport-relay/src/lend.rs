//! Lends the connections of this node's servers to other nodes.

use crate::control::doubt::Doubts;
use crate::control::peer::Call;
use crate::dialect::Dialect;
use crate::exchange::Exchange;
use crate::lane::{self, Reply, Run, Wire, send};
use crate::link::Setup;
use crate::seat::{self, Claim, Denial, Gap, Seat};
use crate::server::Standing;
use crate::sight::Sight;
use crate::upstreams::Upstreams;
use agateport_domain::prelude::*;
use futures::StreamExt;
use std::pin::pin;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Time without a claim after which a lane is closed.
const IDLE: Duration = Duration::from_secs(10);

/// Lends the connections of this node's servers to other nodes.
#[derive(Debug)]
pub struct Lender<D> {
    /// The servers that this node knows.
    pub upstreams: Arc<Upstreams<D>>,
    /// Cancelled when the node is asked to stop.
    pub stop: CancellationToken,
    /// Servers that other nodes take for lost.
    pub doubts: Arc<Doubts>,
    /// Seats that are lent; the node waits for them before it ends.
    pub lent: TaskTracker,
}

impl<D> Clone for Lender<D> {
    fn clone(&self) -> Self {
        Self {
            upstreams: self.upstreams.clone(),
            stop: self.stop.clone(),
            doubts: self.doubts.clone(),
            lent: self.lent.clone(),
        }
    }
}

impl<D: Dialect> Lender<D> {
    /// Serves a node from its first call on, until its lane breaks.
    ///
    /// # Errors
    ///
    /// [`lane::Error`] if it does.
    pub async fn serve(&self, mut wire: Wire, first: Call) -> Result<(), lane::Error> {
        let mut call = first;
        loop {
            match &call {
                Call::Claim(claim) => self.lend(&mut wire, claim).await?,
                Call::Status(server) => self.tell_status(&mut wire, server).await?,
                Call::Doubt(server) => {
                    self.doubts.raise(server);
                    send(&mut wire, &Reply::Noted).await?;
                }
                // Neither has a place on a lane without a seat.
                Call::News(_) | Call::Run(_) => return Ok(()),
            }
            let Ok(Some(frame)) = timeout(IDLE, wire.next()).await else {
                return Ok(());
            };
            call = postcard::from_bytes(&frame?)?;
        }
    }

    async fn lend(&self, wire: &mut Wire, claim: &Claim) -> Result<(), lane::Error> {
        let _token = self.lent.token();
        match self.seat(wire, claim).await? {
            Ok(seat) => self.run_all(wire, claim, seat).await,
            Err(denial) => send(wire, &Reply::Denied(denial)).await,
        }
    }

    async fn tell_status(&self, wire: &mut Wire, server: &ServerId) -> Result<(), lane::Error> {
        send(wire, &Reply::Waiting).await?;
        let sight = match self.upstreams.server(server) {
            Some(server) => server.sight().await,
            None => Sight::Untold,
        };
        send(wire, &Reply::Status(sight)).await
    }

    /// Finds a seat, and tells the node if it has to wait for it.
    async fn seat(
        &self,
        wire: &mut Wire,
        claim: &Claim,
    ) -> Result<Result<Seat<D>, Denial>, lane::Error> {
        if self.stop.is_cancelled() {
            return Ok(Err(Denial::Missed(Gap::Leaving)));
        }
        let server = self.upstreams.server(&claim.server);
        let server = server.filter(|server| matches!(*server.standing(), Standing::Owner));
        let Some(server) = server else {
            return Ok(Err(Denial::Missed(Gap::NotOwner)));
        };
        let mut taking = pin!(seat::take(&server, claim));
        let taken = tokio::select! {
            biased;
            taken = &mut taking => Some(taken),
            () = std::future::ready(()) => None,
        };
        if let Some(taken) = taken {
            return Ok(taken);
        }
        send(wire, &Reply::Waiting).await?;
        Ok(taking.await)
    }

    /// Runs statements until one leaves the session outside of any transaction.
    async fn run_all(
        &self,
        wire: &mut Wire,
        claim: &Claim,
        mut seat: Seat<D>,
    ) -> Result<(), lane::Error> {
        let Some(server) = self.upstreams.server(&claim.server) else {
            return send(wire, &Reply::Denied(Denial::Missed(Gap::NotOwner))).await;
        };
        let load = server.load();
        send(wire, &Reply::Granted { load }).await?;
        while let Some(frame) = wire.next().await {
            let Call::Run(run) = postcard::from_bytes(&frame?)? else {
                return Ok(());
            };
            let Run {
                values,
                prepared,
                order,
                limit,
            } = run;
            let setup = Setup {
                values: values.as_ref(),
                prepared,
            };
            let deadline = Instant::now() + limit;
            let exchange = Exchange {
                server: &server,
                seat: &mut seat,
                deadline,
            };
            let exchanged = exchange.run(&setup, order).await;
            let state = exchanged.as_ref().ok().map(|answer| answer.state);
            let reply = Reply::from(exchanged);
            let is_open = state.is_some_and(|state| !state.is_idle());
            if !is_open {
                if let Some(state) = state {
                    seat.release(state);
                }
                return send(wire, &reply).await;
            }
            seat.pause();
            send(wire, &reply).await?;
        }
        Ok(())
    }
}
