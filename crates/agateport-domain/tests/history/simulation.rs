//! Simulated sessions, nodes and servers, with a model of the required results.

use super::servers::{Servers, WriteId};
use agateport_domain::group::{Acknowledge, Group, ReadIndex, Status};
use agateport_domain::prelude::*;
use agateport_domain::request::{Reason, Request, Requirement};
use agateport_domain::session::{Floor, Session};

/// Fault that affects one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    None,
    RequestLost,
    RequestLate,
    AnswerLost,
}

/// One step of a schedule.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    Write {
        session: usize,
        node: usize,
        is_keyed: bool,
        fault: Fault,
    },
    Read {
        session: usize,
        node: usize,
        server: usize,
        responding: u8,
    },
    Replicate {
        server: usize,
    },
    Report {
        node: usize,
        server: usize,
    },
    ReportLate {
        node: usize,
        server: usize,
    },
    ReportArrives,
    RequestArrives,
    GiveUp {
        session: usize,
    },
    Retry {
        session: usize,
        node: usize,
        fault: Fault,
    },
    OpenSession {
        session: usize,
    },
    TransferWatermark {
        from: usize,
        to: usize,
    },
    Isolate {
        server: usize,
    },
    Rejoin {
        server: usize,
    },
    Promote,
}

/// A write whose acknowledgement a session waits for.
#[derive(Clone, Debug)]
struct Pending {
    write: WriteId,
    is_keyed: bool,
    request: Request,
    /// Node and watermark of the primary's answer, once it has arrived.
    answered: Option<(usize, Watermark)>,
}

/// A session, with the writes that it must see.
struct Caller {
    session: Session,
    must_see: BTreeSet<WriteId>,
    pending: Option<Pending>,
}

/// State of one schedule.
pub struct Simulation {
    servers: Servers,
    nodes: Vec<Group>,
    callers: Vec<Caller>,
    late_reports: Vec<(usize, usize, Status)>,
    late_requests: Vec<(usize, WriteId, bool)>,
    acknowledged: BTreeSet<WriteId>,
    returned: BTreeSet<WriteId>,
    not_run: BTreeSet<WriteId>,
    next_write: WriteId,
    now: Instant,
}

fn name(server: usize) -> ServerId {
    format!("server-{server}").into()
}

fn group() -> GroupId {
    "ledger".into()
}

impl Simulation {
    pub fn new() -> Self {
        let now = Instant::now();
        let node =
            || Group::new(Acknowledge::Majority, (0..3).map(name)).expect("the group has servers");
        let caller = || Caller {
            session: Session::new(now),
            must_see: BTreeSet::new(),
            pending: None,
        };
        let mut simulation = Self {
            servers: Servers::new(),
            nodes: vec![node(), node()],
            callers: vec![caller(), caller(), caller()],
            late_reports: Vec::new(),
            late_requests: Vec::new(),
            acknowledged: BTreeSet::new(),
            returned: BTreeSet::new(),
            not_run: BTreeSet::new(),
            next_write: 0,
            now,
        };
        for server in 0..3 {
            simulation.report(0, server);
            simulation.report(1, server);
        }
        simulation
    }

    pub fn apply(&mut self, step: Step) {
        match step {
            Step::Write {
                session,
                node,
                is_keyed,
                fault,
            } => {
                self.write(session, node, is_keyed, fault);
            }
            Step::Read {
                session,
                node,
                server,
                responding,
            } => self.read(session, node, server, responding),
            Step::Replicate { server } => self.servers.replicate(server),
            Step::Report { node, server } => self.report(node, server),
            Step::ReportLate { node, server } => {
                let status = self.servers.all[server].status();
                self.late_reports.push((node, server, status));
            }
            Step::ReportArrives => {
                if let Some((node, server, status)) = self.late_reports.pop() {
                    self.nodes[node].record_status(&name(server), status, self.now);
                }
            }
            Step::RequestArrives => {
                if let Some((server, write, is_keyed)) = self.late_requests.pop() {
                    // The session no longer waits for the answer.
                    self.servers.all[server].commit(write, is_keyed);
                }
            }
            Step::GiveUp { session } => self.give_up(session),
            Step::Retry {
                session,
                node,
                fault,
            } => self.retry(session, node, fault),
            Step::OpenSession { session } => self.open_session(session),
            Step::TransferWatermark { from, to } => self.transfer_watermark(from, to),
            Step::Isolate { server } => self.servers.all[server].is_isolated = true,
            Step::Rejoin { server } => self.servers.rejoin(server),
            Step::Promote => drop(self.servers.promote()),
        }
        self.acknowledge();
    }

