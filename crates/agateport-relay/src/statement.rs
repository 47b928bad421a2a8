//! Runs statements at the servers that may run them.

use crate::catalog::{Consistency, Route};
use crate::clock::uptime;
use crate::dialect::Dialect;
use crate::group::Group;
use crate::link::{self, Context, Link};
use crate::message::{Access, Answer, Code, Order, Outcome, Request, State};
use crate::server::{Server, Slot};
use crate::upstreams::Upstreams;
use agateport_domain::prelude::*;
use agateport_domain::request::Refusal;
use agateport_domain::session::placement::{self, Spot};
use std::pin::pin;
use tokio::time::{Instant as Deadline, timeout_at};

/// Servers that one statement is tried at before it is refused.
const ATTEMPTS: usize = 4;

/// Pause before another try at a server that has no connection left; other
/// nodes close theirs meanwhile.
const CONNECTION_PAUSE: Duration = Duration::from_millis(15);

/// Silence after which a server is suspected: the time of a long statement and a
/// full queue.
const SILENCE: Duration = Duration::from_millis(300);

/// Part of the target for which a statement waits for a slot. A caller that is
/// refused by then can still be served within the target at another node.
const PATIENCE_SHARE: f64 = 0.22;

/// Time for which a write that hasn't been sent waits for the proof that its
/// primary is the only one: a few round trips to the group's other servers.
const PROOF_PATIENCE: Duration = Duration::from_millis(150);

/// Time after which a refused caller is told to come back when the group has no
/// primary: about what is left of a handover on average.
const HANDOVER_RETRY: Duration = Duration::from_millis(800);

/// Time after which a refused caller is told to come back when no server that
/// may run its statement could be reached.
const UNREACHABLE_RETRY: Duration = Duration::from_millis(200);

/// What a statement brings along.
#[derive(Debug)]
pub struct Work<'a> {
    /// How its database is served.
    pub route: &'a Route,
    /// Who asks, for fairness among callers.
    pub caller: &'a CallerId,
    /// What a connection must have for it.
    pub context: &'a Context,
    /// What its session has written.
    pub seen: Option<Watermark>,
    /// When it, or its transaction, came in, by the clock of proofs.
    pub arrived: Uptime,
    /// The same by the clock of limits.
    pub started: Instant,
}

impl Work<'_> {
    fn deadline(&self) -> Instant {
        self.started + self.route.timeout
    }

    fn due(&self) -> Instant {
        self.started + self.route.target
    }

    /// Returns the moment before which everything acknowledged must be seen.
    fn oldest(&self) -> Uptime {
        let staleness = self.route.consistency.staleness();
        self.arrived.saturating_sub(staleness)
    }
}

