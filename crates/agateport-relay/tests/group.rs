//! The leader of a group, and the moments that its lease covers.

use agateport_domain::group::{Leadership, Roster};
use agateport_domain::prelude::*;
use agateport_relay::clock::uptime;
use agateport_relay::group::Group;

fn leadership(primary: &str) -> Leadership {
    Leadership {
        primary: primary.into(),
        fence: 1,
        is_settled: true,
        roster: Roster::default(),
        base: None,
        term: None,
        former: None,
        succession: 0,
    }
}

/// A request that waits for the lease of a primary must not use the lease of the
/// successor if another primary takes over during the wait.
#[tokio::test(start_paused = true)]
async fn a_lease_belongs_to_one_primary_only() {
    let group = Arc::new(Group::new("ledger".into()));
    let claimants: Vec<ServerId> = vec!["one".into()];
    group.select_leader(&claimants);
    let waiting = tokio::spawn({
        let group = group.clone();
        let arrived = uptime();
        let deadline = Instant::now() + Duration::from_millis(150);
        async move { group.wait_for_lease(&"one".into(), arrived, deadline).await }
    });
    tokio::task::yield_now().await;
    group.record_leadership(Some(leadership("two")), Some(uptime()));
    group.select_leader(&["two".into()]);
    assert!(!waiting.await.expect("the wait ends"));
    assert!(group.holds_lease(&"two".into(), uptime()));
}

/// A restored store returns a record that was replaced since, or none.
#[test]
fn a_replaced_record_does_not_return() {
    let group = Group::new("ledger".into());
    let successor = Leadership {
        fence: 2,
        ..leadership("two")
    };
    group.record_leadership(Some(successor.clone()), None);
    for restored in [Some(leadership("one")), None] {
        group.record_leadership(restored, Some(uptime()));
        group.select_leader(&["one".into(), "two".into()]);
        let known = group.leadership().map(|(leadership, _)| leadership);
        assert_eq!(known.as_ref(), Some(&successor));
        assert!(!group.holds_lease(&"one".into(), uptime()));
        assert!(!group.holds_lease(&"two".into(), uptime()));
    }
}

/// A primary was replaced and promoted again between two reads of a node. What it ran for the
/// node in between was rolled back, so the node must not acknowledge it.
#[test]
fn a_primary_that_returns_begins_a_new_reign() {
    let group = Group::new("ledger".into());
    let read = |succession| {
        let leadership = Leadership {
            succession,
            ..leadership("one")
        };
        group.record_leadership(Some(leadership), Some(uptime()));
        group.select_leader(&["one".into()]);
        let leader = group.leader().expect("it is recorded and reports it");
        (leader.since, group.leadership().map(|(_, at)| at))
    };
    let first = read(1);
    assert_eq!(read(1), first);
    let sent_at = uptime();
    let (since, first_seen) = read(3);
    assert!(since >= sent_at);
    assert!(first_seen > first.1);
}

/// A record of an older version lists no servers, so it is not known which ones could have been
/// promoted, and no answers confirm its primary.
#[test]
fn a_record_without_a_list_confirms_no_primary() {
    let listed = Leadership {
        roster: Roster::first(["one".into(), "two".into()]),
        ..leadership("one")
    };
    let confirmable = [leadership("one"), listed].map(|leadership| {
        let group = Group::new("ledger".into());
        group.record_leadership(Some(leadership), Some(uptime()));
        group.select_leader(&["one".into()]);
        group.confirmable(uptime())
    });
    insta::assert_debug_snapshot!(confirmable);
}

#[test]
fn a_leader_is_recorded_and_reported_as_primary() {
    let group = Group::new("ledger".into());
    group.record_leadership(Some(leadership("two")), Some(uptime()));
    group.select_leader(&["one".into()]);
    assert_eq!(group.leader(), None);
    group.select_leader(&["one".into(), "two".into()]);
    let leader = group
        .leader()
        .expect("the recorded server reports that it is the primary");
    insta::assert_debug_snapshot!((leader.server, leader.settled_at));
}

#[test]
fn a_read_requires_the_watermark_of_a_leased_primary() {
    let group = Group::new("ledger".into());
    group.select_leader(&["one".into()]);
    let sent_at = uptime();
    let watermark = Watermark {
        term: 1,
        position: 7,
    };
    group.record_progress(&"one".into(), sent_at, watermark);
    let without_lease = group.floor(sent_at, None);
    group.record_leadership(None, Some(sent_at));
    let leased = group.floor(sent_at, None);
    let own_write = group.floor(
        sent_at,
        Some(Watermark {
            term: 1,
            position: 9,
        }),
    );
    let too_recent = group.floor(sent_at + Duration::from_millis(1), None);
    insta::assert_debug_snapshot!((without_lease, leased, own_write, too_recent));
}

/// After a failed wait the next statement is refused at once: its deadline is an
/// hour away, so the test would hang if it waited.
#[tokio::test]
async fn no_statement_waits_after_a_failed_wait() {
    let group = Group::new("ledger".into());
    let server: ServerId = "one".into();
    let moment = uptime();
    let soon = Instant::now() + Duration::from_millis(10);
    assert!(
        !group
            .wait_for_lease_before_send(&server, moment, soon)
            .await
    );
    let late = Instant::now() + Duration::from_hours(1);
    assert!(
        !group
            .wait_for_lease_before_send(&server, moment, late)
            .await
    );
}
