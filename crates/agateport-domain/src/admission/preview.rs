//! What would happen to a request, without offering it to the queue.

use super::{Admission, Decision, Queue, Ticket};
use crate::request::Refusal;
use std::time::{Duration, Instant};

/// What would happen to a request now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Preview {
    /// It would get a slot at once.
    Started,
    /// It would wait for at least this time.
    Queued(Duration),
    /// It would be refused.
    Refused(Refusal),
}

impl Queue {
    /// Returns what would happen to a request at `now`. It is decided on a copy of the queue,
    /// which stays as it is.
    #[must_use]
    pub fn preview(&self, ticket: Ticket, now: Instant) -> Preview {
        let mut copy = self.clone();
        let request = ticket.request;
        let wait = self.minimum_wait(&ticket, now);
        match copy.offer(ticket, now) {
            Err(refusal) => return Preview::Refused(refusal),
            Ok(Admission::Started) => return Preview::Started,
            Ok(Admission::Queued { .. }) => {}
        }
        while let Some(decision) = copy.next(now) {
            match decision {
                Decision::Start(other) if other == request => return Preview::Started,
                Decision::Refuse(other, refusal) if other == request => {
                    return Preview::Refused(refusal);
                }
                Decision::Start(_) | Decision::Refuse(..) => {}
            }
        }
        Preview::Queued(wait)
    }
}
