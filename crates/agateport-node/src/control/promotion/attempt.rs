//! Carries out one promotion: turns its effects into calls and their answers
//! into events.

use crate::control::claim::{self, Obstacle};
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

/// Time that a server has to do as it is told.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// One promotion of a group.
pub struct Attempt<'a, P> {
    /// The node that promotes.
    pub node: &'a Arc<Node<P>>,
    /// The group.
    pub group: &'a bundle::Group,
    /// Term of the last primary that is known.
    pub reigning: Term,
    /// Unfinished claim that was in the way before.
    pub obstacle: Obstacle,
}

/// What came of one effect.
enum Answer {
    Claimed(Claim, Obstacle),
    Event(Event),
}

impl<P: Policy + Send + Sync + 'static> Attempt<'_, P> {
    /// Runs the promotion in `term` to its end.
    pub async fn run(mut self, term: Term, preferred: Option<ServerId>) -> (Step, Obstacle) {
        let servers = self.group.servers.iter().map(|server| server.name.clone());
        let (mut promotion, effects) = Promotion::start(term, servers, preferred, Instant::now());
        let mut answers = JoinSet::new();
        self.start(effects, &mut answers);
        while let Some(deadline) = promotion.deadline() {
            let effects = tokio::select! {
                Some(answer) = answers.join_next() => match answer {
                    Ok(answer) => promotion.handle(self.event(answer), Instant::now()),
                    Err(_) => Vec::new(),
                },
                () = sleep_until(deadline.into()) => promotion.expire(Instant::now()),
            };
            self.start(effects, &mut answers);
        }
        (promotion.step().clone(), self.obstacle)
    }

    fn event(&mut self, answer: Answer) -> Event {
        match answer {
            Answer::Claimed(claim, obstacle) => {
                self.obstacle = obstacle;
                Event::Claimed(claim)
            }
            Answer::Event(event) => event,
        }
    }

    fn start(&self, effects: Vec<Effect>, answers: &mut JoinSet<Answer>) {
        for effect in effects {
            match effect {
                Effect::Claim(term) => {
                    answers.spawn(self.claim(term));
                }
                Effect::Fence(server, term) => {
                    answers.spawn(self.fence(server, term));
                }
                Effect::Promote(server, term) => {
                    answers.spawn(self.promote(server, term));
                }
                effect => follow_up(self.node, self.group, effect),
            }
        }
    }

    fn claim(&self, term: Term) -> impl Future<Output = Answer> + Send + use<P> {
        let node = Arc::clone(self.node);
        let group = self.group.name.clone();
        let (reigning, obstacle) = (self.reigning, self.obstacle);
        async move {
            let (claim, obstacle) = claim::claim(&node, &group, term, reigning, obstacle).await;
            Answer::Claimed(claim, obstacle)
        }
    }

    fn fence(&self, server: ServerId, term: Term) -> impl Future<Output = Answer> + Send + use<P> {
        let call = self.call(&server, Call::Fence(term));
        async move {
            Answer::Event(match call.await {
                Ok(status) => Event::Fenced(server, status),
                Err(_) => Event::Failed(server),
            })
        }
    }

    fn promote(
        &self,
        server: ServerId,
        term: Term,
    ) -> impl Future<Output = Answer> + Send + use<P> {
        let call = self.call(&server, Call::Promote(term));
        async move {
            Answer::Event(match call.await {
                Ok(_) => Event::Promoted(server),
                Err(_) => Event::Failed(server),
            })
        }
    }

    fn call(
        &self,
        server: &ServerId,
        call: Call,
    ) -> impl Future<Output = Result<Status, Error>> + Send + use<P> {
        let node = Arc::clone(self.node);
        let group = self.group.name.clone();
        let server = server.clone();
        let address = address(self.group, &server);
        async move {
            let address = address.ok_or(Error::Ended)?;
            // The status is at least as new as the call.
            let called = Instant::now();
            let result = timeout(CALL_TIMEOUT, run(address, call)).await;
            let status = result.map_err(|_| Error::Ended)??;
            node.groups.update(&group, |group| {
                group.record_status(&server, status, called);
            });
            node.reports.send_modify(|count| *count += 1);
            Ok(status)
        }
    }
}

/// Carries out what follows a promotion, without keeping it waiting.
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
                // A server that can't be told now is a stray, and told later.
                tokio::spawn(timeout(
                    CALL_TIMEOUT,
                    run(server, Call::Follow(primary, term)),
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

/// Something that a server is told.
#[derive(Clone, Copy, Debug)]
enum Call {
    Fence(Term),
    Promote(Term),
    Follow(SocketAddr, Term),
}

async fn run(address: SocketAddr, call: Call) -> Result<Status, Error> {
    let mut control = Control::connect(address).await?;
    match call {
        Call::Fence(term) => control.fence(term).await,
        Call::Promote(term) => control.promote(term).await,
        Call::Follow(primary, term) => control.follow(primary, term).await,
    }
}

fn address(group: &bundle::Group, server: &ServerId) -> Option<SocketAddr> {
    let server = group.servers.iter().find(|one| one.name == *server)?;
    Some(server.address)
}
