//! A simulation of one upstream server and the nodes that share it, in paused time.
//!
//! The nodes use the production code for queues, throttles, membership views and
//! owners; only the network and the server are simulated. Servers do not depend on
//! one another, so the simulation has only one.

use crate::profile::{Class, Profile};
use agateport_domain::admission::{Admission, Decision, Queue, Throttle, Ticket};
use agateport_domain::membership::{Member, PROBE_INTERVAL, State, View};
use agateport_domain::owner::{Allowance, Policy};
use agateport_domain::prelude::*;
use agateport_domain::request::{Reason, Refusal};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout_at};

/// Interval at which nodes recompute their share of the server.
const SHARE_UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// Round-trip time between a caller and its node.
const CALLER_ROUND_TRIP: Duration = Duration::from_millis(3);

/// Time limit of an attempt to connect to a node.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Outcome of a request from the perspective of its caller.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// Answered within the target.
    InTime,
    /// Answered after the target.
    Late,
    /// Refused by the throttle of the caller's node.
    RefusedByThrottle,
    /// Refused by the owner.
    RefusedByOwner,
    /// Lost, because no owner was reachable or the owner was killed.
    Lost,
}

/// The receiving side of a queued request.
struct Waiter {
    result: oneshot::Receiver<Result<(), Refusal>>,
    latest_start: Instant,
}

/// The upstream server. All statements slow down if more of them run than it has slots.
#[derive(Debug, Default)]
struct Upstream {
    running: usize,
    connections: usize,
    peak_connections: usize,
}

/// A simulated node.
struct Node {
    name: NodeId,
    is_up: bool,
    view: View,
    queue: Queue,
    allowance: Allowance,
    waiting: BTreeMap<RequestId, oneshot::Sender<Result<(), Refusal>>>,
    idle: usize,
    throttles: BTreeMap<PriorityId, Throttle>,
}

/// State shared by all tasks.
struct Shared {
    nodes: Vec<Node>,
    upstream: Upstream,
    random: Pcg64Mcg,
    last_request: RequestId,
    results: Vec<Sample>,
}

/// The result of one request.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Index of its priority in the profile's classes.
    pub class: usize,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Time that it spent in the queue of its owner.
    pub queued: Duration,
    /// Arrival time, relative to the start of the run.
    pub at: Duration,
}

/// The nodes that share one server.
pub struct Cluster<P> {
    profile: Profile,
    policy: P,
    start: Instant,
    state: Mutex<Shared>,
}

fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

