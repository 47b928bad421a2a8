//! The queue that assigns the slots of one upstream server to requests.

mod arrival;

use super::class::Class;
use super::limit::Adaptive;
use super::{Admission, Decision, Error, Limit, MIN_RETRY_DELAY, PriorityLimit, Share, Ticket};
use crate::bundle::Priority;
use crate::id::{PriorityId, RequestId};
use crate::request::{Reason, Refusal};
use arrival::Arrivals;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A request that holds a slot.
#[derive(Clone, Debug)]
struct Running {
    priority: PriorityId,
    since: Instant,
    /// Slot-seconds charged to the minimum share of its priority at the start;
    /// none if it started without that share.
    charged: Option<f64>,
}

/// The queue of one upstream server.
#[derive(Clone, Debug)]
pub struct Queue {
    limit: Adaptive,
    connections: usize,
    capacity: usize,
    classes: BTreeMap<PriorityId, Class>,
    running: BTreeMap<RequestId, Running>,
    /// Open transactions between two statements: they hold a connection but no
    /// slot.
    paused: BTreeMap<RequestId, PriorityId>,
    accrued_at: Instant,
    /// Whether slots are left free for more urgent requests.
    is_reserving: bool,
    /// State of the refusals on arrival; none if they are off.
    arrivals: Option<Arrivals>,
}

impl Queue {
    /// Creates an empty queue that holds at most `capacity` waiting requests of
    /// each priority.
    ///
    /// # Errors
    ///
    /// [`Error`] if the share has no slot, or if the minimum shares add up to
    /// more than 100 percent.
    pub fn new(
        share: Share,
        capacity: usize,
        priorities: &[Priority],
        now: Instant,
    ) -> Result<Self, Error> {
        if share.slots == 0 {
            return Err(Error::NoSlot);
        }
        let total = priorities
            .iter()
            .map(|priority| priority.minimum_share)
            .sum();
        if total > 100 {
            return Err(Error::Shares(total));
        }
        let classes = priorities
            .iter()
            .map(|priority| (priority.name.clone(), Class::new(priority)));
        Ok(Self {
            limit: Adaptive::Overall(Limit::new(share.slots)),
            connections: share.connections,
            capacity,
            classes: classes.collect(),
            running: BTreeMap::new(),
            paused: BTreeMap::new(),
            accrued_at: now,
            is_reserving: false,
            arrivals: None,
        })
    }

    /// Makes the queue leave slots free for more urgent requests. A request that it holds
    /// back is offered a slot at each later decision, until its caller gives up.
    #[must_use]
    pub fn reserving(self) -> Self {
        Self {
            is_reserving: true,
            ..self
        }
    }

    /// Makes the queue refuse on arrival what it does not expect to start in time.
    #[must_use]
    pub fn refusing_on_arrival(mut self) -> Self {
        self.refuse_late_starts();
        self
    }

    /// Makes the queue refuse on arrival what it does not expect to start in time.
    pub fn refuse_late_starts(&mut self) {
        self.arrivals = Some(Arrivals::default());
    }

    /// Returns whether the queue refuses on arrival what it does not expect to start in time.
    #[must_use]
    pub fn refuses_on_arrival(&self) -> bool {
        self.arrivals.is_some()
    }

    /// Makes the limit compare the latency of each priority with its own past, instead of
    /// that of all statements.
    pub fn limit_by_priority(&mut self, now: Instant) {
        self.limit = Adaptive::ByPriority(PriorityLimit::new(self.limit.slots(), now));
    }

    /// Starts or queues a request.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the target cannot be met, the queue is full or has no
    /// connection, or the priority is unknown.
    pub fn offer(&mut self, ticket: Ticket, now: Instant) -> Result<Admission, Refusal> {
        self.accrue(now);
        let class = self
            .classes
            .get(&ticket.priority)
            .ok_or(Reason::UnknownPriority)?;
        let hold_time = class.hold_time.upper_bound(now);
        if self.connections == 0 {
            // The share of this node is empty: nodes that precede it in the order
            // of owners have all connections.
            return Err(refusal(Reason::QueueFull, hold_time));
        }
        if self.is_empty() && self.has_capacity() && !self.is_held_back(class, now) {
            // An idle server gets the request even if the estimate exceeds the
            // target.
            if !self.running.is_empty() && now + class.hold_time.expected(now) > ticket.due {
                return Err(refusal(Reason::TargetMissed, hold_time));
            }
            self.start(ticket.request, ticket.priority, false, now);
            return Ok(Admission::Started);
        }
        if let Some(refusal) = self.refuse_on_arrival(&ticket, now) {
            return Err(refusal);
        }
        let wait = self.minimum_wait(&ticket, now);
        if now + wait + hold_time > ticket.due {
            if now + hold_time <= ticket.due {
                self.record_refusal(&ticket.priority, now);
            }
            return Err(refusal(Reason::TargetMissed, wait));
        }
        let latest_start = ticket.due.checked_sub(hold_time).unwrap_or(now);
        let capacity = self.capacity;
        let class = self
            .classes
            .get_mut(&ticket.priority)
            .ok_or(Reason::UnknownPriority)?;
        let mut evicted = None;
        if class.len() >= capacity {
            let full = refusal(Reason::QueueFull, wait);
            class.refusals.record(now);
            let last = class.evict_for(&ticket.caller).ok_or(full)?;
            evicted = Some((last.request, full));
        }
        class.push(ticket);
        Ok(Admission::Queued {
            latest_start,
            evicted,
        })
    }