    fn report(&mut self, node: usize, server: usize) {
        let status = self.servers.all[server].status();
        self.nodes[node].record_status(&name(server), status, self.now);
    }

    fn write(&mut self, session: usize, node: usize, is_keyed: bool, fault: Fault) {
        if self.callers[session].pending.is_some() {
            return;
        }
        self.next_write += 1;
        self.callers[session].pending = Some(Pending {
            write: self.next_write,
            is_keyed,
            request: Request::new(is_keyed),
            answered: None,
        });
        self.send(session, node, fault);
    }

    fn retry(&mut self, session: usize, node: usize, fault: Fault) {
        let pending = self.callers[session].pending.as_ref();
        if pending.is_some_and(|pending| pending.request.can_send()) {
            self.send(session, node, fault);
        }
    }

    /// Sends a session's write to the server that the node considers the primary.
    fn send(&mut self, session: usize, node: usize, fault: Fault) {
        let caller = &mut self.callers[session];
        let Some(pending) = caller.pending.as_mut() else {
            return;
        };
        let primary = self.nodes[node].primary();
        let Some(server) = (0..3).find(|server| Some(&name(*server)) == primary) else {
            // Nothing was sent.
            self.record_refusal(session);
            return;
        };
        pending
            .request
            .mark_sent()
            .expect("the request may be sent");
        let watermark = match fault {
            Fault::RequestLost => None,
            Fault::RequestLate => {
                let late = (server, pending.write, pending.is_keyed);
                self.late_requests.push(late);
                None
            }
            Fault::None | Fault::AnswerLost => {
                let server = &mut self.servers.all[server];
                match server.commit(pending.write, pending.is_keyed) {
                    Some(watermark) => Some(watermark),
                    None if fault == Fault::None => {
                        let refused = pending.request.mark_refused(Reason::NotPrimary);
                        refused.expect("the request was sent");
                        self.record_refusal(session);
                        return;
                    }
                    None => None,
                }
            }
        };
        match (fault, watermark) {
            (Fault::None, Some(watermark)) => pending.answered = Some((node, watermark)),
            _ => pending.request.mark_unknown(),
        }
    }

    /// Reports to the caller that its write did not run, if that is certain.
    fn record_refusal(&mut self, session: usize) {
        let pending = self.callers[session].pending.as_ref();
        let Some(pending) = pending.filter(|pending| pending.request.is_not_run()) else {
            return;
        };
        self.not_run.insert(pending.write);
        self.callers[session].pending = None;
    }

    /// Acknowledges the writes that a majority of the servers holds.
    fn acknowledge(&mut self) {
        for caller in &mut self.callers {
            let Some(pending) = caller.pending.as_mut() else {
                continue;
            };
            let Some((node, watermark)) = pending.answered else {
                continue;
            };
            if self.nodes[node].is_acknowledged(watermark) {
                pending.request.mark_answered();
                caller.session.observe(&group(), watermark);
                caller.must_see.insert(pending.write);
                self.acknowledged.insert(pending.write);
                caller.pending = None;
            }
        }
    }

    /// Ends the wait for an acknowledgement; the outcome stays unknown.
    fn give_up(&mut self, session: usize) {
        let pending = &mut self.callers[session].pending;
        let Some(waiting) = pending else {
            return;
        };
        waiting.request.mark_unknown();
        waiting.answered = None;
        if !waiting.is_keyed {
            *pending = None;
        }
    }

