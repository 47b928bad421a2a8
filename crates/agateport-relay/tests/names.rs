//! Tests of the names under which statements are prepared on a connection.

use agateport_relay::field::Text;
use agateport_relay::link::names::Names;
use agateport_relay::message::{Access, Prepared};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Write;

/// What happens on a connection.
#[derive(Clone, Debug)]
enum Event {
    Prepare(Prepared, bool),
    Clear,
}

fn prepared(access: Access, shape: &str) -> Prepared {
    let shape = Text::try_from(shape).expect("no line end");
    Prepared { access, shape }
}

fn any_prepared() -> impl Strategy<Value = Prepared> {
    let access = prop_oneof![Just(Access::Read), Just(Access::Write)];
    let shape = prop_oneof!["q[ab]( READ x)?", "s[123]", "[^\r\n]*"];
    (access, shape).prop_map(|(access, shape)| prepared(access, &shape))
}

fn any_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        9 => (any_prepared(), any::<bool>()).prop_map(|(prepared, is_done)| Event::Prepare(prepared, is_done)),
        1 => Just(Event::Clear),
    ]
}

#[test]
fn a_statement_is_not_named_after_its_shape() {
    let mut names = Names::default();
    let mut transcript = String::new();
    let shapes = [
        "qd",
        "qd READ gajpdbscqw",
        "qd WRITE x",
        " qd",
        "r_qd",
        "s1",
        "",
    ];
    for access in [Access::Read, Access::Write] {
        for shape in shapes {
            names.record(prepared(access, shape), true);
            let name = names.get(&prepared(access, shape));
            writeln!(transcript, "{access:?} {shape:?}: {name:?}").expect("a string is writable");
        }
    }
    insta::assert_snapshot!(transcript);
}

proptest! {
    /// Whatever was prepared, rejected or cleared before, a name stands for one statement,
    /// and it is a single field.
    #[test]
    fn a_name_never_stands_for_two_statements(events in prop::collection::vec(any_event(), 0..40)) {
        let mut names = Names::default();
        let mut named = BTreeMap::new();
        for event in events {
            match event {
                Event::Prepare(prepared, is_done) => {
                    if names.get(&prepared).is_some() {
                        continue;
                    }
                    let name = names.next();
                    names.record(prepared.clone(), is_done);
                    prop_assert_eq!(names.get(&prepared), is_done.then(|| name.clone()));
                    prop_assert!(name.iter().all(u8::is_ascii_alphanumeric) && !name.is_empty());
                    prop_assert_eq!(named.insert(name, prepared), None);
                }
                Event::Clear => {
                    names.clear();
                    for prepared in named.values() {
                        prop_assert_eq!(names.get(prepared), None);
                    }
                }
            }
        }
    }
}