    /// Releases the slot and the connection of a request, or removes a waiting
    /// one.
    pub fn finish(&mut self, request: RequestId, now: Instant) {
        self.accrue(now);
        if self.release(request, now).is_some() || self.paused.remove(&request).is_some() {
            return;
        }
        for class in self.classes.values_mut() {
            if class.remove(request) {
                class.refusals.record(now);
                return;
            }
        }
    }

    /// Releases the slot and the connection of a request that ran nothing, without counting
    /// the time as that of a statement.
    pub fn discard(&mut self, request: RequestId, now: Instant) {
        self.accrue(now);
        let Some(running) = self.running.remove(&request) else {
            return;
        };
        let class = self.classes.get_mut(&running.priority);
        if let (Some(class), Some(charged)) = (class, running.charged) {
            class.charge(-charged);
        }
    }

    /// Releases the slot of an open transaction until its next statement.
    pub fn pause(&mut self, request: RequestId, now: Instant) {
        self.accrue(now);
        if let Some(priority) = self.release(request, now) {
            self.paused.insert(request, priority);
        }
    }

    /// Takes a slot for the next statement of an open transaction, above the
    /// limit if necessary.
    ///
    /// The running statements may wait for locks that the transaction holds. If
    /// the transaction waited for one of their slots, they would deadlock.
    pub fn resume(&mut self, request: RequestId, now: Instant) {
        self.accrue(now);
        if let Some(priority) = self.paused.remove(&request) {
            self.start(request, priority, false, now);
        }
    }

    /// Decides about the next waiting request, if there is one and a slot and a
    /// connection are free.
    pub fn next(&mut self, now: Instant) -> Option<Decision> {
        self.accrue(now);
        if self.running.len() >= self.limit.slots() {
            return None;
        }
        if !self.has_capacity() {
            return None;
        }
        let priority = self.select()?;
        if self.is_held_back(self.classes.get(&priority)?, now) {
            return None;
        }
        let class = self.classes.get_mut(&priority)?;
        let is_below_share = class.is_below_share();
        let ticket = class.pop()?;
        let is_too_late =
            !self.running.is_empty() && now + class.hold_time.expected(now) > ticket.due;
        if is_too_late || now >= ticket.due {
            class.refusals.record(now);
            let refusal = refusal(Reason::TargetMissed, class.hold_time.upper_bound(now));
            return Some(Decision::Refuse(ticket.request, refusal));
        }
        self.start(ticket.request, priority, is_below_share, now);
        Some(Decision::Start(ticket.request))
    }

    /// Applies the limits of another bundle; running and waiting requests stay.
    ///
    /// # Errors
    ///
    /// As [`Queue::new`]; the queue is then unchanged.
    pub fn reconfigure(
        &mut self,
        share: Share,
        capacity: usize,
        priorities: &[Priority],
        now: Instant,
    ) -> Result<(), Error> {
        let mut next = Self::new(share, capacity, priorities, now)?;
        for (name, class) in std::mem::take(&mut self.classes) {
            match next.classes.get_mut(&name) {
                Some(known) => known.inherit(class),
                // The waiting requests of a removed priority are still served, but
                // without a minimum share.
                None => drop(next.classes.insert(name, class.retire())),
            }
        }
        next.running = std::mem::take(&mut self.running);
        next.paused = std::mem::take(&mut self.paused);
        next.is_reserving = self.is_reserving;
        next.arrivals = std::mem::take(&mut self.arrivals);
        if let Adaptive::ByPriority(limit) = &mut self.limit {
            limit.resize(share.slots);
            next.limit = Adaptive::ByPriority(limit.clone());
        }
        *self = next;
        Ok(())
    }

    /// Sets the number of connections that may be in use; those already in use
    /// stay.
    pub fn set_connections(&mut self, connections: usize) {
        self.connections = connections;
    }

    /// Returns whether a waiting request is expected to start early enough for its target:
    /// it is among the next of the priority that gets the next slot, and as many running
    /// requests as are before it are expected to end early enough.
    #[must_use]
    pub fn is_due_to_start(&self, request: RequestId, now: Instant) -> bool {
        let Some(class) = self
            .select()
            .and_then(|priority| self.classes.get(&priority))
        else {
            return false;
        };
        let mut next = class.next_of_callers().enumerate();
        let Some((ahead, ticket)) = next.find(|(_, ticket)| ticket.request == request) else {
            return false;
        };
        let ends = self.running.values().filter_map(|running| {
            let class = self.classes.get(&running.priority)?;
            Some(running.since + class.hold_time.expected(now))
        });
        let mut ends: Vec<_> = ends.collect();
        ends.sort();
        let latest_start = ticket.due.checked_sub(class.hold_time.upper_bound(now));
        let start = ends.get(ahead).map(|end| now.max(*end));
        start.is_some_and(|start| latest_start.is_some_and(|latest| start <= latest))
    }

