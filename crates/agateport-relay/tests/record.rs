//! Decoding of the project's rows, and the succession order.

use agateport_domain::prelude::*;
use agateport_relay::record::{self, Records};
use agateport_relay::source::{Change, Row, Rows};
use test_case::test_case;

/// Rows during a handover that one of two nodes has accepted.
fn rows() -> Rows {
    let row = |key: &str, value: &str, version| {
        let value = value.as_bytes().to_vec();
        (key.to_owned(), Row { value, version })
    };
    let member = r#"{"zone":"a","address":"10.1.0.8:7441"}"#;
    let gone = r#"{"zone":"a","address":"10.1.0.9:7441","is_gone":true}"#;
    Rows::from([
        row("changes", "", 9),
        row("duty", r#"{"holder":"node-a"}"#, 3),
        row("node/node-a", member, 1),
        row("node/node-b", member, 2),
        row("node/node-gone", gone, 7),
        row(
            "reign/ledger",
            r#"{"primary":"two","fence":3,"is_settled":false}"#,
            8,
        ),
        row("acceptance/node-a", r#"{"versions":{"ledger":8}}"#, 9),
        row("reign/malformed", "not JSON", 4),
    ])
}

#[test]
fn rows_are_decoded() {
    insta::assert_debug_snapshot!(Records::parse(&rows(), 0));
}

#[test]
fn nodes_marked_as_gone_are_no_members() {
    let records = Records::parse(&rows(), 0);
    assert_eq!(records.succession_rank(&"node-b".into()), 1);
    assert_eq!(records.succession_rank(&"node-gone".into()), 2);
    assert_eq!(
        records.node_before(&"node-gone".into()),
        Some(&"node-b".into())
    );
    assert_eq!(
        records.node_before(&"node-a".into()),
        Some(&"node-b".into())
    );
    let coordinator = records
        .live_coordinator()
        .expect("the coordinator is running");
    assert_eq!(coordinator.address, ([10, 1, 0, 8], 7441).into());

    let mut remaining = rows();
    remaining.remove("node/node-a");
    assert_eq!(Records::parse(&remaining, 0).live_coordinator(), None);
}

/// If the zone of the first node fails, the second in order is in another zone.
#[test]
fn succession_alternates_between_zones() {
    let mut rows = Rows::new();
    for (node, zone) in [
        ("a-1", "a"),
        ("a-2", "a"),
        ("a-3", "a"),
        ("b-1", "b"),
        ("c-1", "c"),
    ] {
        let value = format!(r#"{{"zone":"{zone}","address":"10.1.0.8:7441"}}"#).into_bytes();
        rows.insert(format!("node/{node}"), Row { value, version: 1 });
    }
    let records = Records::parse(&rows, 0);
    insta::assert_snapshot!(
        records
            .succession_order()
            .iter()
            .map(|node| &***node)
            .collect::<Vec<_>>()
            .join(" ")
    );
}

#[test]
fn a_record_is_accepted_once_all_nodes_accept_it() {
    let mut rows = rows();
    let group: GroupId = "ledger".into();
    assert!(!Records::parse(&rows, 0).is_accepted(&group));
    let value = |version: u64| format!(r#"{{"versions":{{"ledger":{version}}}}}"#).into_bytes();
    let steps = [
        ("node-b", 7, false),
        ("node-b", 8, false),
        ("node-gone", 8, true),
    ];
    for (node, version, is_accepted) in steps {
        let row = Row {
            value: value(version),
            version: 10,
        };
        rows.insert(format!("acceptance/{node}"), row);
        assert_eq!(Records::parse(&rows, 0).is_accepted(&group), is_accepted);
    }
}

#[test]
fn every_change_writes_the_change_marker() {
    let change = record::with_change_marker(Change::default());
    assert!(change.set.contains_key(record::CHANGES));
}

/// A coordinator of a restored store must not use a token that was used before.
#[test]
fn fencing_tokens_rise_when_the_store_is_restored() {
    let mut rows = rows();
    let before = Records::parse(&rows, 0).fence();
    let row = rows.get_mut("duty").expect("the coordinator's row");
    row.version -= 1;
    let restored = Records::parse(&rows, 1).fence();
    assert!(before < restored);
    row_written(&mut rows);
    assert!(restored < Records::parse(&rows, 1).fence());
}

fn row_written(rows: &mut Rows) {
    let row = rows.get_mut("duty").expect("the coordinator's row");
    row.version += 1;
}

/// An acceptance may refer to a version that the restored store gave out again.
#[test]
fn acceptances_count_in_their_era_only() {
    let mut rows = rows();
    rows.retain(|key, _| !key.starts_with("node/") || key == "node/node-a");
    let group = "ledger".into();
    assert!(Records::parse(&rows, 0).is_accepted(&group));
    assert!(!Records::parse(&rows, 1).is_accepted(&group));
}

/// Guards against shares that are used by two nodes: a node continues those of its former
/// process only if every other node has counted it all the time.
#[test_case("a", 0, &[("x", Some(4), Some(4)), ("y", Some(5), Some(5))], true; "still listed")]
#[test_case("a", 0, &[("x", None, Some(4)), ("y", Some(5), Some(5))], true; "left")]
#[test_case("a", 0, &[("x", None, Some(4)), ("y", Some(5), None)], false; "left, and a former version counts")]
#[test_case("a", 0, &[("x", None, Some(4)), ("y", Some(5), Some(6))], false; "left, and a former version took over")]
#[test_case("a", 0, &[("x", Some(4), None), ("y", Some(5), Some(5))], false; "written by a former version")]
#[test_case("a", 0, &[("x", Some(4), Some(3))], false; "of another process")]
#[test_case("a", 1, &[("x", Some(4), Some(4))], false; "the store was restored")]
#[test_case("b", 0, &[("x", Some(4), Some(4))], false; "in another zone")]
fn a_node_is_established(
    zone: &str,
    era: u64,
    nodes: &[(&str, Option<u64>, Option<u64>)],
    expected: bool,
) {
    let mut rows = Rows::new();
    for (name, member, standing) in nodes {
        let mut insert = |key: String, value: String| {
            let value = value.into_bytes();
            rows.insert(key, Row { value, version: 1 });
        };
        if let Some(process) = member {
            let member = r#"{"zone":"a","address":"10.1.0.8:7441","process":"#;
            insert(record::node_key(name), format!("{member}{process}}}"));
        }
        if let Some(process) = standing {
            let standing = r#"{"zone":"a","established_in":0,"process":"#;
            insert(record::standing_key(name), format!("{standing}{process}}}"));
        }
    }
    let records = Records::parse(&rows, era);
    assert_eq!(records.is_established(&"x".into(), &zone.into()), expected);
}
