//! What a node knows of the pace of a server.

use super::Server;
use crate::exchange::Failure;
use crate::message::{Answer, Code, Outcome};
use crate::protocol::Protocol;
use agateport_domain::pace::{Latest, Measure, Report, Response};
use agateport_domain::prelude::*;

/// What a node knows of the pace of a server.
#[derive(Debug, Default)]
pub struct Pacing {
    /// Responses over connections of this node.
    measure: Measure,
    /// Last report by an owner of the server.
    latest: Option<Latest>,
}

/// What an owner reports with a granted permit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Number of requests at the owner that use the server or wait for it.
    pub load: usize,
    /// Pace of the server, if the owner measures it.
    pub pace: Option<Report>,
}

impl<W: Protocol> Server<W> {
    /// Makes the server measure its pace, and limit its slots by the latency of each
    /// priority.
    #[must_use]
    pub fn adapting(self) -> Self {
        {
            let mut inner = self.lock();
            inner.queue.limit_by_priority(Instant::now());
            inner.pacing = Some(Pacing::default());
        }
        self
    }

    /// Makes the queue refuse on arrival what it does not expect to start in time.
    #[must_use]
    pub fn refusing_on_arrival(self) -> Self {
        self.lock().queue.refuse_late_starts();
        self
    }

    /// Records what the result of an exchange shows about the server, if it measures its
    /// pace. The request must hold a slot.
    pub(crate) fn record_response(
        &self,
        request: RequestId,
        result: &Result<Answer, Failure>,
        elapsed: Duration,
    ) {
        let Some(response) = response(result, elapsed) else {
            return;
        };
        let now = Instant::now();
        let mut inner = self.lock();
        let Some(priority) = inner.queue.running_priority(request).cloned() else {
            return;
        };
        if let Some(pacing) = &mut inner.pacing {
            pacing.measure.record(&priority, response, now);
        }
    }

    /// Records what an owner of the server reported with a granted permit.
    pub(crate) fn record_grant(&self, grant: Grant) {
        self.record_owner_load(grant.load);
        let now = Instant::now();
        let mut inner = self.lock();
        let (Some(pacing), Some(report)) = (&mut inner.pacing, grant.pace) else {
            return;
        };
        match &mut pacing.latest {
            Some(latest) => latest.update(report, now),
            None => pacing.latest = Some(Latest::new(report, now)),
        }
    }

    /// Returns what the node reports with a permit that it lends.
    #[must_use]
    pub fn grant(&self) -> Grant {
        let load = self.load();
        let pace = self.measured(Instant::now());
        Grant { load, pace }
    }

    /// Returns the pace of the server as the node knows it; none if it does not measure
    /// it. Of its own measurement and an owner's report, the one with the last response
    /// counts, because either may date from before a change of owners.
    #[must_use]
    pub fn pace(&self) -> Option<Report> {
        let now = Instant::now();
        let measured = self.measured(now)?;
        let latest = self.lock().pacing.as_ref()?.latest.clone();
        let reported = latest.map(|latest| latest.at(now));
        let newer = reported
            .filter(Report::is_conclusive)
            .filter(|report| report.age < measured.age || !measured.is_conclusive());
        Some(newer.unwrap_or(measured))
    }

    fn measured(&self, now: Instant) -> Option<Report> {
        let inner = self.lock();
        let slots = inner.share.slots;
        let limit = inner.queue.slots();
        let pacing = inner.pacing.as_ref()?;
        Some(pacing.measure.report(slots, limit, now))
    }
}

/// Returns what the result of an exchange shows about its server; none if it depends on the
/// caller, on the owner or on what the server replicates.
///
/// Only the time of statements that returned rows is compared: these are reads, which all
/// servers of a group run, while writes and commits run at the primary alone.
fn response(result: &Result<Answer, Failure>, elapsed: Duration) -> Option<Response> {
    match result {
        Ok(answer) => match &answer.outcome {
            Outcome::Done(_) if answer.rows.is_empty() => Some(Response::Done),
            Outcome::Done(_) => Some(Response::Served(elapsed)),
            Outcome::Error { code, .. } => is_failure(code).then_some(Response::Failed),
        },
        Err(Failure::Disconnected | Failure::TimedOut) => Some(Response::Failed),
        Err(Failure::ChannelClosed | Failure::Unsent) => None,
    }
}

fn is_failure(code: &Code) -> bool {
    match code {
        Code::Busy
        | Code::Failed
        | Code::Other(_)
        | Code::Timeout
        | Code::TooMany
        | Code::Unknown => true,
        Code::Aborted
        | Code::Lagging
        | Code::Malformed
        | Code::Misdirected
        | Code::NoDatabase
        | Code::NoStatement
        | Code::NotAuthorized
        | Code::ReadOnly => false,
    }
}
