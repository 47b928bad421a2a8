//! Limits of what sessions set and prepare.

use agateport_domain::prelude::*;
use agateport_relay::context::{
    Context, ENTRY_BYTES, Error, FREE_BYTES, MAX_ENTRIES, MAX_NODE_BYTES, MAX_SESSION_BYTES, Usage,
};
use agateport_relay::field::{Text, Word};
use agateport_relay::message::{Access, Prepared, Request, Values, Verb};
use bytes::Bytes;
use proptest::prelude::*;
use std::fmt::Write;

/// Longest shape of a statement whose line has the maximum length of a message.
const LONGEST_SHAPE: usize = (1 << 20) - "QUERY a PREPARE s READ ".len();

fn text(length: usize) -> Text {
    let bytes = Bytes::from(vec![b'x'; length]);
    bytes.try_into().expect("no line end")
}

fn name(number: usize) -> Word {
    let text = format!("s{number}");
    text.as_str().try_into().expect("a single field")
}

fn prepared(access: Access, length: usize) -> Prepared {
    let shape = text(length);
    Prepared { access, shape }
}

fn execute(name: &Word) -> Request {
    Request {
        id: Word::absent(),
        text: Text::default(),
        verb: Verb::Execute {
            name: name.clone(),
            arguments: Text::default(),
        },
    }
}

/// Returns the number of prepared statements that are kept, and why the next one is not.
fn fill(context: &mut Context, length: usize) -> (usize, Error) {
    let mut kept = 0;
    loop {
        match context.prepare(&name(kept), &prepared(Access::Read, length)) {
            Ok(()) => kept += 1,
            Err(error) => return (kept, error),
        }
    }
}

#[test]
fn limits_of_a_session() {
    let mut transcript = String::new();
    for length in [0, 1_000, 10_000, 1_000_000, LONGEST_SHAPE] {
        let (kept, error) = fill(&mut Context::default(), length);
        writeln!(
            transcript,
            "{length} bytes each: {kept} kept, then: {error}"
        )
        .expect("writing to a string succeeds");
    }
    insta::assert_snapshot!(transcript);
}

#[test]
fn the_longest_statement_is_kept_and_replaced() {
    let mut context = Context::default();
    for access in [Access::Read, Access::Write] {
        let longest = prepared(access, LONGEST_SHAPE);
        let kept = context.prepare(&name(0), &longest);
        assert_eq!(kept, Ok(()));
        assert_eq!(context.prepared(&execute(&name(0))), Some(&longest));
    }
}

#[test]
fn a_rejected_entry_changes_nothing() {
    let mut context = Context::default();
    let (kept, _) = fill(&mut context, 10);
    let bytes = context.bytes();
    assert_eq!(context.set(&name(0), &text(1)), Err(Error::TooMany));
    let too_large = context.prepare(&name(0), &prepared(Access::Write, MAX_SESSION_BYTES));
    assert_eq!(too_large, Err(Error::TooLarge));
    assert_eq!(context.bytes(), bytes);
    assert_eq!(context.values(), &Values::new());
    for number in 0..kept {
        let executed = context.prepared(&execute(&name(number))).cloned();
        assert_eq!(executed, Some(prepared(Access::Read, 10)));
    }
    let replaced = context.prepare(&name(0), &prepared(Access::Write, 11));
    assert_eq!(replaced, Ok(()), "a replacement adds no entry");
    assert!(context.deallocate(&name(0)));
    assert!(!context.deallocate(&name(0)));
    assert_eq!(context.set(&name(0), &text(1)), Ok(()));
}

#[test]
fn sessions_share_the_limit_of_a_node() {
    let usage = Arc::new(Usage::default());
    let mut contexts = Vec::new();
    let error = loop {
        let mut context = Context::new(usage.clone());
        let kept = context.set(&name(0), &text(1_000_000));
        contexts.push(context);
        if let Err(error) = kept {
            break error;
        }
    };
    assert_eq!(error, Error::NodeFull);
    assert!(usage.bytes() <= MAX_NODE_BYTES);
    let small = contexts[0].set(&name(1), &text(10));
    assert_eq!(small, Ok(()), "smaller values still fit");
    drop(contexts.pop());
    drop(contexts.pop());
    let mut context = Context::new(usage.clone());
    assert_eq!(context.set(&name(0), &text(1_000_000)), Ok(()));
    drop((contexts, context));
    assert_eq!(usage.bytes(), 0);
}

