//! Lends this node's connections to servers to other nodes.

use crate::channel::{self, Reply, Transport, send};
use crate::control::peer::Call;
use crate::control::suspicion::Suspicions;
use crate::drain::Drain;
use crate::exchange::{self, Exchange};
use crate::link::Setup;
use crate::permit::{self, Cause, Claim, Denial, Permit};
use crate::probe;
use crate::protocol::Protocol;
use crate::upstreams::Upstreams;
use agateport_domain::drain::Step;
use agateport_domain::prelude::*;
use futures::StreamExt;
use std::pin::pin;
use tokio::time::timeout;
use tokio_util::task::TaskTracker;

/// Time without a call after which a channel without a permit is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time beyond which a borrower that uses its permit for no command counts as lost, in
/// addition to the time until its answer is due: the pauses of a busy VM. Within a transaction
/// the borrower enforces the limit, because the owner does not see all that its client sends.
const BORROWER_GRACE: Duration = Duration::from_secs(1);

/// Time within which a claim is refused after its maximum wait.
const REFUSAL_TIME: Duration = Duration::from_millis(5);

/// Serves the channels of other nodes.
#[derive(Debug)]
pub struct Lender<W> {
    /// Groups and servers known to this node.
    pub upstreams: Arc<Upstreams<W>>,
    /// Stages in which the node ends.
    pub drain: Drain,
    /// Servers that other nodes suspect to be down.
    pub suspicions: Arc<Suspicions>,
    /// Lent permits; the node waits for their return before it stops.
    pub lent: TaskTracker,
}

impl<W> Clone for Lender<W> {
    fn clone(&self) -> Self {
        Self {
            upstreams: self.upstreams.clone(),
            drain: self.drain.clone(),
            suspicions: self.suspicions.clone(),
            lent: self.lent.clone(),
        }
    }
}

impl<W: Protocol> Lender<W> {
    /// Serves a channel from its first call until it is closed.
    ///
    /// # Errors
    ///
    /// [`channel::Error`] if the channel breaks.
    pub async fn serve(&self, mut transport: Transport, first: Call) -> Result<(), channel::Error> {
        let mut call = first;
        loop {
            match &call {
                Call::Claim(claim) => self.lend(&mut transport, claim).await?,
                Call::ClaimFor(workspace, claim) => {
                    let claim = Claim {
                        workspace: Some(workspace.clone()),
                        ..claim.clone()
                    };
                    self.lend(&mut transport, &claim).await?;
                }
                Call::Probe(server) => self.answer_probe(&mut transport, server).await?,
                Call::Suspect(server) => {
                    self.suspicions.report(server);
                    send(&mut transport, &Reply::Acknowledged).await?;
                }
                Call::Borrow {
                    workspace,
                    version,
                    count,
                } => {
                    let allowances = self.upstreams.allowances();
                    let lent = allowances.lend(workspace, *version, *count);
                    let reply = Reply::Lent {
                        count: lent.count,
                        retry_after: lent.retry_after,
                    };
                    send(&mut transport, &reply).await?;
                }
                // An update is not valid on a channel, and a command needs a permit.
                Call::Update(_) | Call::Execute(_) => return Ok(()),
            }
            let Ok(Some(frame)) = timeout(IDLE_TIMEOUT, transport.next()).await else {
                return Ok(());
            };
            call = postcard::from_bytes(&frame?)?;
        }
    }

    async fn lend(&self, transport: &mut Transport, claim: &Claim) -> Result<(), channel::Error> {
        let _token = self.lent.token();
        match self.acquire(transport, claim).await? {
            Ok(permit) => self.execute_all(transport, claim, permit).await,
            Err(denial) => send(transport, &Reply::Denied(denial)).await,
        }
    }

    async fn answer_probe(
        &self,
        transport: &mut Transport,
        server: &ServerId,
    ) -> Result<(), channel::Error> {
        send(transport, &Reply::Pending).await?;
        let outcome = match self.upstreams.server(server) {
            Some(server) => server.probe().await,
            None => probe::Outcome::Unknown,
        };
        send(transport, &Reply::Probed(outcome)).await
    }

