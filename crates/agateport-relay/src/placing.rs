//! Finds the server for a statement, with a slot and a connection.

use crate::catalog::Consistency;
use crate::clock::uptime;
use crate::dialect::Dialect;
use crate::exchange::align;
use crate::group::Group;
use crate::link::{self, Link};
use crate::message::{Access, Answer, Code, Request, Tried};
use crate::proof::{floor, is_leader, prove_before};
use crate::reply;
use crate::server::{Server, Slot};
use crate::statement::Runner;
use crate::work::{Miss, Try, Work};
use agateport_domain::prelude::*;
use agateport_domain::request::Refusal;
use agateport_domain::session::placement::{self, Spot};

/// Servers that one statement is tried at before it is refused.
const ATTEMPTS: usize = 4;

/// Pause before another try at a server that has no connection left; other
/// nodes close theirs meanwhile.
const CONNECTION_PAUSE: Duration = Duration::from_millis(15);

/// Part of the target for which a statement waits for a slot. A caller that is
/// refused by then can still be served within the target at another node.
const PATIENCE_SHARE: f64 = 0.22;

/// Everything that a statement needs at one server.
#[derive(Debug)]
pub struct Place<D: Dialect> {
    /// The right to a slot.
    pub slot: Slot<D>,
    /// A connection with the session's values and prepared statements.
    pub link: Link<D>,
    /// What the server's log must hold.
    pub floor: Option<Watermark>,
}

impl<D: Dialect> Runner<D> {
    /// Tries servers, the best first, until one try is over.
    ///
    /// # Errors
    ///
    /// The answer to give if none is; nothing was run.
    pub(crate) async fn try_servers<T, F>(
        &self,
        group: &Group,
        work: &Work<'_>,
        access: Access,
        attempt: impl Fn(Arc<Server<D>>) -> F,
    ) -> Result<T, Answer>
    where
        F: Future<Output = Try<T>>,
    {
        let mut excluded = BTreeSet::new();
        let mut reason = "no server may run it";
        let mut tries = Vec::new();
        for _ in 0..ATTEMPTS {
            let Some(server) = self.choose(group, work, access, &excluded) else {
                break;
            };
            let miss = match attempt(server.clone()).await {
                Try::Over(result) => return Ok(result),
                Try::Missed(miss) => miss,
            };
            self.metrics().count("missed", miss.reason());
            tries.push(tried(group, &server, work, &miss));
            match miss {
                Miss::Refused(refusal) => {
                    let answer = reply::refused(&refusal);
                    return Err(Answer { tries, ..answer });
                }
                Miss::Again(why) => reason = why,
                Miss::Elsewhere(why) => {
                    reason = why;
                    excluded.insert(server.listing().server.clone());
                }
            }
            if Instant::now() >= work.deadline() {
                break;
            }
        }
        let answer = reply::unplaced(group, reason);
        Err(Answer { tries, ..answer })
    }

    /// Gets a slot and a connection at a server, and the proof that it may run
    /// the statement.
    ///
    /// # Errors
    ///
    /// [`Miss`] if it may not; nothing was run.
    pub(crate) async fn occupy(
        &self,
        group: &Group,
        server: &Arc<Server<D>>,
        work: &Work<'_>,
        request: Option<&Request>,
        access: Access,
    ) -> Result<Place<D>, Miss> {
        let at_leader = is_leader(group, server);
        if at_leader && !prove_before(group, server, work, access).await {
            return Err(Miss::Elsewhere("the primary isn't proven"));
        }
        let slot = admit(server, work).await.map_err(Miss::Refused)?;
        let link = aligned(server, work, request).await?;
        if at_leader && !is_leader(group, server) {
            server.give_back(link);
            return Err(Miss::Elsewhere("the primary was replaced"));
        }
        let floor = floor(group, work, at_leader);
        Ok(Place { slot, link, floor })
    }

    /// Returns the best server for a statement.
    fn choose(
        &self,
        group: &Group,
        work: &Work<'_>,
        access: Access,
        excluded: &BTreeSet<ServerId>,
    ) -> Option<Arc<Server<D>>> {
        let leader = group.leader().map(|leader| leader.server);
        let needs_leader =
            access == Access::Write || work.route.consistency == Consistency::Primary;
        if needs_leader {
            let leader = leader.filter(|leader| !excluded.contains(leader))?;
            // Nothing waits for a server that is out of reach.
            let server = self.upstreams().server(&leader);
            return server.filter(|server| !server.is_lost());
        }
        let floor = group.floor(work.oldest(), work.seen);
        let servers = self.upstreams().servers(&work.route.group);
        let spots: Vec<_> = servers
            .iter()
            .filter_map(|server| self.spot(server, leader.as_ref(), excluded))
            .collect();
        let order = placement::order(&spots, floor);
        self.upstreams().server(order.first()?)
    }

    fn spot(
        &self,
        server: &Server<D>,
        leader: Option<&ServerId>,
        excluded: &BTreeSet<ServerId>,
    ) -> Option<Spot> {
        let listing = server.listing();
        if listing.is_leaving || excluded.contains(&listing.server) || server.is_lost() {
            return None;
        }
        let place = server.place();
        Some(Spot {
            server: listing.server.clone(),
            is_primary: leader == Some(&listing.server),
            is_near: self.upstreams().is_near(&listing),
            place: place.map(|(place, _)| place),
            is_recent: place.is_some_and(|(_, is_recent)| is_recent),
            load: server.load(),
        })
    }
}

/// Returns why a server didn't run a statement, with what decided it.
fn tried<D: Dialect>(group: &Group, server: &Server<D>, work: &Work<'_>, miss: &Miss) -> Tried {
    Tried {
        server: server.listing().server.clone(),
        reason: miss.reason(),
        load: server.load(),
        place: server.place().map(|(place, _)| place),
        proof_left: group.proven_until().saturating_sub(uptime()),
        waited: work.started.elapsed(),
    }
}

/// Returns a connection with the session's values and prepared statements.
async fn aligned<D: Dialect>(
    server: &Arc<Server<D>>,
    work: &Work<'_>,
    request: Option<&Request>,
) -> Result<Link<D>, Miss> {
    let mut opened = server.link(work.context).await;
    while is_full(&opened) && Instant::now() < latest(work) {
        tokio::time::sleep(CONNECTION_PAUSE).await;
        opened = server.link(work.context).await;
    }
    let mut link = opened.map_err(|error| {
        tracing::info!(
            event = "connection_failed",
            server = &*server.listing().server,
            %error,
            "no connection to a server"
        );
        Miss::Elsewhere("the server can't be reached")
    })?;
    align(&mut link, work.context, request, work.deadline())
        .await
        .map_err(|_| Miss::Again("the connection broke"))?;
    Ok(link)
}

/// Waits for a slot at a server, while there is time to try elsewhere.
async fn admit<D: Dialect>(server: &Arc<Server<D>>, work: &Work<'_>) -> Result<Slot<D>, Refusal> {
    server
        .admit(&work.route.priority, work.caller, work.due(), latest(work))
        .await
}

/// Returns when a statement that no server has taken is refused, however many
/// were tried.
fn latest(work: &Work<'_>) -> Instant {
    work.started + work.route.target.mul_f64(PATIENCE_SHARE)
}

/// Tells whether a server has no connection left.
fn is_full<T>(opened: &Result<T, link::Error>) -> bool {
    matches!(opened, Err(link::Error::Refused(Code::TooMany)))
}
