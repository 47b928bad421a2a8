//! What is explained of a decision equals what is then decided, for the same state.

#![expect(clippy::unwrap_used, reason = "an invalid fixture fails the test")]

use agateport_domain::admission::{self, Admission, Decision, Queue, Share, Ticket};
use agateport_domain::allowance::{self, Account, Lent, Listing, Tolerance, Views};
use agateport_domain::bundle::Priority;
use agateport_domain::pace::Standing;
use agateport_domain::prelude::*;
use agateport_domain::session::placement::{Candidate, order, rank};
use agateport_domain::workspace::Limits;
use proptest::prelude::*;

const NODES: [&str; 3] = ["a", "b", "c"];

fn members(count: usize) -> Listing {
    let names = NODES[..count].iter();
    let pairs: Vec<_> = names
        .map(|name| (NodeId::from(*name), Zone::from(*name)))
        .collect();
    Listing {
        members: pairs.iter().map(|(node, zone)| (node, zone)).collect(),
        is_established: true,
        ..Listing::default()
    }
}

/// Takes an operation as a node does, up to the first message to another node.
fn take(account: &mut Account, views: &Views, limits: Limits, now: Uptime) -> allowance::Preview {
    account.update(views, limits, now);
    account.record_demand(now);
    if account.take(views, now) {
        return allowance::Preview::Allowed;
    }
    while let Some(request) = account.request(1, now) {
        if &*request.allocator != "a" {
            return allowance::Preview::Asked(request.allocator);
        }
        let lent = account.lend(request.count, views, now);
        account.receive(&request, Some(lent), now, now);
        if account.take(views, now) {
            return allowance::Preview::Allowed;
        }
    }
    allowance::Preview::Refused(account.refuse(views, now))
}

/// Offers a ticket and assigns free slots, as a server does; returns the outcome of the ticket.
fn offer(queue: &mut Queue, ticket: Ticket, now: Instant) -> Option<Result<(), ()>> {
    let request = ticket.request;
    match queue.offer(ticket, now) {
        Err(_) => return Some(Err(())),
        Ok(Admission::Started) => return Some(Ok(())),
        Ok(Admission::Queued { .. }) => {}
    }
    while let Some(decision) = queue.next(now) {
        match decision {
            Decision::Start(other) if other == request => return Some(Ok(())),
            Decision::Refuse(other, _) if other == request => return Some(Err(())),
            _ => {}
        }
    }
    None
}

fn queue(now: Instant) -> Queue {
    let priorities: Vec<_> = [("0", 8), ("1", 1)]
        .into_iter()
        .map(|(name, worth)| Priority {
            name: name.into(),
            target: Duration::from_secs(1),
            worth,
            minimum_share: 10,
        })
        .collect();
    let share = Share {
        slots: 2,
        connections: 3,
    };
    Queue::new(share, 4, &priorities, now).unwrap().reserving()
}

proptest! {
    /// Guards against an explanation that uses an operation or a part of a bucket, or that
    /// differs from the decision.
    #[test]
    fn an_operation_is_decided_as_explained(
        count in 1..=NODES.len(),
        rate in 0.5..200.0f64,
        burst in 0.5..50.0f64,
        steps in prop::collection::vec((0..2_000u64, 0..5u8), 1..60),
    ) {
        let mut limits = Limits::new(rate, burst).unwrap();
        let mut revision = 1;
        let mut now = Duration::from_secs(1_000);
        let mut views = Views::new("a".into());
        views.apply(|| members(count), 1, now, now);
        let tolerance = Tolerance::default();
        let mut account = Account::new("acme".into(), "a".into(), limits, tolerance, &views, now);
        for (pause, kind) in steps {
            now += Duration::from_millis(pause);
            match kind {
                0 => views.apply(Listing::default, revision, now, now),
                1 => {
                    account.update(&views, limits, now);
                    if let Some(request) = account.request(2, now) {
                        let retry_after = Duration::from_millis(pause);
                        let lent = Lent { count: u32::from(pause % 2 == 0), retry_after };
                        account.receive(&request, Some(lent), now, now);
                    }
                }
                // Lower and higher limits, and another list of members.
                2 => {
                    let factor = if pause % 2 == 0 { 0.2 } else { 3.0 };
                    limits = Limits::new(rate * factor, burst * factor).unwrap();
                }
                3 => {
                    revision += 1;
                    let count = if pause % 2 == 0 { 1 } else { NODES.len() };
                    views.apply(|| members(count), revision, now, now);
                }
                _ => {}
            }
            let explained = account.preview(&views, limits, now);
            prop_assert_eq!(&account.preview(&views, limits, now), &explained);
            prop_assert_eq!(take(&mut account, &views, limits, now), explained);
        }
    }

    /// Guards against an explanation that enters the queue, or that differs from the decision.
    #[test]
    fn a_request_is_admitted_as_explained(
        steps in prop::collection::vec((0..40u64, 0..3u8, 0..3u8, 10..600u64), 1..80),
    ) {
        let mut now = Instant::now();
        let mut queue = queue(now);
        let mut started = Vec::new();
        for (request, (pause, kind, caller, target)) in (1..).zip(steps) {
            now += Duration::from_millis(pause);
            if kind == 2 {
                if let Some(first) = started.pop() {
                    queue.finish(first, now);
                }
                continue;
            }
            let ticket = Ticket {
                request,
                priority: kind.to_string().into(),
                caller: caller.to_string().into(),
                due: now + Duration::from_millis(target),
            };
            let state = (queue.running(), queue.waiting());
            let explained = queue.preview(ticket.clone(), now);
            prop_assert_eq!((queue.running(), queue.waiting()), state);
            let expected = match explained {
                admission::Preview::Started => Some(Ok(())),
                admission::Preview::Queued(_) => None,
                admission::Preview::Refused(_) => Some(Err(())),
            };
            let decided = offer(&mut queue, ticket, now);
            prop_assert_eq!(decided, expected);
            if decided == Some(Ok(())) {
                started.push(request);
            }
        }
    }

    /// Guards against a ranking that operators see but placement does not follow.
    #[test]
    fn servers_are_chosen_as_ranked(
        servers in prop::collection::vec((any::<[bool; 2]>(), prop::option::of(0..9u64), 0..9usize), 0..8),
        floor in prop::option::of(0..9u64),
    ) {
        let watermark = |position| Watermark { term: 1, position };
        let candidates: Vec<_> = servers
            .into_iter()
            .enumerate()
            .map(|(index, ([is_same_zone, is_recent], position, load))| Candidate {
                server: format!("s{index}").into(),
                is_primary: index == 0,
                is_same_zone,
                watermark: position.map(watermark),
                is_recent,
                load,
                standing: Standing::NORMAL,
            })
            .collect();
        let floor = floor.map(watermark);
        let mut ranked: Vec<_> = rank(&candidates, floor)
            .into_iter()
            .filter_map(|(server, cost)| Some((cost.ok()?, server)))
            .collect();
        ranked.sort();
        let ranked: Vec<_> = ranked.into_iter().map(|(_, server)| server).collect();
        prop_assert_eq!(order(&candidates, floor), ranked);
    }
}