/// Why a statement wasn't run at one server.
#[derive(Debug)]
enum Miss {
    /// Another server may run it.
    Elsewhere(&'static str),
    /// The same server may run it over another connection.
    Again(&'static str),
    /// No server is free in time.
    Refused(Refusal),
}

/// How one try at a server ended.
#[derive(Debug)]
enum Try<T> {
    /// It is over, well or not.
    Over(T),
    /// It certainly did not run, or may be run again.
    Missed(Miss),
}

/// An open transaction's connection.
#[derive(Debug)]
pub struct Pinned<D: Dialect> {
    link: Link<D>,
    slot: Slot<D>,
    group: Arc<Group>,
    has_written: bool,
}

/// Runs statements at the servers that may run them.
#[derive(Debug)]
pub struct Runner<D> {
    upstreams: Arc<Upstreams<D>>,
}

impl<D> Clone for Runner<D> {
    fn clone(&self) -> Self {
        let upstreams = self.upstreams.clone();
        Self { upstreams }
    }
}

impl<D: Dialect> Runner<D> {
    /// Creates a runner over these servers.
    #[must_use]
    pub fn new(upstreams: Arc<Upstreams<D>>) -> Self {
        Self { upstreams }
    }

    /// Returns the servers that it runs statements at.
    #[must_use]
    pub fn upstreams(&self) -> &Arc<Upstreams<D>> {
        &self.upstreams
    }

    /// Runs one statement outside of any transaction.
    pub async fn single(&self, work: &Work<'_>, request: &Request, access: Access) -> Answer {
        let group = self.upstreams.group(&work.route.group);
        let mut excluded = BTreeSet::new();
        let mut reason = "no server may run it";
        for _ in 0..ATTEMPTS {
            let Some(server) = self.place(&group, work, access, &excluded) else {
                break;
            };
            match self
                .try_single(&group, &server, work, request, access)
                .await
            {
                Try::Over(answer) => return answer,
                Try::Missed(Miss::Refused(refusal)) => return refused(&refusal),
                Try::Missed(Miss::Again(why)) => reason = why,
                Try::Missed(Miss::Elsewhere(why)) => {
                    reason = why;
                    excluded.insert(server.listing().server.clone());
                }
            }
            if Instant::now() >= work.deadline() {
                break;
            }
        }
        unplaced(&group, reason)
    }

    async fn try_single(
        &self,
        group: &Arc<Group>,
        server: &Arc<Server<D>>,
        work: &Work<'_>,
        request: &Request,
        access: Access,
    ) -> Try<Answer> {
        let at_leader = is_leader(group, server);
        if at_leader && !prove_before(group, server, work, access).await {
            return Try::Missed(Miss::Elsewhere("the primary isn't proven"));
        }
        let slot = match admit(server, work).await {
            Ok(slot) => slot,
            Err(refusal) => return Try::Missed(Miss::Refused(refusal)),
        };
        let mut link = match self.aligned(server, work, Some(request)).await {
            Ok(link) => link,
            Err(miss) => return Try::Missed(miss),
        };
        if at_leader && !is_leader(group, server) {
            server.give_back(link);
            return Try::Missed(Miss::Elsewhere("the primary was replaced"));
        }
        let floor = floor(group, work, at_leader);
        let Some(order) = link::order(request, work.context, floor) else {
            return Try::Over(unprepared(State::Idle));
        };
        let asked = uptime();
        let exchanged = exchange(server, &mut link, order, work.deadline()).await;
        let answer = match exchanged {
            Ok(answer) => answer,
            Err(Lost::Slow) => return Try::Over(slow()),
            Err(Lost::Broken) if access == Access::Read => {
                return Try::Missed(Miss::Again("the connection broke"));
            }
            Err(Lost::Broken) => return Try::Over(unknown("the connection broke")),
        };
        note(group, server, asked, &answer);
        let code = answer.code().cloned();
        if code == Some(Code::NoStatement) {
            link.forget_prepared();
        }
        if answer.state.is_idle() {
            server.give_back(link);
        }
        drop(slot);
        if let Some(miss) = code.and_then(|code| miss(&code)) {
            return Try::Missed(miss);
        }
        let is_done = matches!(answer.outcome, Outcome::Done(_));
        if access == Access::Write && is_done && !prove_after(group, server, work.deadline()).await
        {
            return Try::Over(unknown("the primary may have been replaced"));
        }
        Try::Over(answer)
    }

    /// Opens a transaction at a server, for its first statement.
    ///
    /// # Errors
    ///
    /// The answer to give if no server may run it; nothing was run.
    pub async fn begin(&self, work: &Work<'_>, is_read_only: bool) -> Result<Pinned<D>, Answer> {
        let access = if is_read_only {
            Access::Read
        } else {
            Access::Write
        };
        let group = self.upstreams.group(&work.route.group);
        let mut excluded = BTreeSet::new();
        let mut reason = "no server may run it";
        for _ in 0..ATTEMPTS {
            let Some(server) = self.place(&group, work, access, &excluded) else {
                break;
            };
            match self.try_begin(&group, &server, work, is_read_only).await {
                Try::Over(pinned) => return Ok(pinned),
                Try::Missed(Miss::Refused(refusal)) => return Err(refused(&refusal)),
                Try::Missed(Miss::Again(why)) => reason = why,
                Try::Missed(Miss::Elsewhere(why)) => {
                    reason = why;
                    excluded.insert(server.listing().server.clone());
                }
            }
        }
        Err(unplaced(&group, reason))
    }

    async fn try_begin(
        &self,
        group: &Arc<Group>,
        server: &Arc<Server<D>>,
        work: &Work<'_>,
        is_read_only: bool,
    ) -> Try<Pinned<D>> {
        let at_leader = is_leader(group, server);
        let access = if is_read_only {
            Access::Read
        } else {
            Access::Write
        };
        if at_leader && !prove_before(group, server, work, access).await {
            return Try::Missed(Miss::Elsewhere("the primary isn't proven"));
        }
        let slot = match admit(server, work).await {
            Ok(slot) => slot,
            Err(refusal) => return Try::Missed(Miss::Refused(refusal)),
        };
        let mut link = match self.aligned(server, work, None).await {
            Ok(link) => link,
            Err(miss) => return Try::Missed(miss),
        };
        if at_leader && !is_leader(group, server) {
            server.give_back(link);
            return Try::Missed(Miss::Elsewhere("the primary was replaced"));
        }
        let floor = floor(group, work, at_leader);
        let order = Order::Begin {
            is_read_only,
            floor,
        };
        let asked = uptime();
        let Ok(answer) = exchange(server, &mut link, order, work.deadline()).await else {
            return Try::Missed(Miss::Again("the connection broke"));
        };
        note(group, server, asked, &answer);
        if answer.state == State::Open {
            return Try::Over(Pinned {
                link,
                slot,
                group: group.clone(),
                has_written: false,
            });
        }
        let miss = answer.code().and_then(miss);
        server.give_back(link);
        Try::Missed(miss.unwrap_or(Miss::Elsewhere("the server opened no transaction")))
    }

    /// Runs one statement of an open transaction.
    ///
    /// The connection is lost when none is returned: the server then rolls the
    /// transaction back.
    pub async fn within(
        &self,
        mut pinned: Pinned<D>,
        work: &Work<'_>,
        request: &Request,
        access: Access,
    ) -> (Option<Pinned<D>>, Answer) {
        let Some(order) = link::order(request, work.context, None) else {
            return (Some(pinned), unprepared(State::Open));
        };
        let deadline = Instant::now() + work.route.timeout;
        let server = pinned.slot.server().clone();
        pinned.slot.resume();
        let aligned = align(&mut pinned.link, work.context, Some(request), deadline).await;
        if aligned.is_err() {
            return (None, aborted("the connection broke"));
        }
        let asked = uptime();
        let exchanged = exchange(&server, &mut pinned.link, order, deadline).await;
        let answer = match exchanged {
            Ok(answer) => answer,
            Err(Lost::Slow) => return (None, aborted("the server took too long")),
            Err(Lost::Broken) => return (None, aborted("the connection broke")),
        };
        pinned.slot.pause();
        note(&pinned.group, &server, asked, &answer);
        pinned.has_written |= access == Access::Write;
        (Some(pinned), answer)
    }

    /// Ends a transaction and keeps its writes.
    pub async fn commit(
        &self,
        mut pinned: Pinned<D>,
        work: &Work<'_>,
        request: &Request,
    ) -> Answer {
        let order = Order::Pass {
            id: request.id.clone(),
            floor: None,
            text: request.text.clone(),
        };
        let deadline = Instant::now() + work.route.timeout;
        let server = pinned.slot.server().clone();
        pinned.slot.resume();
        let asked = uptime();
        let answer = match exchange(&server, &mut pinned.link, order, deadline).await {
            Ok(answer) => answer,
            Err(Lost::Slow) => return slow(),
            Err(Lost::Broken) => return unknown("the connection broke"),
        };
        let Pinned {
            link, slot, group, ..
        } = pinned;
        note(&group, &server, asked, &answer);
        if answer.state.is_idle() {
            server.give_back(link);
        }
        drop(slot);
        let is_done = matches!(answer.outcome, Outcome::Done(_));
        if pinned.has_written && is_done && !prove_after(&group, &server, deadline).await {
            return unknown("the primary may have been replaced");
        }
        answer
    }

    /// Drops a transaction, and keeps its connection for others.
    pub async fn rollback(&self, mut pinned: Pinned<D>, limit: Duration) {
        let server = pinned.slot.server().clone();
        pinned.slot.resume();
        let deadline = Instant::now() + limit;
        let rolled = exchange(&server, &mut pinned.link, Order::Rollback, deadline).await;
        let Pinned { link, slot, .. } = pinned;
        // Without an answer the connection is closed, which rolls back too.
        if rolled.is_ok_and(|answer| answer.state.is_idle()) {
            slot.server().give_back(link);
        }
    }

    /// Returns the best server for a statement.
    fn place(
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
            let server = self.upstreams.server(&leader);
            return server.filter(|server| !server.is_lost());
        }
        let floor = group.floor(work.oldest(), work.seen);
        let servers = self.upstreams.servers(&work.route.group);
        let spots: Vec<_> = servers
            .iter()
            .filter_map(|server| self.spot(server, leader.as_ref(), excluded))
            .collect();
        let order = placement::order(&spots, floor);
        self.upstreams.server(order.first()?)
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
            is_near: self.upstreams.is_near(&listing),
            place: place.map(|(place, _)| place),
            is_recent: place.is_some_and(|(_, is_recent)| is_recent),
            load: server.load(),
        })
    }

    /// Returns a connection with the session's values and prepared statements.
    async fn aligned(
        &self,
        server: &Arc<Server<D>>,
        work: &Work<'_>,
        request: Option<&Request>,
    ) -> Result<Link<D>, Miss> {
        let mut opened = server.link(work.context).await;
        let patience = Instant::now() + work.route.target.mul_f64(PATIENCE_SHARE);
        while is_full(&opened) && Instant::now() < patience {
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
}

/// Waits for a slot at a server, while there is time to try elsewhere.
async fn admit<D: Dialect>(server: &Arc<Server<D>>, work: &Work<'_>) -> Result<Slot<D>, Refusal> {
    let patience = work.route.target.mul_f64(PATIENCE_SHARE);
    server
        .admit(&work.route.priority, work.caller, work.due(), patience)
        .await
}

/// Tells whether a server has no connection left.
fn is_full<T>(opened: &Result<T, link::Error>) -> bool {
    matches!(opened, Err(link::Error::Refused(Code::TooMany)))
}

/// Why an exchange has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Lost {
    /// The connection broke.
    Broken,
    /// No answer came in time.
    Slow,
}

