//! Explains where a request would be sent, without sending it.
//!
//! Each step asks the code that decides it for requests, on a copy of its state: the route
//! and the key, the allowance, the order of servers, and the queue.

use crate::caller::identify;
use crate::catalog::{Consistency, Route};
use crate::clock::uptime;
use crate::context::Context;
use crate::departure::Departure;
use crate::field::Word;
use crate::group::Group;
use crate::lease::{floor, is_leader, moment_to_cover};
use crate::message::{Access, Answer, Code, Outcome};
use crate::metrics::millis;
use crate::permit::places;
use crate::placement::{ATTEMPTS, claim, needs_leader};
use crate::protocol::Protocol;
use crate::reply;
use crate::server::{Place, Server};
use crate::statement::Runner;
use crate::work::Work;
use agateport_domain::admission;
use agateport_domain::allowance;
use agateport_domain::explanation::{self, Allowance, Explanation, Question, Refusal};
use agateport_domain::prelude::*;
use agateport_domain::request::Reason;
use agateport_domain::session::placement::{self, Exclusion};
use agateport_domain::workspace::KeyDigest;

/// A server, and its cost or why it is not used.
type Ranked<W> = (Arc<Server<W>>, Result<usize, Exclusion>);

/// A server by name, and its cost or why it is not used.
type Rank = (ServerId, Result<usize, Exclusion>);

