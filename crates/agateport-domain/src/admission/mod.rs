//! The queue of one upstream server, at its owner.

mod error;

pub use error::Error;

use crate::id::RequestId;
use crate::request::{Reason, Refusal};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// Worth of a rank of work; a higher one goes first.
pub type Worth = u32;

/// A request that asks for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// Number of the request at this owner.
    pub request: RequestId,
    /// Worth of its rank.
    pub worth: Worth,
    /// When its answer is due.
    pub due: Instant,
}

/// What became of a request that asked for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Offer {
    /// It has its slot.
    Started,
    /// It waits.
    Queued,
}

/// What the queue decides about a waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It gets a slot.
    Start(RequestId),
    /// It can't be served and is certainly not run.
    Refuse(RequestId, Refusal),
}

/// The queue of one upstream server.
#[derive(Debug)]
pub struct Queue {
    slots: usize,
    capacity: usize,
    running: BTreeSet<RequestId>,
    waiting: BTreeMap<(Reverse<Worth>, Instant, RequestId), Ticket>,
}

impl Queue {
    /// Creates an empty queue over `slots` slots that holds at most `capacity`
    /// waiting requests.
    ///
    /// # Errors
    ///
    /// [`Error`] if there is no slot.
    pub fn new(slots: usize, capacity: usize) -> Result<Self, Error> {
        if slots == 0 {
            return Err(Error);
        }
        Ok(Self {
            slots,
            capacity,
            running: BTreeSet::new(),
            waiting: BTreeMap::new(),
        })
    }

    /// Takes a request in.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the queue is full.
    pub fn offer(&mut self, ticket: Ticket) -> Result<Offer, Refusal> {
        if self.running.len() < self.slots {
            self.running.insert(ticket.request);
            return Ok(Offer::Started);
        }
        if self.waiting.len() >= self.capacity {
            return Err(Reason::QueueFull.into());
        }
        let place = (Reverse(ticket.worth), ticket.due, ticket.request);
        self.waiting.insert(place, ticket);
        Ok(Offer::Queued)
    }

    /// Gives the slot of a finished request back, or forgets a waiting one.
    pub fn finish(&mut self, request: RequestId) {
        if !self.running.remove(&request) {
            self.waiting.retain(|_, ticket| ticket.request != request);
        }
    }

    /// Decides about the next waiting request, if there is anything to decide.
    pub fn next(&mut self, now: Instant) -> Option<Decision> {
        if self.running.len() >= self.slots {
            return None;
        }
        let (_, ticket) = self.waiting.pop_first()?;
        if ticket.due <= now {
            return Some(Decision::Refuse(
                ticket.request,
                Reason::TargetMissed.into(),
            ));
        }
        self.running.insert(ticket.request);
        Some(Decision::Start(ticket.request))
    }
}