/// Sends one order and waits for its answer; a server that is silent for long is
/// suspected meanwhile.
async fn exchange<D: Dialect>(
    server: &Server<D>,
    link: &mut Link<D>,
    order: Order,
    deadline: Instant,
) -> Result<Answer, Lost> {
    let asked = uptime();
    let orders = [order];
    let deadline = Deadline::from_std(deadline);
    let suspicion = deadline.min(Deadline::now() + SILENCE);
    let mut exchanging = pin!(link.exchange(&orders));
    let mut exchanged = timeout_at(suspicion, &mut exchanging).await;
    if exchanged.is_err() {
        server.missed(asked);
        exchanged = timeout_at(deadline, exchanging).await;
    }
    let answers = exchanged.map_err(|_| Lost::Slow)?;
    let answers = answers.map_err(|error| {
        tracing::debug!(%error, "an exchange with a server broke off");
        server.missed(asked);
        Lost::Broken
    })?;
    answers.into_iter().next().ok_or(Lost::Broken)
}

async fn align<D: Dialect>(
    link: &mut Link<D>,
    context: &Context,
    request: Option<&Request>,
    deadline: Instant,
) -> Result<(), Lost> {
    let orders = link.alignment(context, request);
    if orders.is_empty() {
        return Ok(());
    }
    let exchanged = timeout_at(Deadline::from_std(deadline), link.exchange(&orders)).await;
    let answers = exchanged.map_err(|_| Lost::Slow)?;
    let answers = answers.map_err(|_| Lost::Broken)?;
    let is_done = |answer: &Answer| matches!(answer.outcome, Outcome::Done(_));
    if answers.iter().all(is_done) {
        return Ok(());
    }
    tracing::warn!(
        event = "alignment_failed",
        "a server refused a session's value or prepared statement"
    );
    Err(Lost::Broken)
}

