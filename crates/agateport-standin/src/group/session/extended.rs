//! Extended query protocol, with prepared statements and portals.

use super::execute::{Executor, Failure, describe};
use crate::group::command::Command;
use crate::group::database;
use crate::group::value::Value;
use agateport_wire::postgres::{self, Backend, Frontend};
use pgwire::api::Type;
use pgwire::messages::data::{NoData, ParameterDescription};
use pgwire::messages::extendedquery::{
    Bind, BindComplete, Close, CloseComplete, Describe, Execute, Parse, ParseComplete,
    TARGET_TYPE_BYTE_STATEMENT,
};
use pgwire::messages::response::EmptyQueryResponse;
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
struct Prepared {
    sql: String,
    kinds: Vec<u32>,
}

#[derive(Clone, Debug)]
struct Portal {
    sql: String,
    parameters: Vec<Value>,
    formats: Vec<i16>,
}

/// Handles the extended query messages of one session.
#[derive(Debug, Default)]
pub struct Handler {
    statements: BTreeMap<String, Prepared>,
    portals: BTreeMap<String, Portal>,
    has_failed: bool,
}

/// The responses to a message, or the error after which messages are skipped up to
/// the next Sync.
type Answers = Result<Vec<Backend>, Backend>;

impl Handler {
    /// Stops skipping messages after an error.
    pub fn recover(&mut self) {
        self.has_failed = false;
    }

    /// Handles one message.
    pub async fn handle(&mut self, message: Frontend, executor: &mut Executor) -> Vec<Backend> {
        if self.has_failed {
            return Vec::new();
        }
        let answers = match message {
            Frontend::Parse(parse) => self.parse(parse, executor),
            Frontend::Bind(bind) => self.bind(&bind),
            Frontend::Describe(target) => self.describe(&target, executor),
            Frontend::Execute(execute) => self.execute(&execute, executor).await,
            Frontend::Close(close) => Ok(self.close(&close)),
            _ => Err(error_response("0A000", "the message is not supported")),
        };
        answers.unwrap_or_else(|error| {
            self.has_failed = true;
            vec![error]
        })
    }

    fn parse(&mut self, parse: Parse, executor: &Executor) -> Answers {
        let name = parse.name.unwrap_or_default();
        if !name.is_empty() && self.statements.contains_key(&name) {
            return Err(error_response(
                "42P05",
                "the prepared statement exists already",
            ));
        }
        let is_sql = Command::parse(&parse.query) == Command::Sql;
        if is_sql && !parse.query.trim().is_empty() {
            database::is_read_only(executor.connection(), &parse.query)
                .map_err(|error| Failure::from(error).into_response())?;
        }
        let kinds = database::parameters(executor.connection(), &parse.query, &parse.type_oids);
        let prepared = Prepared {
            sql: parse.query,
            kinds,
        };
        self.statements.insert(name, prepared);
        Ok(vec![Backend::ParseComplete(ParseComplete::new())])
    }

    fn bind(&mut self, bind: &Bind) -> Answers {
        let name = bind.statement_name.clone().unwrap_or_default();
        let prepared = self.statements.get(&name).ok_or_else(not_found)?;
        let formats = &bind.parameter_format_codes;
        let values = bind.parameters.iter().enumerate().map(|(index, bytes)| {
            let format = match formats.as_slice() {
                [] => 0,
                [all] => *all,
                each => each.get(index).copied().unwrap_or(0),
            };
            let oid = prepared.kinds.get(index).copied();
            Value::decode(bytes.as_deref(), oid.unwrap_or(Type::TEXT.oid()), format)
        });
        let parameters: Option<Vec<Value>> = values.collect();
        let parameters =
            parameters.ok_or_else(|| error_response("22P02", "a parameter can't be read"))?;
        let portal = Portal {
            sql: prepared.sql.clone(),
            parameters,
            formats: bind.result_column_format_codes.clone(),
        };
        self.portals
            .insert(bind.portal_name.clone().unwrap_or_default(), portal);
        Ok(vec![Backend::BindComplete(BindComplete::new())])
    }

    fn describe(&self, target: &Describe, executor: &Executor) -> Answers {
        let name = target.name.clone().unwrap_or_default();
        if target.target_type == TARGET_TYPE_BYTE_STATEMENT {
            let prepared = self.statements.get(&name).ok_or_else(not_found)?;
            let kinds = ParameterDescription::new(prepared.kinds.clone());
            let rows = describe_result(&prepared.sql, &[], executor)?;
            return Ok(vec![Backend::ParameterDescription(kinds), rows]);
        }
        let portal = self.portals.get(&name).ok_or_else(not_found)?;
        Ok(vec![describe_result(
            &portal.sql,
            &portal.formats,
            executor,
        )?])
    }

    async fn execute(&self, execute: &Execute, executor: &mut Executor) -> Answers {
        let name = execute.name.clone().unwrap_or_default();
        let portal = self.portals.get(&name).ok_or_else(not_found)?;
        if portal.sql.trim().is_empty() {
            return Ok(vec![Backend::EmptyQueryResponse(EmptyQueryResponse::new())]);
        }
        let parameters = portal.parameters.clone();
        let result = executor.run(&portal.sql, parameters).await;
        let outcome = result.map_err(Failure::into_response)?;
        Ok(outcome.messages(Some(&portal.formats)))
    }

    fn close(&mut self, close: &Close) -> Vec<Backend> {
        let name = close.name.clone().unwrap_or_default();
        if close.target_type == TARGET_TYPE_BYTE_STATEMENT {
            self.statements.remove(&name);
        } else {
            self.portals.remove(&name);
        }
        vec![Backend::CloseComplete(CloseComplete::new())]
    }
}

fn describe_result(sql: &str, formats: &[i16], executor: &Executor) -> Result<Backend, Backend> {
    let no_data = Backend::NoData(NoData::new());
    let columns = match Command::parse(sql) {
        Command::Sql if sql.trim().is_empty() => return Ok(no_data),
        Command::Sql => database::describe(executor.connection(), sql)
            .map_err(|error| Failure::from(error).into_response())?,
        Command::Show(name) => vec![(name, Type::TEXT)],
        _ => return Ok(no_data),
    };
    if columns.is_empty() {
        return Ok(no_data);
    }
    Ok(describe(&columns, formats))
}

fn error_response(code: &str, text: &str) -> Backend {
    postgres::error("ERROR", code, text.to_owned())
}

fn not_found() -> Backend {
    error_response("26000", "the prepared statement or portal does not exist")
}
