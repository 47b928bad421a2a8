//! Tests of the currency of a node's copies.

use agateport_domain::prelude::*;
use agateport_relay::clock::uptime;
use agateport_relay::currency::{Currency, Origin};

/// A late answer about an earlier time must not make a copy look older or newer.
#[test]
fn the_latest_confirmation_counts() {
    let currency = Currency::default();
    assert_eq!(currency.age(), None);
    let node = Origin::Node(([127, 0, 0, 1], 7).into());
    let now = uptime();
    currency.confirm(now, node);
    currency.confirm(now.saturating_sub(Duration::from_secs(3)), Origin::Store);
    assert_eq!(currency.origin(), Some(node));
    assert!(currency.age() < Some(Duration::from_secs(3)));
}