    /// Returns the number of requests that hold a slot.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the priority of a request that holds a slot.
    #[must_use]
    pub fn running_priority(&self, request: RequestId) -> Option<&PriorityId> {
        let running = self.running.get(&request)?;
        Some(&running.priority)
    }

    /// Returns the number of requests that hold a connection.
    #[must_use]
    pub fn connections_in_use(&self) -> usize {
        self.running.len() + self.paused.len()
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.classes.values().map(Class::len).sum()
    }

    /// Returns the number of slots that the measured latency allows.
    #[must_use]
    pub fn slots(&self) -> usize {
        self.limit.slots()
    }

    fn is_empty(&self) -> bool {
        self.classes.values().all(|class| class.len() == 0)
    }

    fn has_capacity(&self) -> bool {
        self.running.len() < self.limit.slots() && self.connections_in_use() < self.connections
    }

    fn start(
        &mut self,
        request: RequestId,
        priority: PriorityId,
        is_below_share: bool,
        now: Instant,
    ) {
        let mut charged = None;
        if let Some(class) = self.classes.get_mut(&priority).filter(|_| is_below_share) {
            let expected = class.hold_time.mean().as_secs_f64();
            class.charge(expected);
            charged = Some(expected);
        }
        let running = Running {
            priority,
            since: now,
            charged,
        };
        self.running.insert(request, running);
    }

    fn release(&mut self, request: RequestId, now: Instant) -> Option<PriorityId> {
        let running = self.running.remove(&request)?;
        let held = now.saturating_duration_since(running.since);
        let in_use = self.running.len() + 1;
        self.limit.record(&running.priority, held, in_use, now);
        if let Some(class) = self.classes.get_mut(&running.priority) {
            class.hold_time.record(held, now);
            if let Some(charged) = running.charged {
                class.charge(held.as_secs_f64() - charged);
            }
        }
        Some(running.priority)
    }

    fn accrue(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.accrued_at);
        if elapsed.is_zero() {
            return;
        }
        let slots = to_f64(self.limit.slots());
        for class in self.classes.values_mut() {
            class.accrue(elapsed, slots);
        }
        self.accrued_at = now;
    }

    fn record_refusal(&mut self, priority: &PriorityId, now: Instant) {
        if let Some(class) = self.classes.get_mut(priority) {
            class.refusals.record(now);
        }
    }

    /// Returns whether a request of `class` would cost more than it is worth: the requests
    /// of denser classes that are refused while it holds a slot. A class that has had less
    /// than its minimum share is not held back.
    fn is_held_back(&self, class: &Class, now: Instant) -> bool {
        if !self.is_reserving || class.is_below_share() {
            return false;
        }
        let density = class.density();
        let denser = self
            .classes
            .values()
            .filter(|other| other.density() > density);
        let displaced: f64 = denser.map(|other| other.displaced_worth(now)).sum();
        let held = class.hold_time.expected(now).as_secs_f64();
        displaced * held > class.worth()
    }

    /// Returns the priority that gets the next slot.
    fn select(&self) -> Option<PriorityId> {
        let waiting = self.classes.iter().filter(|(_, class)| class.len() > 0);
        let best = waiting.max_by(|(_, left), (_, right)| {
            let below_share = left.is_below_share().cmp(&right.is_below_share());
            below_share.then_with(|| left.density().total_cmp(&right.density()))
        });
        best.map(|(name, _)| name.clone())
    }

    /// Returns a lower bound for the time that a new request has to wait.
    pub(super) fn minimum_wait(&self, ticket: &Ticket, now: Instant) -> Duration {
        let Some(class) = self.classes.get(&ticket.priority) else {
            return Duration::ZERO;
        };
        let own = service_time(class, class.count_ahead(&ticket.caller), now);
        let others = self
            .classes
            .iter()
            .filter(|(name, other)| **name != ticket.priority && other.density() > class.density());
        let ahead: Duration = others
            .map(|(_, other)| service_time(other, other.len(), now))
            .sum();
        let slots = to_f64(self.limit.slots());
        let wait = (own + ahead).div_f64(slots);
        if class.share() == 0.0 {
            return wait;
        }
        // Requests served through the minimum share do not wait for those of other
        // priorities.
        wait.min(own.div_f64(slots * class.share()))
    }
}

/// Returns the expected time that `count` requests of a priority hold a slot.
fn service_time(class: &Class, count: usize, now: Instant) -> Duration {
    class.hold_time.expected(now) * u32::try_from(count).unwrap_or(u32::MAX)
}

fn refusal(reason: Reason, wait: Duration) -> Refusal {
    Refusal {
        reason,
        retry_after: Some(wait.max(MIN_RETRY_DELAY)),
    }
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
