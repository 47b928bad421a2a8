//! Runs one promotion: executes its effects and passes their outcomes on as
//! events.

use crate::control::claim::{self, Conflict};
use crate::node::Node;
use agateport_domain::bundle;
use agateport_domain::group::Status;
use agateport_domain::group::promotion::{Claim, Effect, Event, Promotion, Step};
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_wire::Error;
use agateport_wire::postgres::control::Control;
use std::net::SocketAddr;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, timeout};

/// Time limit for a server to carry out an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);

/// One promotion of a group.
pub struct Attempt<'a, P> {
    /// The node that runs the promotion.
    pub node: &'a Arc<Node<P>>,
    /// Declaration of the group.
    pub group: &'a bundle::Group,
    /// Term of the last known primary.
    pub primary_term: Term,
    /// Term of the claim that blocked the last attempt.
    pub conflict: Conflict,
}

/// Outcome of one effect.
enum Outcome {
    Claimed(Claim, Conflict),
    Event(Event),
}

impl<P: Policy + Send + Sync + 'static> Attempt<'_, P> {
    /// Runs the promotion in `term` to its end.
    pub async fn run(mut self, term: Term, preferred: Option<ServerId>) -> (Step, Conflict) {
        let servers = self.group.servers.iter().map(|server| server.name.clone());
        let (mut promotion, effects) = Promotion::start(term, servers, preferred, Instant::now());
        let mut outcomes = JoinSet::new();
        self.start(effects, &mut outcomes);
        while let Some(deadline) = promotion.deadline() {
            let effects = tokio::select! {
                Some(outcome) = outcomes.join_next() => match outcome {
                    Ok(outcome) => promotion.handle(self.event(outcome), Instant::now()),
                    Err(_) => Vec::new(),
                },
                () = sleep_until(deadline.into()) => promotion.expire(Instant::now()),
            };
            self.start(effects, &mut outcomes);
        }
        (promotion.step().clone(), self.conflict)
    }

    fn event(&mut self, outcome: Outcome) -> Event {
        match outcome {
            Outcome::Claimed(claim, conflict) => {
                self.conflict = conflict;
                Event::Claimed(claim)
            }
            Outcome::Event(event) => event,
        }
    }

    fn start(&self, effects: Vec<Effect>, outcomes: &mut JoinSet<Outcome>) {
        for effect in effects {
            match effect {
                Effect::Claim(term) => {
                    outcomes.spawn(self.claim(term));
                }
                Effect::Fence(server, term) => {
                    outcomes.spawn(self.fence(server, term));
                }
                Effect::Promote(server, term) => {
                    outcomes.spawn(self.promote(server, term));
                }
                effect => follow_up(self.node, self.group, effect),
            }
        }
    }

    fn claim(&self, term: Term) -> impl Future<Output = Outcome> + Send + use<P> {
        let node = Arc::clone(self.node);
        let group = self.group.name.clone();
        let (primary_term, conflict) = (self.primary_term, self.conflict);
        async move {
            let (claim, conflict) = claim::claim(&node, &group, term, primary_term, conflict).await;
            Outcome::Claimed(claim, conflict)
        }
    }

    fn fence(&self, server: ServerId, term: Term) -> impl Future<Output = Outcome> + Send + use<P> {
        let order = self.send_order(&server, Order::Fence(term));
        async move {
            Outcome::Event(match order.await {
                Ok(status) => Event::Fenced(server, status),
                Err(_) => Event::Failed(server),
            })
        }
    }

    fn promote(
        &self,
        server: ServerId,
        term: Term,
    ) -> impl Future<Output = Outcome> + Send + use<P> {
        let order = self.send_order(&server, Order::Promote(term));
        async move {
            Outcome::Event(match order.await {
                Ok(_) => Event::Promoted(server),
                Err(_) => Event::Failed(server),
            })
        }
    }

    fn send_order(
        &self,
        server: &ServerId,
        order: Order,
    ) -> impl Future<Output = Result<Status, Error>> + Send + use<P> {
        let node = Arc::clone(self.node);
        let group = self.group.name.clone();
        let server = server.clone();
        let address = address(self.group, &server);
        async move {
            let address = address.ok_or(Error::Ended)?;
            // The status is at least as recent as the order.
            let sent_at = Instant::now();
            let result = timeout(ORDER_TIMEOUT, run(address, order)).await;
            let status = result.map_err(|_| Error::Ended)??;
            node.groups.update(&group, |group| {
                group.record_status(&server, status, sent_at);
            });
            node.reports.send_modify(|count| *count += 1);
            Ok(status)
        }
    }
}

/// Carries out, in the background, an effect that follows a promotion.
pub fn follow_up<P>(node: &Arc<Node<P>>, group: &bundle::Group, effect: Effect)
where
    P: Policy + Send + Sync + 'static,
{
    match effect {
        Effect::Follow {
            server,
            primary,
            term,
        } => {
            let addresses = (address(group, &server), address(group, &primary));
            if let (Some(server), Some(primary)) = addresses {
                // A server that cannot be reached now is ordered again by the
                // group's monitor later.
                tokio::spawn(timeout(
                    ORDER_TIMEOUT,
                    run(server, Order::Follow(primary, term)),
                ));
            }
        }
        Effect::Record(primary, term) => {
            let node = Arc::clone(node);
            let group = group.name.clone();
            tokio::spawn(async move { claim::record(&node, &group, &primary, term).await });
        }
        Effect::Claim(_) | Effect::Fence(..) | Effect::Promote(..) => {}
    }
}

/// An order to a server.
#[derive(Clone, Copy, Debug)]
enum Order {
    Fence(Term),
    Promote(Term),
    Follow(SocketAddr, Term),
}

async fn run(address: SocketAddr, order: Order) -> Result<Status, Error> {
    let mut control = Control::connect(address).await?;
    match order {
        Order::Fence(term) => control.fence(term).await,
        Order::Promote(term) => control.promote(term).await,
        Order::Follow(primary, term) => control.follow(primary, term).await,
    }
}

fn address(group: &bundle::Group, server: &ServerId) -> Option<SocketAddr> {
    let server = group
        .servers
        .iter()
        .find(|declared| declared.name == *server)?;
    Some(server.address)
}
