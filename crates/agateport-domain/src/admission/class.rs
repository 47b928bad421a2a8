//! The waiting requests of one priority.

use super::Ticket;
use super::estimate::Estimate;
use crate::bundle::Priority;
use crate::id::{CallerId, RequestId};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Time over which a priority that asks for nothing saves up its minimum share.
const CREDIT_WINDOW: f64 = 1.0;

/// The waiting requests of one priority, and its part of the slots.
#[derive(Debug)]
pub struct Class {
    worth: u32,
    share: f64,
    /// Slot-seconds that the minimum share grants and nobody has used.
    credit: f64,
    /// Time that its requests hold a slot.
    pub hold_time: Estimate,
    waiting: BTreeMap<CallerId, VecDeque<Ticket>>,
    /// Callers that wait, the next one first.
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
            waiting: BTreeMap::new(),
            rotation: VecDeque::new(),
            count: 0,
        }
    }

    /// Takes the waiting requests and the measured times of an older rule.
    pub fn inherit(&mut self, older: Self) {
        self.credit = older.credit;
        self.hold_time = older.hold_time;
        self.waiting = older.waiting;
        self.rotation = older.rotation;
        self.count = older.count;
    }

    /// Keeps the waiting requests without worth or share.
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

    /// Returns the worth for each slot-second.
    pub fn density(&self) -> f64 {
        let held = self.hold_time.mean().as_secs_f64().max(f64::MIN_POSITIVE);
        let worth = f64::from(self.worth);
        if self.hold_time.mean().is_zero() {
            return worth;
        }
        worth / held
    }

    /// Returns the part of the slots that is kept for this priority.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Grants the minimum share of `slots` over `elapsed`.
    pub fn accrue(&mut self, elapsed: Duration, slots: f64) {
        let rate = self.share * slots;
        self.credit = (self.credit + rate * elapsed.as_secs_f64()).min(rate * CREDIT_WINDOW);
    }

    /// Takes slot-seconds from the minimum share; negative ones are given back.
    pub fn charge(&mut self, seconds: f64) {
        self.credit -= seconds;
    }

    /// Tells whether it has had less than its minimum share.
    pub fn is_below_share(&self) -> bool {
        self.share > 0.0 && self.credit > 0.0 && self.count > 0
    }

    /// Returns how many waiting requests go before a new one of `caller`.
    pub fn count_ahead(&self, caller: &CallerId) -> usize {
        let own = self.waiting.get(caller).map_or(0, VecDeque::len);
        self.waiting
            .values()
            .map(|one| one.len().min(own + 1))
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

    /// Takes the next request: callers in turn, each caller's in order.
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

    /// Forgets a request that no longer waits.
    pub fn remove(&mut self, request: RequestId) -> bool {
        let found = self
            .waiting
            .iter()
            .find(|(_, tickets)| tickets.iter().any(|one| one.request == request));
        let Some(caller) = found.map(|(caller, _)| caller.clone()) else {
            return false;
        };
        self.remove_where(&caller, |one| one.request == request);
        true
    }

    /// Takes the last request of the caller with the most, if that is more than
    /// `caller` would have.
    pub fn evict_for(&mut self, caller: &CallerId) -> Option<Ticket> {
        let own = self.waiting.get(caller).map_or(0, VecDeque::len);
        let (longest, tickets) = self.waiting.iter().max_by_key(|(_, one)| one.len())?;
        if tickets.len() <= own + 1 {
            return None;
        }
        let ticket = tickets.back()?.clone();
        let longest = longest.clone();
        self.remove_where(&longest, |one| one.request == ticket.request);
        Some(ticket)
    }

    fn remove_where(&mut self, caller: &CallerId, matches: impl Fn(&Ticket) -> bool) {
        let Some(tickets) = self.waiting.get_mut(caller) else {
            return;
        };
        let before = tickets.len();
        tickets.retain(|one| !matches(one));
        self.count -= before - tickets.len();
        if tickets.is_empty() {
            self.waiting.remove(caller);
            self.rotation.retain(|one| one != caller);
        }
    }
}
