//! Execution of SQL by SQLite, with the types of parameters and results.

use super::log::Statement;
use super::value::{self, Value};
use pgwire::api::Type;
use rusqlite::{Connection, OpenFlags, ToSql};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::keywords::Keyword;
use sqlparser::tokenizer::{Token, Tokenizer};
use std::path::Path;
use std::time::Duration;

/// Maximum time that a statement waits for a lock of SQLite.
const BUSY_TIMEOUT: Duration = Duration::from_secs(5);

/// The result rows of a statement.
#[derive(Debug, Default)]
pub struct Rows {
    /// Names and types of the columns.
    pub columns: Vec<(String, Type)>,
    /// Values of each row.
    pub values: Vec<Vec<Value>>,
    /// Number of changed rows.
    pub changed: usize,
}

/// Opens a connection to the database file at `path`.
///
/// # Errors
///
/// An error of SQLite if the database cannot be opened.
pub fn open(path: &Path) -> rusqlite::Result<Connection> {
    let connection = Connection::open_with_flags(path, OpenFlags::default())?;
    connection.busy_timeout(BUSY_TIMEOUT)?;
    connection.pragma_update(None, "journal_mode", "WAL")?;
    connection.pragma_update(None, "synchronous", "OFF")?;
    Ok(connection)
}

/// Executes one statement.
///
/// # Errors
///
/// An error of SQLite.
pub fn run(connection: &Connection, statement: &Statement) -> rusqlite::Result<Rows> {
    let sql = strip_locking_clause(&statement.sql);
    let mut prepared = connection.prepare_cached(&sql)?;
    for (index, parameter) in statement.parameters.iter().enumerate() {
        if let Some(parameter_index) = prepared.parameter_index(&format!("${}", index + 1))? {
            prepared.raw_bind_parameter(parameter_index, parameter as &dyn ToSql)?;
        }
    }
    let mut columns = columns(&prepared);
    let width = columns.len();
    let mut values: Vec<Vec<Value>> = Vec::new();
    let mut rows = prepared.raw_query();
    while let Some(row) = rows.next()? {
        let cells = (0..width).map(|column| Ok(Value::from(row.get_ref(column)?)));
        values.push(cells.collect::<rusqlite::Result<_>>()?);
    }
    drop(rows);
    if let Some(first) = values.first() {
        for ((_, kind), value) in columns.iter_mut().zip(first) {
            if *kind == Type::UNKNOWN {
                *kind = value.kind();
            }
        }
    }
    let changed = usize::try_from(connection.changes()).unwrap_or_default();
    Ok(Rows {
        columns: with_default_type(columns),
        values,
        changed,
    })
}

/// Returns the columns of a statement. Executes the statement only if it is
/// read-only and SQLite reports no declared type for a column.
///
/// # Errors
///
/// An error of SQLite if the statement is invalid.
pub fn describe(connection: &Connection, sql: &str) -> rusqlite::Result<Vec<(String, Type)>> {
    let prepared = connection.prepare(&strip_locking_clause(sql))?;
    let described = columns(&prepared);
    if !prepared.readonly() || described.iter().all(|(_, kind)| *kind != Type::UNKNOWN) {
        return Ok(with_default_type(described));
    }
    let statement = Statement {
        sql: sql.to_owned(),
        parameters: Vec::new(),
    };
    Ok(run(connection, &statement)?.columns)
}

fn columns(prepared: &rusqlite::Statement<'_>) -> Vec<(String, Type)> {
    let columns = prepared.columns();
    let described = columns.map(|column| {
        let kind = column.decl_type().and_then(value::declared_type);
        (column.name().to_owned(), kind.unwrap_or(Type::UNKNOWN))
    });
    described.collect()
}

fn with_default_type(columns: Vec<(String, Type)>) -> Vec<(String, Type)> {
    let typed = columns.into_iter().map(|(name, kind)| match kind {
        Type::UNKNOWN => (name, Type::TEXT),
        kind => (name, kind),
    });
    typed.collect()
}