    /// Acquires a local permit, and sends an interim reply if that takes time.
    async fn acquire(
        &self,
        transport: &mut Transport,
        claim: &Claim,
    ) -> Result<Result<Permit<W>, Denial>, channel::Error> {
        if self.drain.stop.is_cancelled() {
            return Ok(Err(Denial::Unavailable(Cause::Leaving)));
        }
        let server = self.upstreams.server(&claim.server);
        let server = server.filter(|server| server.role().is_owner());
        let Some(server) = server else {
            return Ok(Err(Denial::Unavailable(Cause::NotOwner)));
        };
        let mut acquiring = pin!(permit::acquire_local(&server, claim));
        let acquired = tokio::select! {
            biased;
            acquired = &mut acquiring => Some(acquired),
            () = std::future::ready(()) => None,
        };
        if let Some(acquired) = acquired {
            return Ok(acquired);
        }
        send(transport, &Reply::Pending).await?;
        let acquired = while_open(transport, timeout(claim.max_wait, &mut acquiring)).await?;
        if let Ok(acquired) = acquired {
            return Ok(acquired);
        }
        // A refusal follows at once, so a claim that is still waiting is due to start.
        let acquired = while_open(transport, timeout(REFUSAL_TIME, &mut acquiring)).await?;
        if let Ok(acquired) = acquired {
            return Ok(acquired);
        }
        send(transport, &Reply::Pending).await?;
        while_open(transport, acquiring).await
    }

    /// Executes requests until one fails or leaves the session outside of a
    /// transaction.
    async fn execute_all(
        &self,
        transport: &mut Transport,
        claim: &Claim,
        mut permit: Permit<W>,
    ) -> Result<(), channel::Error> {
        let Some(server) = self.upstreams.server(&claim.server) else {
            return send(
                transport,
                &Reply::Denied(Denial::Unavailable(Cause::NotOwner)),
            )
            .await;
        };
        if let Err(error) = send(transport, &Reply::from(server.grant())).await {
            permit.release_unused();
            return Err(error);
        }
        let mut is_used = false;
        let cut = self.drain.cut.clone();
        loop {
            let next = cut.run_until_cancelled(transport.next());
            let limit = if is_used {
                Duration::MAX
            } else {
                claim.due_in.saturating_add(BORROWER_GRACE)
            };
            let Ok(next) = timeout(limit, next).await else {
                if !is_used {
                    permit.release_unused();
                }
                return Err(channel::Error::Unused);
            };
            let Some(Some(frame)) = next else { break };
            let Call::Execute(request) = postcard::from_bytes(&frame?)? else {
                return Ok(());
            };
            let channel::Request {
                values,
                prepared,
                command,
                time_left,
            } = request;
            is_used = true;
            if !self.drain.allows(Step::Lent, time_left) {
                return send(transport, &Reply::Failed(exchange::Failure::Unsent)).await;
            }
            let setup = Setup {
                values: values.as_ref(),
                prepared,
            };
            let deadline = Instant::now() + time_left;
            let exchange = Exchange {
                server: &server,
                permit: &mut permit,
                deadline,
            };
            let exchanging = cut.run_until_cancelled(exchange.run(&setup, command));
            // To the borrower it is as if this node had already ended.
            let exchanged = exchanging
                .await
                .unwrap_or(Err(exchange::Failure::ChannelClosed));
            let state = exchanged.as_ref().ok().map(|answer| answer.state);
            let reply = Reply::from(exchanged);
            let is_open = state.is_some_and(|state| !state.is_idle());
            if !is_open {
                if let Some(state) = state {
                    permit.release(state);
                }
                return send(transport, &reply).await;
            }
            permit.pause();
            send(transport, &reply).await?;
        }
        if !is_used {
            // The borrower left as the permit was granted; its connection can be reused.
            permit.release_unused();
        }
        Ok(())
    }
}

/// Waits for the result of `work` while the borrower waits as well. It sends nothing
/// meanwhile, so whatever is received ends the channel, and `work` is dropped.
async fn while_open<T>(
    transport: &mut Transport,
    work: impl Future<Output = T>,
) -> Result<T, channel::Error> {
    tokio::select! {
        biased;
        result = work => Ok(result),
        _ = transport.next() => Err(channel::Error::Abandoned),
    }
}