impl<P: Policy + Send + Sync + 'static> Cluster<P> {
    /// Starts the nodes of a deployment.
    pub fn start(profile: Profile, policy: P, seed: u64) -> Arc<Self> {
        let members: Vec<Member> = (0..profile.nodes)
            .map(|index| member(&profile, index))
            .collect();
        let nodes = members.iter().enumerate().map(|(index, member)| {
            let mut view = View::new(
                member.name.clone(),
                member.zone.clone(),
                member.address,
                seed + index as u64,
                now(),
            );
            view.seed(members.clone(), now());
            let share = policy.share(&member.name, &profile.server(), &view);
            Node {
                name: member.name.clone(),
                is_up: true,
                view,
                queue: Queue::new(share, profile.queue, &profile.priorities(), now())
                    .expect("invalid share of a node"),
                allowance: Allowance::default(),
                waiting: BTreeMap::new(),
                idle: 0,
                throttles: BTreeMap::new(),
            }
        });
        let state = Shared {
            nodes: nodes.collect(),
            upstream: Upstream::default(),
            random: Pcg64Mcg::seed_from_u64(seed),
            last_request: 0,
            results: Vec::new(),
        };
        let cluster = Arc::new(Self {
            profile,
            policy,
            start: now(),
            state: Mutex::new(state),
        });
        cluster.update_shares();
        tokio::spawn(Arc::clone(&cluster).probe_periodically());
        tokio::spawn(Arc::clone(&cluster).update_shares_periodically());
        cluster
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stops a node without warning, which closes its connections.
    pub fn kill(&self, index: usize) {
        let mut state = self.lock();
        let node = &mut state.nodes[index];
        node.is_up = false;
        node.waiting.clear();
        let open = node.queue.connections_in_use() + node.idle;
        node.idle = 0;
        state.upstream.connections = state.upstream.connections.saturating_sub(open);
    }

    /// Marks a node as leaving in its own membership view.
    pub fn leave(&self, index: usize) {
        self.lock().nodes[index].view.leave(now());
    }

    /// Returns the owner of the server according to the first running node's view.
    pub fn owner(&self) -> Option<usize> {
        let state = self.lock();
        let observer = state.nodes.iter().find(|node| node.is_up)?;
        let server = self.profile.server();
        let owners = self
            .policy
            .owners(&observer.name, &server.name, &server.zone, &observer.view);
        owners.first().map(index_of)
    }

    /// Returns the maximum number of the server's concurrent connections.
    pub fn peak_connections(&self) -> usize {
        self.lock().upstream.peak_connections
    }

    /// Returns the results of all requests so far.
    pub fn results(&self) -> Vec<Sample> {
        self.lock().results.clone()
    }

    async fn probe_periodically(self: Arc<Self>) {
        loop {
            sleep(PROBE_INTERVAL).await;
            for index in 0..self.profile.nodes {
                probe(&mut self.lock().nodes, index);
            }
        }
    }

    async fn update_shares_periodically(self: Arc<Self>) {
        loop {
            sleep(SHARE_UPDATE_INTERVAL).await;
            self.update_shares();
        }
    }

    fn update_shares(&self) {
        let server = self.profile.server();
        let mut state = self.lock();
        for index in 0..state.nodes.len() {
            let node = &mut state.nodes[index];
            let share = self.policy.share(&node.name, &server, &node.view);
            node.allowance.set(share.connections, true, now());
            node.queue.set_connections(node.allowance.current());
            let open = node.queue.connections_in_use() + node.idle;
            let excess = open.saturating_sub(node.allowance.current()).min(node.idle);
            node.idle -= excess;
            advance(node);
            state.upstream.connections -= excess;
        }
    }

    /// Sends requests of one priority for `length`, at a mean `rate` per second with
    /// exponentially distributed intervals.
    pub async fn load(self: Arc<Self>, class: usize, rate: f64, length: Duration) {
        let end = now() + length;
        loop {
            let (wait, node) = {
                let mut state = self.lock();
                let uniform: f64 = state.random.random();
                let node = state.random.random_range(0..self.profile.nodes);
                (Duration::from_secs_f64(-(1.0 - uniform).ln() / rate), node)
            };
            sleep(wait).await;
            if now() >= end {
                return;
            }
            // The platform's load balancer sends no callers to stopped nodes.
            if self.lock().nodes[node].is_up {
                tokio::spawn(Arc::clone(&self).request(class, node));
            }
        }
    }

    async fn request(self: Arc<Self>, class: usize, frontend: usize) {
        let arrived = now();
        let at = arrived - self.start;
        sleep(CALLER_ROUND_TRIP / 2).await;
        let mut queued = Duration::ZERO;
        let mut outcome = self.run(class, frontend, &mut queued).await;
        sleep(CALLER_ROUND_TRIP / 2).await;
        let target = self.profile.classes[class].target;
        if outcome == Outcome::InTime && now() - arrived > target {
            outcome = Outcome::Late;
        }
        let sample = Sample {
            class,
            outcome,
            queued,
            at,
        };
        self.lock().results.push(sample);
    }

    async fn run(&self, class: usize, frontend: usize, queued: &mut Duration) -> Outcome {
        let priority = self.profile.classes[class].name;
        if self.admit(frontend, priority).is_err() {
            return Outcome::RefusedByThrottle;
        }
        for owner in self.owners(frontend) {
            let round_trip = self.round_trip(frontend, owner);
            if !self.lock().nodes[owner].is_up {
                sleep(CONNECT_TIMEOUT).await;
                continue;
            }
            sleep(round_trip / 2).await;
            let result = self.run_at_owner(class, owner, queued).await;
            sleep(round_trip / 2).await;
            self.record(frontend, priority, result);
            return match result {
                Ok(outcome) => outcome,
                Err(_) => Outcome::RefusedByOwner,
            };
        }
        Outcome::Lost
    }

    fn owners(&self, frontend: usize) -> Vec<usize> {
        let state = self.lock();
        let node = &state.nodes[frontend];
        let server = self.profile.server();
        let owners = self
            .policy
            .owners(&node.name, &server.name, &server.zone, &node.view);
        owners.iter().take(2).map(index_of).collect()
    }

    fn round_trip(&self, from: usize, to: usize) -> Duration {
        if from == to {
            return Duration::ZERO;
        }
        self.profile.round_trip
    }

    fn admit(&self, frontend: usize, priority: &str) -> Result<(), Refusal> {
        let mut state = self.lock();
        let Shared { nodes, random, .. } = &mut *state;
        let throttles = &mut nodes[frontend].throttles;
        let throttle = throttles
            .entry(priority.into())
            .or_insert_with(|| Throttle::new(now()));
        throttle.admit(now(), random)
    }

    fn record(&self, frontend: usize, priority: &str, result: Result<Outcome, Refusal>) {
        let mut state = self.lock();
        let throttles = &mut state.nodes[frontend].throttles;
        let Some(throttle) = throttles.get_mut(priority) else {
            return;
        };
        match result {
            Err(refusal) if refusal.reason != Reason::OwnerUnreachable => {
                throttle.record_refused(&refusal);
            }
            _ => throttle.record_accepted(),
        }
    }

    /// Queues and runs a request at its owner.
    async fn run_at_owner(
        &self,
        class: usize,
        owner: usize,
        queued: &mut Duration,
    ) -> Result<Outcome, Refusal> {
        let offered = now();
        let (request, waiter) = self.offer(class, owner)?;
        if let Some(Waiter {
            result,
            latest_start,
        }) = waiter
        {
            match timeout_at(latest_start.into(), result).await {
                Ok(Ok(result)) => result?,
                Ok(Err(_)) => return Ok(Outcome::Lost),
                Err(_) => {
                    self.finish(owner, request);
                    return Err(Reason::TargetMissed.into());
                }
            }
        }
        *queued = now() - offered;
        self.connect(owner).await;
        self.serve(class).await;
        if !self.lock().nodes[owner].is_up {
            return Ok(Outcome::Lost);
        }
        self.lock().nodes[owner].idle += 1;
        self.finish(owner, request);
        Ok(Outcome::InTime)
    }

    fn offer(&self, class: usize, owner: usize) -> Result<(RequestId, Option<Waiter>), Refusal> {
        let class = &self.profile.classes[class];
        let mut state = self.lock();
        state.last_request += 1;
        let request = state.last_request;
        let caller = state.random.random_range(0..50u32);
        let node = &mut state.nodes[owner];
        let ticket = Ticket {
            request,
            priority: class.name.into(),
            caller: caller.to_string().into(),
            due: now()
                + class
                    .target
                    .saturating_sub(CALLER_ROUND_TRIP + self.profile.round_trip),
        };
        match node.queue.offer(ticket, now())? {
            Admission::Started => Ok((request, None)),
            Admission::Queued {
                latest_start,
                evicted,
            } => {
                let (sender, result) = oneshot::channel();
                node.waiting.insert(request, sender);
                if let Some((evicted, refusal)) = evicted
                    && let Some(sender) = node.waiting.remove(&evicted)
                {
                    let _ = sender.send(Err(refusal));
                }
                advance(node);
                Ok((
                    request,
                    Some(Waiter {
                        result,
                        latest_start,
                    }),
                ))
            }
        }
    }

    fn finish(&self, owner: usize, request: RequestId) {
        let mut state = self.lock();
        let node = &mut state.nodes[owner];
        node.waiting.remove(&request);
        node.queue.finish(request, now());
        advance(node);
    }

    async fn connect(&self, owner: usize) {
        {
            let mut state = self.lock();
            if state.nodes[owner].idle > 0 {
                state.nodes[owner].idle -= 1;
                return;
            }
            let upstream = &mut state.upstream;
            upstream.connections += 1;
            upstream.peak_connections = upstream.peak_connections.max(upstream.connections);
        }
        sleep(self.profile.connect).await;
    }

    async fn serve(&self, class: usize) {
        let time = {
            let mut state = self.lock();
            state.upstream.running += 1;
            let uniform: f64 = state.random.random();
            let Class { service, .. } = self.profile.classes[class];
            let slowdown = self.profile.slowdown(state.upstream.running);
            service.mul_f64(-(1.0 - uniform).ln()).mul_f64(slowdown)
        };
        sleep(time).await;
        self.lock().upstream.running -= 1;
    }
}

