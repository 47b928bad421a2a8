//! When a change of a server's pace or limit is announced.

use agateport_domain::pace::{Announced, Factor};
use test_case::test_case;

/// Guards against a line for each small change, and against a change without one.
#[test_case(1.0, 8, false; "nothing changed")]
#[test_case(1.6, 8, true; "the server became slow")]
#[test_case(1.0, 7, false; "the limit fell by less than a quarter of the slots")]
#[test_case(1.0, 6, true; "the limit fell by a quarter of the slots")]
fn steps_are_announced(ratio: f64, limit: u32, is_announced: bool) {
    let mut announced = Announced::normal(8);
    let changed = announced.update(Factor::from_ratio(ratio), 8, limit);
    assert_eq!(changed, is_announced);
}

/// Guards against a server that moves by small changes without any line, and against a
/// return to normal without one.
#[test]
fn small_changes_add_up() {
    let mut announced = Announced::normal(1);
    let mut update = |ratio| announced.update(Factor::from_ratio(ratio), 1, 1);
    assert!(update(2.0));
    assert!(!update(2.5));
    assert!(!update(2.9));
    assert!(update(3.0));
    assert!(update(1.0));
    assert!(!update(1.0));
}
