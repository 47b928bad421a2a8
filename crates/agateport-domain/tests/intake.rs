//! The budget for what clients make a node hold, and the limit on connections.

use agateport_domain::intake::{Account, Admission, Budget, FREE_BYTES, Gate, Limits, Reason};
use proptest::prelude::*;
use std::sync::Arc;
use std::time::Duration;

const MEBIBYTE: usize = 1 << 20;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn names(accounts: &[Arc<Account<&'static str>>]) -> Vec<&'static str> {
    accounts.iter().map(|account| account.owner).collect()
}

/// Guards against a budget that closes whoever asks last instead of whoever holds the most.
#[test]
fn the_connection_that_holds_the_most_is_closed_first() {
    let budget = Budget::new(Some(4 * MEBIBYTE));
    let large = budget.open("large", at(0));
    let small = budget.open("small", at(0));
    assert!(budget.resize(&large, 3 * MEBIBYTE, at(1)).closed.is_empty());
    let resized = budget.resize(&small, 2 * MEBIBYTE, at(2));
    assert_eq!(names(&resized.closed), ["large"]);
    assert_eq!(resized.refusal, None);
    let refused = budget.resize(&large, 3 * MEBIBYTE, at(3));
    assert_eq!(refused.refusal, Some(Reason::Memory));
    assert_eq!(budget.held(), 2 * MEBIBYTE - FREE_BYTES);
}

/// Guards against a message that is closed instead of one that makes no progress.
#[test]
fn of_equal_connections_the_one_without_progress_is_closed() {
    let budget = Budget::new(Some(4 * MEBIBYTE));
    let accounts = ["first", "second", "third"].map(|name| budget.open(name, at(0)));
    for (account, time) in accounts.iter().zip([5, 3, 4]) {
        let resized = budget.resize(account, MEBIBYTE + FREE_BYTES, at(time));
        assert!(resized.closed.is_empty());
    }
    let last = budget.open("last", at(0));
    let resized = budget.resize(&last, MEBIBYTE + FREE_BYTES + 1, at(6));
    // The newcomer holds one byte more than each of the others.
    assert_eq!(names(&resized.closed), ["last"]);
    assert_eq!(resized.refusal, Some(Reason::Memory));
    let last = budget.open("next", at(0));
    let resized = budget.resize(&last, MEBIBYTE + FREE_BYTES, at(7));
    assert!(resized.closed.is_empty());
    let resized = budget.resize(&budget.open("over", at(8)), FREE_BYTES + 1, at(8));
    assert_eq!(names(&resized.closed), ["second"]);
}

/// Guards against refusing ordinary messages while others have used up the budget.
#[test]
fn ordinary_messages_need_no_budget() {
    let budget = Budget::new(Some(MEBIBYTE));
    let large = budget.open("large", at(0));
    assert_eq!(budget.resize(&large, MEBIBYTE, at(1)).refusal, None);
    for _ in 0..1_000 {
        let ordinary = budget.open("ordinary", at(2));
        let resized = budget.resize(&ordinary, FREE_BYTES, at(2));
        assert!(resized.closed.is_empty());
        assert_eq!(resized.refusal, None);
    }
}

/// Guards against limits that a deployment of the smallest VMs would meet.
#[test]
fn limits_of_the_smallest_node() {
    let limits = Limits::new(Some(160 * MEBIBYTE), Some(4_300));
    assert_eq!(limits.memory, Some(40 * MEBIBYTE));
    assert_eq!(limits.contexts, Some(32 * MEBIBYTE));
    assert_eq!(limits.answer(), Some(5 * MEBIBYTE));
    assert_eq!(limits.callers, Some(3_225));
    assert_eq!(limits.peers, Some(537));
    assert_eq!(Limits::new(Some(1), None).memory, Some(8 * MEBIBYTE));
    assert_eq!(Limits::new(None, Some(10)).callers, Some(1));
}

/// Guards against silent connections that keep others out, and against more of them than
/// can be closed.
#[test]
fn silent_connections_give_way() {
    let gate = Gate::new(Some(2));
    assert_eq!(gate.admit("first"), Admission::Accepted(0));
    assert_eq!(gate.admit("second"), Admission::Accepted(1));
    gate.speak(0);
    assert_eq!(gate.admit("third"), Admission::Replacing(2, "second"));
    gate.leave(1);
    gate.speak(2);
    assert_eq!(gate.admit("fourth"), Admission::Refused);
    assert!(gate.is_nearly_full());
    gate.leave(0);
    assert!(!gate.is_nearly_full());
    assert_eq!(gate.admit("fifth"), Admission::Accepted(3));
    assert!(!gate.is_nearly_full(), "a silent connection does not count");
}

proptest! {
    /// Guards against bytes that are counted twice, or not given back.
    #[test]
    fn the_budget_is_the_sum_of_open_accounts(
        steps in prop::collection::vec((0_usize..6, 0_usize..3 * MEBIBYTE), 1..200),
    ) {
        let limit = 4 * MEBIBYTE;
        let budget = Budget::new(Some(limit));
        let mut accounts: Vec<_> = (0..6).map(|_| budget.open((), at(0))).collect();
        for (time, (index, bytes)) in steps.into_iter().enumerate() {
            let now = Duration::from_millis(time as u64);
            if budget.resize(&accounts[index], bytes, now).refusal.is_some() {
                budget.remove(&accounts[index]);
                accounts[index] = budget.open((), now);
            }
            let sum: usize = accounts.iter().map(|account| account.charged()).sum();
            prop_assert_eq!(budget.held(), sum);
            prop_assert!(sum <= limit);
        }
        for account in &accounts {
            budget.remove(account);
        }
        prop_assert_eq!(budget.held(), 0);
    }
}