/// Applies the pending decisions of the queue of a node.
fn advance(node: &mut Node) {
    while let Some(decision) = node.queue.next(now()) {
        let (request, result) = match decision {
            Decision::Start(request) => (request, Ok(())),
            Decision::Refuse(request, refusal) => (request, Err(refusal)),
        };
        let sender = node.waiting.remove(&request);
        let is_gone = sender.is_none_or(|sender| sender.send(result).is_err());
        if is_gone && result.is_ok() {
            node.queue.finish(request, now());
        }
    }
}

/// Makes one node probe the next member of its view.
fn probe(nodes: &mut [Node], index: usize) {
    if !nodes[index].is_up {
        return;
    }
    nodes[index].view.expire(now());
    let Some(target) = nodes[index].view.next_probe() else {
        return;
    };
    let other = index_of(&target.name);
    if !nodes[other].is_up {
        nodes[index].view.suspect(&target.name, now());
        return;
    }
    let gossip = nodes[index].view.gossip(&target.name);
    nodes[other].view.merge(gossip, now());
    let own = nodes[index].name.clone();
    let answer = nodes[other].view.gossip(&own);
    nodes[index].view.merge(answer, now());
}

fn member(profile: &Profile, index: usize) -> Member {
    let port = 1000 + u16::try_from(index).unwrap_or_default();
    Member {
        name: format!("n{index}").into(),
        zone: format!("zone-{}", index % profile.zones).into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        state: State::Live,
        incarnation: 0,
    }
}

fn index_of(name: &NodeId) -> usize {
    name[1..].parse().unwrap_or_default()
}