/// Outcome of the check of one server.
enum Check {
    /// The request gets a slot, after at least this time; none if another node decides.
    Sent(Option<Duration>, String),
    /// The server is not tried.
    Unused(&'static str),
    /// The next server is tried.
    Skipped(&'static str),
    /// The queue refuses the request.
    Refused(agateport_domain::request::Refusal),
}

impl<W: Protocol> Runner<W> {
    /// Returns what would happen to a request now. Nothing is changed or sent.
    #[must_use]
    pub fn explain(&self, question: &Question) -> Explanation {
        let upstreams = self.upstreams();
        // The configuration that is looked at afterwards may be younger, but not older.
        let age = upstreams.currencies().catalog.age();
        let mut explanation = Explanation {
            node: upstreams.allowances().node().to_string(),
            configuration: upstreams.catalog().version,
            configuration_age_ms: age.map(millis),
            ..Explanation::default()
        };
        let Some(route) = upstreams.route(&question.database) else {
            explanation.refusal = refusal(&reply::no_route(age));
            return explanation;
        };
        let route = applied(&route, question);
        explanation.route = Some(shown(&route));
        let workspace = if question.workspace.is_some() {
            Ok(question.workspace.clone())
        } else {
            let key = question.key.unwrap_or_else(|| KeyDigest::of(b""));
            identify(upstreams, &route, &key, age)
        };
        match workspace {
            Ok(workspace) => explanation.workspace = workspace,
            Err(unidentified) => {
                explanation.refusal = refusal(&reply::unidentified(unidentified));
                return explanation;
            }
        }
        self.explain_allowance(&mut explanation);
        self.explain_servers(question, &route, &mut explanation);
        explanation
    }

    fn explain_allowance(&self, explanation: &mut Explanation) {
        let upstreams = self.upstreams();
        let workspace = explanation.workspace.as_ref();
        let limits = workspace.and_then(|name| Some((name, upstreams.catalog().limits(name)?)));
        let Some((workspace, limits)) = limits else {
            explanation.allowance = Some(Allowance::NotLimited);
            return;
        };
        let preview = upstreams
            .allowances()
            .inspect(workspace, limits, |account, views, now| {
                account.preview(views, limits, now)
            });
        let decision = match preview {
            allowance::Preview::Allowed => Allowance::Allowed,
            allowance::Preview::Asked(allocator) => Allowance::Asked { allocator },
            allowance::Preview::Refused(refused) => {
                explanation.refusal = refusal(&reply::not_allowed(&refused));
                Allowance::Refused
            }
        };
        explanation.allowance = Some(decision);
    }

    /// Explains the servers as if the allowance permitted the request; a refusal by the
    /// allowance stays.
    fn explain_servers(&self, question: &Question, route: &Route, result: &mut Explanation) {
        let group = self.upstreams().group(&route.group);
        let access = if question.is_write {
            Access::Write
        } else {
            Access::Read
        };
        let workspace = result.workspace.clone();
        let work = Work {
            id: &Word::absent(),
            session: 0,
            route,
            caller: &workspace.clone().unwrap_or_else(|| "".into()),
            workspace: workspace.as_ref(),
            context: &Context::new(self.upstreams().context_usage().clone()),
            last_write: question.watermark,
            arrived: uptime(),
            started: Instant::now(),
            departure: Departure::new(None),
        };
        result.floor = floor(&group, &work, needs_leader(&work, access));
        let refused = self.attempt_all(&group, &work, access, result);
        if result.target.is_none() && result.refusal.is_none() {
            result.refusal = refusal(&refused);
        }
    }

    /// Checks the servers in order until the request is sent, and returns the answer if it is
    /// not.
    fn attempt_all(
        &self,
        group: &Group,
        work: &Work<'_>,
        access: Access,
        result: &mut Explanation,
    ) -> Answer {
        let mut refused = None;
        let mut reason = "no server may run it";
        for (server, rank) in self.ranked(group, work, access) {
            let check = if let Some(cause) = unused(rank, result) {
                Check::Unused(cause)
            } else {
                check(group, &server, work, access, self.latest_start(work))
            };
            let text = match check {
                Check::Sent(wait, text) => {
                    result.target = Some(server.entry().server.clone());
                    result.wait_ms = wait.map(millis);
                    text
                }
                Check::Unused(cause) => cause.to_owned(),
                Check::Skipped(cause) => {
                    reason = cause;
                    cause.to_owned()
                }
                Check::Refused(refusal) => {
                    refused = Some(refusal);
                    refusal.to_string()
                }
            };
            result.servers.push(seen(group, &server, rank.ok(), text));
        }
        match refused {
            Some(refusal) => reply::refused(&refusal),
            None => reply::no_server(group, reason),
        }
    }

    /// Returns the servers of the group, those that may run the request first, the best one
    /// before the others.
    fn ranked(&self, group: &Group, work: &Work<'_>, access: Access) -> Vec<Ranked<W>> {
        let ranks = if needs_leader(work, access) {
            self.leader_ranks(group, work)
        } else {
            self.read_ranks(group, work)
        };
        let ranks = ranks.into_iter().filter_map(|(name, rank)| {
            let server = self.upstreams().server(&name)?;
            Some((rank.is_err(), rank.ok(), name, (server, rank)))
        });
        let mut ranks: Vec<_> = ranks.collect();
        ranks.sort_by(|left, right| (left.0, left.1, &left.2).cmp(&(right.0, right.1, &right.2)));
        ranks.into_iter().map(|(.., ranked)| ranked).collect()
    }

    fn leader_ranks(&self, group: &Group, work: &Work<'_>) -> Vec<Rank> {
        let leader = group.leader().map(|leader| leader.server);
        let servers = self.upstreams().servers(&work.route.group).into_iter();
        let rank = |server: Arc<Server<W>>| {
            let name = server.entry().server.clone();
            let rank = if leader.as_ref() == Some(&name) {
                let checked = self.check_leader(&server, &BTreeSet::new());
                checked.map(|()| 0)
            } else {
                Err(Exclusion::NotPrimary)
            };
            (name, rank)
        };
        servers.map(rank).collect()
    }

    fn read_ranks(&self, group: &Group, work: &Work<'_>) -> Vec<Rank> {
        let floor = group.floor(work.freshness_bound(), work.last_write);
        let mut candidates = Vec::new();
        let mut ranks = Vec::new();
        for candidate in self.candidates(group, work, &BTreeSet::new()) {
            match candidate {
                Ok(candidate) => candidates.push(candidate),
                Err((server, exclusion)) => ranks.push((server, Err(exclusion))),
            }
        }
        ranks.extend(placement::rank(&candidates, floor));
        ranks
    }
}

/// Returns why the next server is not tried; none if it is. Those that may run the request
/// come first, so each server before one of them was tried.
fn unused(rank: Result<usize, Exclusion>, result: &Explanation) -> Option<&'static str> {
    match rank {
        Err(exclusion) => Some(exclusion.name()),
        Ok(_) if result.target.is_some() => Some("a server before it is used"),
        Ok(_) if result.servers.len() >= ATTEMPTS => Some("too many attempts before it"),
        Ok(_) => None,
    }
}

/// Returns what an attempt at a server would result in.
fn check<W: Protocol>(
    group: &Group,
    server: &Arc<Server<W>>,
    work: &Work<'_>,
    access: Access,
    latest: Instant,
) -> Check {
    let name = server.entry().server.clone();
    let moment = moment_to_cover(work, access);
    if is_leader(group, server) && !group.holds_lease(&name, moment) {
        return Check::Skipped("the primary isn't proven");
    }
    let claim = claim(server, work, latest);
    match places(&server.role(), &claim).first() {
        None => Check::Skipped("the server can't be reached"),
        Some(Place::Node(owner)) => Check::Sent(
            None,
            format!("chosen; its owner {owner} decides when it starts"),
        ),
        Some(Place::Here) => match server.preview(&claim) {
            admission::Preview::Started => {
                Check::Sent(Some(Duration::ZERO), "chosen; a slot is free".to_owned())
            }
            admission::Preview::Queued(wait) if wait > claim.max_wait => {
                Check::Refused(Reason::TargetMissed.into())
            }
            admission::Preview::Queued(wait) => {
                Check::Sent(Some(wait), "chosen; it waits for a slot".to_owned())
            }
            admission::Preview::Refused(refusal) => Check::Refused(refusal),
        },
    }
}

/// Returns the route with the priority and the staleness of a question.
fn applied(route: &Route, question: &Question) -> Route {
    let consistency = match (route.consistency, question.max_age_ms) {
        (Consistency::Bounded(_) | Consistency::ReadYourWrites(_), Some(age)) => {
            Consistency::Bounded(Duration::from_millis(age))
        }
        (consistency, _) => consistency,
    };
    let priority = question.priority.as_ref().unwrap_or(&route.priority);
    Route {
        consistency,
        priority: priority.clone(),
        ..route.clone()
    }
}

fn shown(route: &Route) -> explanation::Route {
    explanation::Route {
        group: route.group.clone(),
        is_primary_only: route.consistency == Consistency::Primary,
        max_age_ms: millis(route.consistency.staleness()),
        target_ms: millis(route.target),
        priority: route.priority.clone(),
        is_public: route.is_public,
    }
}

fn seen<W: Protocol>(
    group: &Group,
    server: &Server<W>,
    cost: Option<usize>,
    reason: String,
) -> explanation::Server {
    let entry = server.entry();
    let leader = group.leader().map(|leader| leader.server);
    let is_primary = leader.as_ref() == Some(&entry.server);
    let lease = || millis(group.lease_expiry().saturating_sub(uptime()));
    explanation::Server {
        server: entry.server.clone(),
        zone: entry.zone.clone(),
        is_primary,
        watermark: server.watermark().map(|(watermark, _)| watermark),
        load: server.load(),
        cost,
        limit: server.limit(),
        lease_ms: is_primary.then(lease),
        reason,
    }
}

/// Returns the refusal that an answer is; none if it is a success.
fn refusal(answer: &Answer) -> Option<Refusal> {
    let Outcome::Error { text, .. } = &answer.outcome else {
        return None;
    };
    Some(Refusal {
        code: answer.code().map_or("unknown", Code::name).to_owned(),
        text: String::from_utf8_lossy(text).into_owned(),
        retry_ms: reply::retry_ms(text),
    })
}
