//! Rules of what is set and prepared on a connection that sessions share.

use agateport_domain::prelude::*;
use agateport_relay::context::{MAX_ENTRIES, MAX_SESSION_BYTES};
use agateport_relay::field::{Text, Word};
use agateport_relay::link::Setup;
use agateport_relay::link::content::{Content, MAX_IDLE_BYTES};
use agateport_relay::message::{Access, Command, Prepared, State, Values};
use bytes::Bytes;
use proptest::prelude::*;
use std::fmt::Write;

fn text(text: &str) -> Text {
    text.try_into().expect("no line end")
}

fn word(text: &str) -> Word {
    text.try_into().expect("a single field")
}

fn values(values: &[(&str, &str)]) -> Values {
    let values = values.iter();
    values
        .map(|(name, value)| (word(name), text(value)))
        .collect()
}

fn read(shape: String) -> Prepared {
    let shape = Text::try_from(Bytes::from(shape)).expect("no line end");
    Prepared {
        access: Access::Read,
        shape,
    }
}

fn setup(values: &Values, prepared: Prepared) -> Setup<'_> {
    Setup {
        values: Some(values),
        prepared: Some(prepared),
    }
}

/// Runs an alignment at a server that accepts everything, and returns its commands.
fn align(content: &mut Content, setup: &Setup<'_>, state: State) -> Vec<Command> {
    let commands = content.alignment(setup);
    for command in &commands {
        content.record(command, true, state);
    }
    assert_eq!(content.alignment(setup), [], "the connection is aligned");
    commands
}

/// Returns the commands' names, without the texts of those that prepare.
fn describe(commands: &[Command]) -> String {
    let names = commands.iter().map(|command| match command {
        Command::Prepare { name, prepared } => {
            format!("PREPARE {name} with {} bytes", prepared.shape.len())
        }
        Command::Set { name, value } => format!("SET {name} {value}"),
        other => format!("{other:?}"),
    });
    names.collect::<Vec<_>>().join(", ")
}

/// Prepares statements one after another, and returns the first commands that differ from
/// preparing a statement.
fn fill(content: &mut Content, values: &Values, length: usize, state: State) -> String {
    for number in 0.. {
        let shape = format!("{number:04}{}", "x".repeat(length - 4));
        let commands = align(content, &setup(values, read(shape)), state);
        if !matches!(commands[..], [Command::Prepare { .. }]) {
            return format!("statement {number}: {}", describe(&commands));
        }
        assert!(number <= 2 * MAX_ENTRIES, "no limit");
    }
    String::new()
}

#[test]
fn a_full_connection_is_reset() {
    let values = values(&[("colour", "red")]);
    let mut transcript = String::new();
    for state in [State::Idle, State::Open] {
        for length in [4, 10_000, 60_000, 1_048_000] {
            let mut content = Content::default();
            let set = Setup {
                values: Some(&values),
                prepared: None,
            };
            align(&mut content, &set, state);
            let reset = fill(&mut content, &values, length, state);
            let (count, bytes) = content.names().size();
            writeln!(
                transcript,
                "{state:?}, {length} bytes each: {reset}; {count} statements of {bytes} bytes remain"
            )
            .expect("a string is writable");
        }
    }
    insta::assert_snapshot!(transcript);
}

#[test]
fn an_unused_connection_with_large_values_is_reset() {
    let mut transcript = String::new();
    for length in [10, MAX_IDLE_BYTES + 1] {
        let large = "x".repeat(length);
        let values = values(&[("colour", &large)]);
        let set = Setup {
            values: Some(&values),
            prepared: None,
        };
        let mut content = Content::default();
        align(&mut content, &set, State::Idle);
        content.shed();
        let commands = align(&mut content, &setup(&values, read("q".into())), State::Idle);
        let commands = describe(&commands).replace(&large, "...");
        writeln!(transcript, "{length} bytes: {commands}").expect("a string is writable");
    }
    insta::assert_snapshot!(transcript);
}

/// Value that the server rejects; it may then have any value.
const REJECTED: &str = "2";

/// What a session needs of a connection: the numbers of its values and its statement.
type Need = (BTreeMap<u8, u8>, Option<(u8, usize)>);

fn need() -> impl Strategy<Value = Need> {
    let values = prop::collection::btree_map(0..3_u8, 0..3_u8, 0..3);
    let length = prop_oneof![1..20_usize, 0..=2 * MAX_IDLE_BYTES];
    let prepared = prop::option::of((0..4_u8, length));
    (values, prepared)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// After each alignment in which no value was rejected, a server has exactly the values
    /// of the session and its statement, and no more statements than the limits allow.
    #[test]
    fn a_connection_has_what_the_session_needs(needs in prop::collection::vec((need(), any::<bool>(), any::<bool>()), 0..30)) {
        let mut content = Content::default();
        let (mut set, mut prepared) = (Values::new(), BTreeMap::new());
        for ((numbers, statement), is_open, is_released) in needs {
            let state = if is_open { State::Open } else { State::Idle };
            let numbers = numbers.iter();
            let values: Values = numbers
                .map(|(name, value)| (word(&format!("v{name}")), text(&value.to_string())))
                .collect();
            let statement = statement.map(|(number, length)| read(number.to_string().repeat(length)));
            let setup = Setup { values: Some(&values), prepared: statement.clone() };
            let rejected = text(REJECTED);
            for command in content.alignment(&setup) {
                let is_rejected = matches!(&command, Command::Set { value, .. } if *value == rejected);
                content.record(&command, !is_rejected, state);
                match command {
                    Command::Reset => {
                        set.clear();
                        prepared.clear();
                    }
                    Command::Set { name, .. } if is_rejected => {
                        set.insert(name, text("unknown"));
                    }
                    Command::Set { name, value } => {
                        set.insert(name, value);
                    }
                    Command::Prepare { name, prepared: statement } => {
                        prop_assert_eq!(prepared.insert(name, statement), None);
                    }
                    other => prop_assert!(false, "{:?}", other),
                }
            }
            // A rejected value is set again until it is accepted or gone.
            let missing = values.iter().filter(|(_, value)| **value == rejected);
            let missing = missing.map(|(name, value)| Command::Set { name: name.clone(), value: value.clone() });
            let missing: Vec<_> = missing.collect();
            prop_assert_eq!(content.alignment(&setup), missing.as_slice());
            if missing.is_empty() {
                prop_assert_eq!(&set, &values);
            }
            if let Some(statement) = statement {
                let name = content.names().get(&statement).expect("the statement is prepared");
                prop_assert_eq!(prepared.get(&name), Some(&statement));
            }
            let (count, bytes) = content.names().size();
            prop_assert_eq!(count, prepared.len());
            prop_assert!(count <= MAX_ENTRIES);
            prop_assert!(count <= 1 || bytes <= MAX_SESSION_BYTES);
            if is_released {
                content.shed();
                let (_, bytes) = content.names().size();
                prop_assert!(bytes <= MAX_IDLE_BYTES);
            }
        }
    }
}