fn is_leader<D: Dialect>(group: &Group, server: &Server<D>) -> bool {
    let leader = group.leader();
    leader.is_some_and(|leader| leader.server == server.listing().server)
}

/// Returns what the server is to check before it runs a read.
fn floor(group: &Group, work: &Work<'_>, at_leader: bool) -> Option<Watermark> {
    if at_leader {
        return None;
    }
    group.floor(work.oldest(), work.seen)
}

/// Waits for the proof that a statement needs before it is sent to the primary.
async fn prove_before<D: Dialect>(
    group: &Group,
    server: &Server<D>,
    work: &Work<'_>,
    access: Access,
) -> bool {
    let moment = match access {
        Access::Read => work.oldest(),
        Access::Write => work.arrived,
    };
    let deadline = work.deadline().min(Instant::now() + PROOF_PATIENCE);
    group
        .prove(&server.listing().server, moment, deadline)
        .await
}

/// Waits until a write that is done may be acknowledged: its server was the only
/// primary, and nobody reads from the former one any more.
async fn prove_after<D: Dialect>(group: &Group, server: &Server<D>, deadline: Instant) -> bool {
    let done = uptime();
    let name = &server.listing().server;
    if !group.prove(name, done, deadline).await {
        return false;
    }
    let leader = group.leader().filter(|leader| leader.server == *name);
    let Some(leader) = leader else {
        return false;
    };
    let rest = leader.settled.saturating_sub(done);
    if rest.is_zero() {
        return true;
    }
    tokio::time::sleep_until(Deadline::from_std(deadline.min(Instant::now() + rest))).await;
    uptime() >= leader.settled
}

