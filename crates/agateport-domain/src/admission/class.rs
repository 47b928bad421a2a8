//! The waiting requests of one priority.

use super::Ticket;
use super::estimate::Estimate;
use super::rate::Rate;
use crate::bundle::Priority;
use crate::id::{CallerId, RequestId};
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Longest time, in seconds, over which a priority that sends no requests
/// accumulates its minimum share.
const CREDIT_WINDOW: f64 = 1.0;

/// The waiting requests of one priority, and its share of the slots.
#[derive(Clone, Debug)]
pub struct Class {
    worth: u32,
    share: f64,
    /// Slot-seconds of the minimum share that have accrued but are not used yet;
    /// negative if more were used.
    credit: f64,
    /// Estimated time that its requests hold a slot.
    pub hold_time: Estimate,
    /// Requests that were refused because no slot was free in time.
    pub refusals: Rate,
    /// Requests that could not start at once, if the queue refuses on arrival.
    pub offered: Rate,
    waiting: BTreeMap<CallerId, VecDeque<Ticket>>,
    /// Callers with waiting requests, in round-robin order, the next one first.
    rotation: VecDeque<CallerId>,
    count: usize,
}

impl Class {
    pub fn new(priority: &Priority) -> Self {
        Self {
            worth: priority.worth,
            share: f64::from(priority.minimum_share) / 100.0,
            credit: 0.0,
            hold_time: Estimate::default(),
            refusals: Rate::default(),
            offered: Rate::default(),
            waiting: BTreeMap::new(),
            rotation: VecDeque::new(),
            count: 0,
        }
    }

    /// Takes over the waiting requests, the credit and the estimate of the class
    /// that this one replaces.
    pub fn inherit(&mut self, older: Self) {
        self.credit = older.credit;
        self.hold_time = older.hold_time;
        self.refusals = older.refusals;
        self.offered = older.offered;
        self.waiting = older.waiting;
        self.rotation = older.rotation;
        self.count = older.count;
    }

    /// Keeps the waiting requests, with neither worth nor share.
    pub fn retire(self) -> Self {
        Self {
            worth: 0,
            share: 0.0,
            ..self
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns the worth of a request per slot-second, or its plain worth before
    /// the first sample of the hold time.
    pub fn density(&self) -> f64 {
        let held = self.hold_time.mean().as_secs_f64().max(f64::MIN_POSITIVE);
        let worth = f64::from(self.worth);
        if self.hold_time.mean().is_zero() {
            return worth;
        }
        worth / held
    }

    /// Returns the worth of one request.
    pub fn worth(&self) -> f64 {
        f64::from(self.worth)
    }

    /// Returns the worth of its requests that are refused at `now` in each second in
    /// which a slot is held by others.
    pub fn displaced_worth(&self, now: Instant) -> f64 {
        let held = self.hold_time.expected(now).as_secs_f64();
        let most = held.max(f64::MIN_POSITIVE).recip();
        self.worth() * self.refusals.get(now).min(most)
    }

    /// Returns the minimum share of the slots, between 0 and 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns the slot-seconds of the minimum share that are not used yet; negative if more
    /// were used.
    pub fn credit(&self) -> f64 {
        self.credit
    }

    /// Returns the number of waiting requests that the unused part of the minimum share
    /// suffices for.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the quotient is positive and bounded by the number of requests"
    )]
    pub fn owed(&self, now: Instant) -> usize {
        if !self.is_below_share() {
            return 0;
        }
        let held = self.hold_time.expected(now).as_secs_f64();
        let requests = (self.credit / held.max(f64::MIN_POSITIVE)).ceil();
        self.count.min(requests as usize)
    }

    /// Adds the minimum share of `slots` over `elapsed` to the credit.
    pub fn accrue(&mut self, elapsed: Duration, slots: f64) {
        let rate = self.share * slots;
        self.credit = (self.credit + rate * elapsed.as_secs_f64()).min(rate * CREDIT_WINDOW);
    }

    /// Subtracts slot-seconds from the credit; a negative number is added to it.
    pub fn charge(&mut self, seconds: f64) {
        self.credit -= seconds;
    }

    /// Returns whether requests wait although the priority has had less than its
    /// minimum share.
    pub fn is_below_share(&self) -> bool {
        self.share > 0.0 && self.credit > 0.0 && self.count > 0
    }

    /// Returns the number of waiting requests ahead of a new one of `caller`.
    pub fn count_ahead(&self, caller: &CallerId) -> usize {
        let own = self.waiting.get(caller).map_or(0, VecDeque::len);
        self.waiting
            .values()
            .map(|tickets| tickets.len().min(own + 1))
            .sum()
    }

    pub fn push(&mut self, ticket: Ticket) {
        let tickets = self.waiting.entry(ticket.caller.clone()).or_default();
        if tickets.is_empty() {
            self.rotation.push_back(ticket.caller.clone());
        }
        tickets.push_back(ticket);
        self.count += 1;
    }

    /// Returns the next request of each caller, in the order in which they get slots.
    pub fn next_of_callers(&self) -> impl Iterator<Item = &Ticket> {
        let callers = self.rotation.iter();
        callers.filter_map(|caller| self.waiting.get(caller)?.front())
    }

    /// Removes and returns the next request: callers round-robin, each caller's
    /// requests in their order.
    pub fn pop(&mut self) -> Option<Ticket> {
        let caller = self.rotation.pop_front()?;
        let tickets = self.waiting.get_mut(&caller)?;
        let ticket = tickets.pop_front();
        if tickets.is_empty() {
            self.waiting.remove(&caller);
        } else {
            self.rotation.push_back(caller);
        }
        self.count -= usize::from(ticket.is_some());
        ticket
    }

    /// Removes a waiting request; returns whether it was found.
    pub fn remove(&mut self, request: RequestId) -> bool {
        let found = self
            .waiting
            .iter()
            .find(|(_, tickets)| tickets.iter().any(|ticket| ticket.request == request));
        let Some(caller) = found.map(|(caller, _)| caller.clone()) else {
            return false;
        };
        self.remove_where(&caller, |ticket| ticket.request == request);
        true
    }

    /// Removes and returns the last request of the caller with the most waiting
    /// requests, if these are more than `caller` would have.
    pub fn evict_for(&mut self, caller: &CallerId) -> Option<Ticket> {
        let own = self.waiting.get(caller).map_or(0, VecDeque::len);
        let (busiest, tickets) = self
            .waiting
            .iter()
            .max_by_key(|(_, tickets)| tickets.len())?;
        if tickets.len() <= own + 1 {
            return None;
        }
        let last = tickets.back()?.clone();
        let busiest = busiest.clone();
        self.remove_where(&busiest, |ticket| ticket.request == last.request);
        Some(last)
    }

    fn remove_where(&mut self, caller: &CallerId, matches: impl Fn(&Ticket) -> bool) {
        let Some(tickets) = self.waiting.get_mut(caller) else {
            return;
        };
        let before = tickets.len();
        tickets.retain(|ticket| !matches(ticket));
        self.count -= before - tickets.len();
        if tickets.is_empty() {
            self.waiting.remove(caller);
            self.rotation.retain(|waiting| waiting != caller);
        }
    }
}