#[test]
fn an_entry_does_not_hold_the_buffer_that_it_was_received_in() {
    let buffer = Bytes::from(vec![b'x'; 1_000]);
    let mut context = Context::default();
    let name = Word::try_from(buffer.slice(..1)).expect("a single field");
    let value = Text::try_from(buffer.slice(1..2)).expect("no line end");
    assert_eq!(context.set(&name, &value), Ok(()));
    let shaped = Prepared {
        access: Access::Read,
        shape: value.clone(),
    };
    assert_eq!(context.prepare(&name, &shaped), Ok(()));
    drop((name, value, shaped));
    assert!(buffer.is_unique());
}

/// What a session does with a name: sets, prepares or deallocates it.
#[derive(Clone, Debug)]
enum Step {
    Set(usize, usize),
    Prepare(usize, usize),
    Deallocate(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let length = prop_oneof![4 => 0..100_usize, 1 => 0..=LONGEST_SHAPE];
    prop_oneof![
        (0..9_usize, length.clone()).prop_map(|(name, length)| Step::Set(name, length)),
        (0..9_usize, length).prop_map(|(name, length)| Step::Prepare(name, length)),
        (0..9_usize).prop_map(Step::Deallocate),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// The size is that of the entries, as a plain map has them.
    #[test]
    fn the_size_is_that_of_the_entries(steps in prop::collection::vec((0..40_usize, step()), 0..200)) {
        let usage = Arc::new(Usage::default());
        let mut contexts: Vec<_> = (0..40).map(|_| Context::new(usage.clone())).collect();
        let mut model = BTreeMap::new();
        for (session, step) in steps {
            let context = &mut contexts[session];
            let (is_value, number, length) = match step {
                Step::Set(number, length) => (true, number, Some(length)),
                Step::Prepare(number, length) => (false, number, Some(length)),
                Step::Deallocate(number) => (false, number, None),
            };
            let key = (session, is_value, number);
            let Some(length) = length else {
                prop_assert_eq!(context.deallocate(&name(number)), model.remove(&key).is_some());
                continue;
            };
            let kept = if is_value {
                context.set(&name(number), &text(length))
            } else {
                context.prepare(&name(number), &prepared(Access::Read, length))
            };
            if kept.is_ok() {
                model.insert(key, name(number).len() + length + ENTRY_BYTES);
            }
            let own = model.iter().filter(|((of, ..), _)| *of == session);
            prop_assert_eq!(contexts[session].bytes(), own.map(|(_, size)| size).sum::<usize>());
            let shared = contexts.iter().map(|context| context.bytes().saturating_sub(FREE_BYTES));
            prop_assert_eq!(usage.bytes(), shared.sum::<usize>());
            prop_assert!(contexts[session].bytes() <= MAX_SESSION_BYTES);
            prop_assert!(usage.bytes() <= MAX_NODE_BYTES);
        }
        drop(contexts);
        prop_assert_eq!(usage.bytes(), 0);
    }

    /// However many names a session uses, the number of its entries is bounded.
    #[test]
    fn the_number_of_entries_is_bounded(names in prop::collection::vec(0..3_000_usize, 0..3_000)) {
        let mut context = Context::default();
        let mut model = BTreeSet::new();
        for number in names {
            let is_full = model.len() == MAX_ENTRIES && !model.contains(&number);
            let kept = context.prepare(&name(number), &prepared(Access::Read, 1));
            prop_assert_eq!(kept, if is_full { Err(Error::TooMany) } else { Ok(()) });
            if !is_full {
                model.insert(number);
            }
        }
    }
}