/// Takes in what an answer tells of its server.
fn note<D: Dialect>(group: &Group, server: &Server<D>, asked: Uptime, answer: &Answer) {
    server.heard(asked, answer.place);
    if let Some(place) = answer.place {
        group.progress(&server.listing().server, asked, place);
    }
}

/// Returns what to do about a code that says that nothing was run.
fn miss(code: &Code) -> Option<Miss> {
    match code {
        Code::Busy => Some(Miss::Elsewhere("the server is busy")),
        Code::Lagging => Some(Miss::Elsewhere("the replica is behind")),
        Code::Misdirected => Some(Miss::Elsewhere("the server is another one")),
        Code::NoStatement => Some(Miss::Again("the statement had to be prepared again")),
        Code::ReadOnly => Some(Miss::Elsewhere("the server isn't the primary")),
        Code::TooMany => Some(Miss::Elsewhere("the server has no connection left")),
        _ => None,
    }
}

fn refused(refusal: &Refusal) -> Answer {
    let retry = refusal.retry_after.unwrap_or(UNREACHABLE_RETRY);
    busy(&refusal.to_string(), retry)
}

fn unplaced(group: &Group, reason: &str) -> Answer {
    let retry = match group.leader() {
        None => HANDOVER_RETRY,
        Some(_) => UNREACHABLE_RETRY,
    };
    busy(&format!("not run: {reason}"), retry)
}

fn busy(reason: &str, retry: Duration) -> Answer {
    let text = format!("{reason}; retry after {} ms", retry.as_millis());
    Answer::local(Outcome::error(Code::Busy, text), State::Idle)
}

/// The answer to a statement that may have run.
fn unknown(reason: &str) -> Answer {
    let text = format!("the outcome is unknown: {reason}");
    Answer::local(Outcome::error(Code::Unknown, text), State::Idle)
}

fn slow() -> Answer {
    let text = "the server took too long; it may have run";
    Answer::local(Outcome::error(Code::Timeout, text), State::Idle)
}

/// The answer to a transaction that was rolled back.
pub(crate) fn aborted(reason: &str) -> Answer {
    let text = format!("rolled back: {reason}");
    Answer::local(Outcome::error(Code::Aborted, text), State::Failed)
}

pub(crate) fn unprepared(state: State) -> Answer {
    let text = "no such prepared statement";
    Answer::local(Outcome::error(Code::NoStatement, text), state)
}