/// Returns the type OIDs of a statement's parameters. Infers those that `given` does
/// not specify.
pub fn parameters(connection: &Connection, sql: &str, given: &[u32]) -> Vec<u32> {
    let tokens: Vec<Token> = Tokenizer::new(&PostgreSqlDialect {}, sql)
        .tokenize()
        .unwrap_or_default()
        .into_iter()
        .filter(|token| !matches!(token, Token::Whitespace(_)))
        .collect();
    let mut kinds: Vec<u32> = given.to_vec();
    let inserted = inserted_columns(&tokens);
    let mut value = 0;
    for (index, token) in tokens.iter().enumerate() {
        let Token::Placeholder(name) = token else {
            continue;
        };
        let number: usize = name.trim_start_matches('$').parse().unwrap_or(1);
        kinds.resize(kinds.len().max(number), 0);
        let column = compared_column(&tokens[..index]).or_else(|| inserted.get(value).cloned());
        value += 1;
        if kinds[number - 1] == 0 {
            let kind = match column.as_deref() {
                Some("limit" | "offset") => Type::INT8,
                Some(column) => column_type(connection, column),
                None => Type::TEXT,
            };
            kinds[number - 1] = kind.oid();
        }
    }
    kinds
}

/// Returns the column that the placeholder after the tokens `before` is compared
/// with, or the keyword in front of the placeholder if it is LIMIT or OFFSET.
fn compared_column(before: &[Token]) -> Option<String> {
    match before {
        [.., Token::Word(word)] if matches!(word.keyword, Keyword::LIMIT | Keyword::OFFSET) => {
            Some(word.value.to_lowercase())
        }
        [.., Token::Word(word), operator] if !matches!(operator, Token::LParen | Token::Comma) => {
            Some(word.value.clone())
        }
        _ => None,
    }
}

/// Returns the column names of `INSERT INTO table (columns)`.
fn inserted_columns(tokens: &[Token]) -> Vec<String> {
    let is_insert =
        matches!(tokens.first(), Some(Token::Word(word)) if word.keyword == Keyword::INSERT);
    if !is_insert {
        return Vec::new();
    }
    let after = tokens.iter().skip_while(|token| **token != Token::LParen);
    let list = after.skip(1).take_while(|token| **token != Token::RParen);
    let words = list.filter_map(|token| match token {
        Token::Word(word) => Some(word.value.clone()),
        _ => None,
    });
    words.collect()
}

fn column_type(connection: &Connection, column: &str) -> Type {
    let sql = "SELECT c.type FROM sqlite_schema t, pragma_table_info(t.name) c \
               WHERE t.type = 'table' AND lower(c.name) = lower(?1) LIMIT 1";
    let declared: rusqlite::Result<String> = connection.query_row(sql, [column], |row| row.get(0));
    let kind = declared
        .ok()
        .and_then(|declared| value::declared_type(&declared));
    kind.unwrap_or(Type::TEXT)
}

/// Removes the locking clause, which SQLite does not support. It is not needed, since
/// a writer locks the whole database.
fn strip_locking_clause(sql: &str) -> String {
    let trimmed = sql.trim_end().trim_end_matches(';');
    let upper = trimmed.to_uppercase();
    let clauses = [" FOR UPDATE", " FOR SHARE"];
    let end = clauses.iter().find_map(|clause| {
        upper
            .ends_with(clause)
            .then(|| trimmed.len() - clause.len())
    });
    trimmed[..end.unwrap_or(trimmed.len())].to_owned()
}

/// Returns whether a statement makes no changes.
///
/// # Errors
///
/// An error of SQLite if the statement is invalid.
pub fn is_read_only(connection: &Connection, sql: &str) -> rusqlite::Result<bool> {
    Ok(connection
        .prepare_cached(&strip_locking_clause(sql))?
        .readonly())
}
