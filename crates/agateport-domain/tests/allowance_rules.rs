//! The times at which shares and leases of an allowance begin and end.

use agateport_domain::allowance::{Account, Lent, Listing, Members, Tolerance, Views};
use agateport_domain::prelude::*;
use agateport_domain::workspace::Limits;
use test_case::test_case;

const START: Duration = Duration::from_secs(1_000);

fn at(milliseconds: u64) -> Uptime {
    START + Duration::from_millis(milliseconds)
}

/// Returns a list of nodes, each in a zone of its own.
fn members(names: &[&str]) -> Members {
    let pairs = names
        .iter()
        .map(|name| (NodeId::from(*name), Zone::from(*name)));
    let pairs: Vec<_> = pairs.collect();
    pairs.iter().map(|(node, zone)| (node, zone)).collect()
}

/// Applies lists of the store in turn, and confirms the last one until `end`.
fn views(lists: &[(u64, &[&str], &[&str])], end: u64) -> Views {
    let mut views = Views::new("a".into());
    for (revision, (time, nodes, gone)) in (1..).zip(lists) {
        views.apply(
            || Listing {
                members: members(nodes),
                gone: members(gone),
                is_established: true,
                ..Listing::default()
            },
            revision,
            at(*time),
            at(*time),
        );
    }
    let revision = u64::try_from(lists.len()).expect("a small number");
    let last = lists.last().map_or(0, |(time, ..)| *time);
    for time in (last..end).step_by(1_000) {
        views.apply(Listing::default, revision, at(time), at(time));
    }
    views
}

fn account(views: &Views, limits: Limits, now: Uptime) -> Account {
    Account::new(
        "acme".into(),
        "a".into(),
        limits,
        Tolerance::default(),
        views,
        now,
    )
}

/// Returns the operations that node `a` lends at once, with all buckets full.
fn lent(views: &Views, time: u64) -> u32 {
    let limits = Limits::new(1_000.0, 120.0).expect("the limits are positive");
    let mut account = account(views, limits, START);
    account.update(views, limits, at(time.saturating_sub(500)));
    account.update(views, limits, at(time));
    account.lend(1_000, views, at(time)).count
}

/// Guards against a share that is raised while other nodes may still use the former list, and
/// against one that is kept without a confirmation. A bucket holds half of the burst and the
/// slack, divided by the zones: 40 with two zones, 80 with one.
#[test_case(&[(0, &["a", "b"], &[])], 7_900, 40; "two zones")]
#[test_case(&[(0, &["a", "b"], &[]), (20_000, &["a"], &[])], 27_900, 40; "raised less than 8 s ago")]
#[test_case(&[(0, &["a", "b"], &[]), (20_000, &["a"], &[])], 29_000, 80; "raised over 8 s ago")]
#[test_case(&[(0, &["a"], &[]), (1_000, &["a", "b"], &[])], 1_100, 40; "lowered")]
#[test_case(&[(0, &["a"], &["b"])], 7_900, 40; "started while a node is marked as gone")]
#[test_case(&[(0, &["a"], &["b"])], 8_500, 80; "started over 8 s ago")]
#[test_case(&[(0, &["a"], &[]), (20_000, &["a"], &["b"])], 27_900, 40; "a list may have been missed")]
#[test_case(&[(0, &["b"], &[]), (1_000, &["a", "b"], &[])], 8_900, 0; "added less than 8 s ago")]
fn a_share_takes_effect(lists: &[(u64, &[&str], &[&str])], time: u64, expected: u32) {
    assert_eq!(lent(&views(lists, time), time), expected);
}

/// Guards against the use of shares after the last confirmation.
#[test_case(7_900, 40; "within 8 s")]
#[test_case(8_000, 0; "after 8 s")]
fn a_list_is_not_confirmed(time: u64, expected: u32) {
    assert_eq!(lent(&views(&[(0, &["a", "b"], &[])], 0), time), expected);
}

/// Guards against leases that are used in later windows.
#[test_case(1_299, true; "before it expires")]
#[test_case(1_300, false; "when it expires")]
fn a_lease_expires(time: u64, expected: bool) {
    let views = views(&[(0, &["b", "c"], &[])], 2_000);
    let limits = Limits::new(100.0, 1.0).expect("the limits are positive");
    let mut account = account(&views, limits, at(1_000));
    let request = account.request(1, at(1_000)).expect("there are allocators");
    let lent = Lent {
        count: 1,
        retry_after: Duration::ZERO,
    };
    account.receive(&request, Some(lent), at(1_000), at(1_010));
    assert_eq!(account.take(&views, at(time)), expected);
}

/// Guards against nodes that lend all of the rate while others, which know the former limits,
/// still have fixed shares of it.
#[test_case(7_900, 5; "former limits may be in use")]
#[test_case(8_500, 10; "former limits are out of use")]
fn a_burst_becomes_too_small_to_divide(time: u64, expected: u32) {
    let views = views(&[(0, &["a", "b"], &[])], 30_000);
    let [former, limits] = [8.0, 3.0].map(|burst| Limits::new(20.0, burst).expect("valid"));
    let mut account = account(&views, former, at(10_000));
    account.update(&views, limits, at(15_000));
    let time = at(15_000 + time);
    // One second passes with an empty bucket.
    account.update(&views, limits, time);
    account.lend(1_000, &views, time);
    account.update(&views, limits, time + Duration::from_secs(1));
    let lent = account.lend(1_000, &views, time + Duration::from_secs(1));
    assert_eq!(lent.count, expected);
}
