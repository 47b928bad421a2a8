//! What a statement does, as far as it is certain.

use serde::{Deserialize, Serialize};
use sqlparser::ast::{Query, SetExpr, Statement as Ast, TableFactor, visit_relations};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use std::collections::BTreeSet;
use std::ops::ControlFlow;

/// What a statement does to the data.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Kind {
    /// Surely changes nothing and takes no lock.
    Read,
    /// Changes only the session's settings.
    Set,
    /// Opens, ends or divides a transaction.
    Transaction,
    /// Moves bulk data; not supported.
    Copy,
    /// Everything else: it may change data.
    Write,
}

/// What is known of a text of SQL, all of its statements together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Statement {
    /// The strongest of the statements' kinds.
    pub kind: Kind,
    /// Tables named anywhere, in lower case.
    pub tables: BTreeSet<String>,
}

/// Functions that read nothing but their arguments and the tables.
const PURE_FUNCTIONS: &[&str] = &[
    "abs", "avg", "coalesce", "count", "length", "lower", "max", "min", "round", "sum", "upper",
];

impl Statement {
    /// Classifies a text of SQL; what isn't surely a read is a write.
    #[must_use]
    pub fn parse(sql: &str) -> Self {
        let Ok(statements) = Parser::parse_sql(&PostgreSqlDialect {}, sql) else {
            return Self {
                kind: Kind::Write,
                tables: BTreeSet::new(),
            };
        };
        let mut tables = BTreeSet::new();
        let _: ControlFlow<()> = visit_relations(&statements, |relation| {
            tables.insert(relation.to_string().to_lowercase());
            ControlFlow::Continue(())
        });
        let kind = statements.iter().map(kind).max().unwrap_or(Kind::Read);
        Self { kind, tables }
    }
}

fn kind(statement: &Ast) -> Kind {
    match statement {
        Ast::Query(query) if is_read(query) => Kind::Read,
        Ast::ShowVariable { .. } => Kind::Read,
        Ast::Set(_) => Kind::Set,
        Ast::Commit { .. }
        | Ast::ReleaseSavepoint { .. }
        | Ast::Rollback { .. }
        | Ast::Savepoint { .. }
        | Ast::StartTransaction { .. } => Kind::Transaction,
        Ast::Copy { .. } => Kind::Copy,
        _ => Kind::Write,
    }
}

fn is_read(query: &Query) -> bool {
    if !query.locks.is_empty() || !is_read_body(&query.body) {
        return false;
    }
    let with = query.with.iter().flat_map(|with| &with.cte_tables);
    if !with.into_iter().all(|table| is_read(&table.query)) {
        return false;
    }
    let unknown = sqlparser::ast::visit_expressions(query, |expression| {
        let sqlparser::ast::Expr::Function(function) = expression else {
            return ControlFlow::Continue(());
        };
        let name = function.name.to_string().to_lowercase();
        if PURE_FUNCTIONS.contains(&name.as_str()) {
            ControlFlow::Continue(())
        } else {
            ControlFlow::Break(())
        }
    });
    unknown.is_continue()
}

fn is_read_body(body: &SetExpr) -> bool {
    match body {
        SetExpr::Query(query) => is_read(query),
        SetExpr::Select(select) => {
            let mut tables = select.from.iter().flat_map(|from| {
                let joined = from.joins.iter().map(|join| &join.relation);
                std::iter::once(&from.relation).chain(joined)
            });
            select.into.is_none() && tables.all(is_read_table)
        }
        SetExpr::SetOperation { left, right, .. } => is_read_body(left) && is_read_body(right),
        SetExpr::Values(_) => true,
        _ => false,
    }
}

fn is_read_table(table: &TableFactor) -> bool {
    match table {
        TableFactor::Derived { subquery, .. } => is_read(subquery),
        // A name with arguments is a function, which may do anything.
        TableFactor::Table { args, .. } => args.is_none(),
        _ => false,
    }
}
