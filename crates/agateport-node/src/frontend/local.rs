//! Answers of the frontend itself, in the form of an upstream's answers.

use super::query::{Expected, Query};
use agateport_wire::postgres::Backend;
use bytes::BytesMut;
use pgwire::api::Type;
use pgwire::messages::data::{
    DataRow, FieldDescription, NoData, ParameterDescription, RowDescription,
};
use pgwire::messages::extendedquery::{BindComplete, CloseComplete, ParseComplete};
use pgwire::messages::response::CommandComplete;

/// The result of a statement that the frontend answers itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// A command tag without rows.
    Command(&'static str),
    /// One row with one text column.
    Value {
        /// Name of the column.
        name: String,
        /// Value of the column; `None` is null.
        value: Option<String>,
    },
}

/// Returns the messages that answer `query`, without the final `ReadyForQuery`.
#[must_use]
pub fn messages(query: &Query, answer: &Answer) -> Vec<Backend> {
    if query.is_simple {
        let mut messages = Vec::new();
        messages.extend(rows(answer));
        messages.extend(result(answer));
        return messages;
    }
    let answers = query.expected.iter().map(|expected| match expected {
        Expected::Parsed => vec![Backend::ParseComplete(ParseComplete::new())],
        Expected::Bound => vec![Backend::BindComplete(BindComplete::new())],
        Expected::Closed => vec![Backend::CloseComplete(CloseComplete::new())],
        Expected::Described { is_statement } => describe(answer, *is_statement),
        Expected::Executed => result(answer),
        Expected::Upstream => Vec::new(),
    });
    answers.flatten().collect()
}

fn describe(answer: &Answer, is_statement: bool) -> Vec<Backend> {
    let mut messages = Vec::new();
    if is_statement {
        let parameters = ParameterDescription::new(Vec::new());
        messages.push(Backend::ParameterDescription(parameters));
    }
    messages.push(rows(answer).unwrap_or_else(|| Backend::NoData(NoData::new())));
    messages
}

fn rows(answer: &Answer) -> Option<Backend> {
    let Answer::Value { name, .. } = answer else {
        return None;
    };
    let field = FieldDescription::new(name.clone(), 0, 0, Type::TEXT.oid(), -1, -1, 0);
    Some(Backend::RowDescription(RowDescription::new(vec![field])))
}

fn result(answer: &Answer) -> Vec<Backend> {
    match answer {
        Answer::Command(tag) => {
            vec![Backend::CommandComplete(CommandComplete::new(
                (*tag).to_owned(),
            ))]
        }
        Answer::Value { value, .. } => {
            let tag = CommandComplete::new("SHOW".to_owned());
            vec![row(value.as_deref()), Backend::CommandComplete(tag)]
        }
    }
}

fn row(value: Option<&str>) -> Backend {
    let length = value.map_or(-1, |text| i32::try_from(text.len()).unwrap_or(i32::MAX));
    let mut data = BytesMut::new();
    data.extend_from_slice(&length.to_be_bytes());
    data.extend_from_slice(value.unwrap_or_default().as_bytes());
    Backend::DataRow(DataRow::new(data, 1))
}
