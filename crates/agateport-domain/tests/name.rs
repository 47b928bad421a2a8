//! Names of prepared statements at an upstream.

use agateport_domain::request::name::prepared;
use proptest::prelude::*;
use test_case::test_case;

/// Maximum length of a name in PostgreSQL, in bytes; a longer one is cut.
const MAX_LENGTH: usize = 63;

/// A digest this long has no collisions that can be made on purpose, in bits.
const MIN_DIGEST_BITS: usize = 160;

const INT8: u32 = 20;
const TEXT: u32 = 25;

/// Two texts with one hash: the standard library's hasher, which has no secret key, returns
/// 44c8f4f44f09c614 for both.
const SELECT: &str = "SELECT data FROM item WHERE id = $1 -- 73aac187fd5ad716";
const DELETE: &str = "DELETE FROM item WHERE id = $1 -- 93e702c625d28173";

#[test]
fn names() {
    let statements: [(&str, &[u32]); 5] = [
        ("", &[]),
        ("SELECT holder FROM stock WHERE id = $1", &[]),
        ("SELECT holder FROM stock WHERE id = $1", &[INT8]),
        ("SELECT holder FROM stock WHERE id = $1", &[TEXT]),
        ("SELECT 'Zürich \r\n '';'", &[]),
    ];
    let names = statements.map(|(text, types)| prepared(text, types));
    insta::assert_snapshot!(names.join("\n"));
}

#[test_case((SELECT, &[]), (DELETE, &[]); "equal under a hash of 64 bits")]
#[test_case(("a", &[]), ("b", &[]); "other text")]
#[test_case(("a", &[INT8]), ("a", &[TEXT]); "other type")]
#[test_case(("a", &[INT8]), ("a", &[]); "no type")]
#[test_case(("a", &[INT8, TEXT]), ("a", &[TEXT, INT8]); "other order")]
#[test_case(("a", &[0]), ("a\0\0\0\0", &[]); "type moved into the text")]
#[test_case(("a\0\0\0\x14", &[]), ("a", &[INT8]); "text moved into the types")]
#[test_case(("", &[0x6161_6161]), ("aaaa", &[]); "text made of a type")]
fn different_statements_have_different_names(one: (&str, &[u32]), other: (&str, &[u32])) {
    assert_ne!(prepared(one.0, one.1), prepared(other.0, other.1));
}

proptest! {
    #[test]
    fn a_name_is_a_short_identifier(text in any::<String>(), types: Vec<u32>) {
        let name = prepared(&text, &types);
        let digest = name.strip_prefix("agateport_").expect("a prefix of its own");
        prop_assert!(name.len() <= MAX_LENGTH, "{name}");
        prop_assert!(digest.len() * 4 >= MIN_DIGEST_BITS, "{name}");
        prop_assert!(digest.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f')), "{name}");
    }
}
