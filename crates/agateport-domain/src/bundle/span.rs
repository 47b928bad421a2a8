//! Locates values in the text of a bundle.

use std::ops::Range;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// One step from a table or array to one of its values.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step<'a> {
    /// The element with this index.
    Index(usize),
    /// The value at this key.
    Key(&'a str),
}

/// Returns the byte range of the value at the end of `steps`, or of the last
/// value on that path that exists. If not even the first one exists, the range is
/// empty, at the start of `table`.
#[must_use]
pub fn find(table: &Spanned<DeTable<'_>>, steps: &[Step<'_>]) -> Range<usize> {
    let Some((Step::Key(first), rest)) = steps.split_first() else {
        return table.span();
    };
    let Some(mut value) = table.get_ref().get(*first) else {
        return table.span().start..table.span().start;
    };
    for step in rest {
        match child(value.get_ref(), *step) {
            Some(next) => value = next,
            None => break,
        }
    }
    value.span()
}

fn child<'a, 'i>(value: &'a DeValue<'i>, step: Step<'_>) -> Option<&'a Spanned<DeValue<'i>>> {
    match step {
        Step::Index(index) => value.as_array()?.get(index),
        Step::Key(key) => value.as_table()?.get(key),
    }
}
