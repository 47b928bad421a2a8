//! Tests of workspaces: who is identified by which key, and what odd entries lead to.

use agateport_domain::prelude::*;
use agateport_domain::workspace::{Currency, Directory, Entry, KeyDigest, Refusal, identify};
use proptest::prelude::*;
use std::fmt::Write;
use test_case::test_case;

const VALIDITY: Duration = Duration::from_millis(1_500);
const KEY_VALIDITY: Duration = Duration::from_secs(20);

fn entry(name: &str, keys: &[&str]) -> Entry {
    Entry {
        name: name.to_owned(),
        keys: keys.iter().map(|key| key.as_bytes().to_vec()).collect(),
        rate: None,
        burst: None,
    }
}

fn is_name(text: &str) -> bool {
    !text.is_empty() && !text.contains(' ')
}

fn currency(age: Option<u64>) -> Currency {
    Currency {
        age: age.map(Duration::from_millis),
        validity: VALIDITY,
        key_validity: KEY_VALIDITY,
    }
}

// Guards against a key that gets in although it cannot be confirmed, and against a refusal
// that says more than the node knows.
#[test_case("known", false, Some(0) => Ok(Some("north".into())); "known key")]
#[test_case("known", false, Some(19_000) => Ok(Some("north".into())); "known key, old configuration")]
#[test_case("known", false, Some(20_000) => Err(Refusal::Unconfirmed); "known key, configuration too old")]
#[test_case("known", false, None => Err(Refusal::Unconfirmed); "known key, never confirmed")]
#[test_case("known", true, Some(20_000) => Ok(None); "public route, configuration too old")]
#[test_case("other", false, Some(0) => Err(Refusal::UnknownKey); "unknown key")]
#[test_case("other", false, Some(1_500) => Err(Refusal::Outdated); "unknown key, old configuration")]
#[test_case("other", true, Some(0) => Ok(None); "public route, unknown key")]
#[test_case("", false, Some(0) => Err(Refusal::UnknownKey); "no key")]
fn callers_are_identified(
    key: &str,
    is_public: bool,
    age: Option<u64>,
) -> Result<Option<WorkspaceId>, Refusal> {
    let (directory, _) = Directory::new([entry("north", &["known"])], is_name);
    let key = KeyDigest::of(key.as_bytes());
    identify(Some(&directory), is_public, &key, currency(age))
}

// Guards against a deployment without workspaces that asks for keys.
#[test]
fn without_workspaces_no_key_is_needed() {
    let key = KeyDigest::of(b"anything");
    let identified = identify(None, false, &key, currency(None));
    assert_eq!(identified, Ok(None));
}

// Guards against an odd entry that hides others, lets somebody in, or lifts a limit.
#[test]
fn odd_entries_are_left_out() {
    let limited = |name: &str, rate, burst| Entry {
        rate: Some(rate),
        burst,
        ..entry(name, &[])
    };
    let entries = [
        entry("", &["k1"]),
        entry("two words", &["k2"]),
        entry("a", &["k3", "k4", "k4"]),
        entry("a", &["k5"]),
        entry("b", &["k3", "", "with blank", "\u{1}"]),
        entry("long", &[&"k".repeat(65_536)]),
        limited("zero", 0.0, None),
        limited("negative", -1.0, None),
        limited("nan", f64::NAN, None),
        limited("infinite", f64::INFINITY, Some(1e300)),
        limited("burstless", 5.0, None),
        limited("odd-burst", 5.0, Some(-2.0)),
    ];
    let (directory, faults) = Directory::new(entries, is_name);
    let mut transcript = String::new();
    for (workspace, fault) in &faults {
        writeln!(transcript, "{workspace:?}: {fault}").expect("writing to a string succeeds");
    }
    for (workspace, limits) in directory.workspaces() {
        writeln!(transcript, "{workspace}: {limits:?}").expect("writing to a string succeeds");
    }
    for key in ["k1", "k2", "k3", "k4", "k5", ""] {
        let workspace = directory.workspace(&KeyDigest::of(key.as_bytes()));
        writeln!(transcript, "{key:?}: {workspace:?}").expect("writing to a string succeeds");
    }
    insta::assert_snapshot!(transcript);
}

// Guards against a key in a log line.
#[test]
fn no_key_is_shown() {
    let entry = entry("north", &["secret-key"]);
    let (directory, _) = Directory::new([entry.clone()], is_name);
    let text = format!("{entry:?} {directory:?} {:?}", KeyDigest::of(b"secret-key"));
    assert!(!text.contains("secret"), "{text}");
}

proptest! {
    // Guards against a key that two workspaces list and one of them still gets.
    #[test]
    fn a_key_identifies_one_workspace(
        lists in proptest::collection::vec(proptest::collection::vec(0..12_u8, 0..6), 0..6),
    ) {
        let entries = lists.iter().enumerate().map(|(number, keys)| {
            let keys: Vec<_> = keys.iter().map(u8::to_string).collect();
            let keys: Vec<_> = keys.iter().map(String::as_str).collect();
            entry(&number.to_string(), &keys)
        });
        let (directory, _) = Directory::new(entries, is_name);
        for key in 0..12_u8 {
            let holders: Vec<_> = lists
                .iter()
                .enumerate()
                .flat_map(|(number, keys)| {
                    keys.iter().filter(|other| **other == key).map(move |_| number)
                })
                .collect();
            let expected = match holders[..] {
                [holder] => Some(holder.to_string()),
                _ => None,
            };
            let digest = KeyDigest::of(key.to_string().as_bytes());
            let found = directory.workspace(&digest).map(ToString::to_string);
            prop_assert_eq!(found, expected);
        }
    }
}