    /// Opens a session without a watermark. It must see every write that was
    /// acknowledged to any session.
    fn open_session(&mut self, session: usize) {
        self.now += Duration::from_millis(1);
        self.callers[session] = Caller {
            session: Session::new(self.now),
            must_see: self.acknowledged.clone(),
            pending: None,
        };
    }

    /// Passes the watermark of one session to another, which must then see the same
    /// writes.
    fn transfer_watermark(&mut self, from: usize, to: usize) {
        let Some(watermark) = self.callers[from].session.watermark(&group()) else {
            return;
        };
        let must_see = self.callers[from].must_see.clone();
        let caller = &mut self.callers[to];
        caller.session.observe(&group(), watermark);
        caller.must_see.extend(must_see);
    }

    /// Reads from a server if it may serve the session. `responding` has a bit set
    /// for each server that answers status queries meanwhile.
    fn read(&mut self, session: usize, node: usize, server: usize, responding: u8) {
        let responders = (0..3).filter(|server| responding & (1 << server) != 0);
        let responders: Vec<usize> = responders.collect();
        let Some(floor) = self.floor(session, &responders) else {
            return;
        };
        if !self.can_serve(node, server, floor) {
            return;
        }
        let visible = self.servers.all[server].writes();
        let seen = self.servers.all[server].last();
        for responder in responders {
            self.report(node, responder);
        }
        if !self.nodes[node].is_acknowledged(seen) {
            return;
        }
        let caller = &mut self.callers[session];
        let missing: Vec<_> = caller.must_see.difference(&visible).collect();
        assert!(
            missing.is_empty(),
            "the read did not return the writes {missing:?}"
        );
        caller.session.observe(&group(), seen);
        caller.must_see.extend(&visible);
        self.returned.extend(visible);
    }

    /// Returns the watermark that a server must have reached to serve the session.
    /// If the session has none, it is determined by a read index.
    fn floor(&mut self, session: usize, responders: &[usize]) -> Option<Watermark> {
        let caller = &mut self.callers[session];
        if let Floor::Known(watermark) = caller.session.floor(&group()) {
            return Some(watermark);
        }
        let mut index = ReadIndex::new(Acknowledge::Majority, 3);
        for responder in responders {
            index.add(self.servers.all[*responder].status());
        }
        let watermark = index.watermark()?;
        caller.session.observe(&group(), watermark);
        Some(watermark)
    }

    /// Returns whether the node would send a read with this floor to the server.
    fn can_serve(&self, node: usize, server: usize, floor: Watermark) -> bool {
        let Some((status, _)) = self.nodes[node].status(&name(server)) else {
            return false;
        };
        let requirement = if self.nodes[node].primary() == Some(&name(server)) {
            Requirement::Primary {
                watermark: Some(floor),
            }
        } else {
            Requirement::Replica {
                watermark: Some(floor),
                maximum_staleness: Duration::ZERO,
                maximum_wait: Duration::ZERO,
            }
        };
        requirement.check(status, status.age).is_ok()
    }

    /// Reconnects all servers, promotes a primary, and checks that its log has every
    /// acknowledged or returned write, none that was reported as not run, and none
    /// twice.
    pub fn verify(mut self) {
        for server in 0..3 {
            self.servers.all[server].is_isolated = false;
        }
        assert!(self.servers.promote());
        let primary = self.servers.all.iter().max_by_key(|server| server.last());
        let primary = primary.expect("the group has servers");
        let writes: Vec<_> = primary.log.iter().filter_map(|entry| entry.write).collect();
        let distinct = primary.writes();
        assert_eq!(writes.len(), distinct.len(), "a write ran twice");
        let lost: Vec<_> = self.acknowledged.difference(&distinct).collect();
        assert!(lost.is_empty(), "the acknowledged writes {lost:?} are lost");
        let lost_reads: Vec<_> = self.returned.difference(&distinct).collect();
        assert!(
            lost_reads.is_empty(),
            "the writes {lost_reads:?} were returned by a read and are lost"
        );
        let false_refusals: Vec<_> = self.not_run.intersection(&distinct).collect();
        assert!(
            false_refusals.is_empty(),
            "the writes {false_refusals:?} were reported as not run but ran"
        );
    }
}
