//! Conservative classification of SQL statements.

use super::setting::Setting;
use super::tag;
use super::text;
use crate::id::PriorityId;
use serde::{Deserialize, Serialize};
use sqlparser::ast::{
    Expr, Query, SetExpr, Statement as Ast, TableFactor, visit_expressions, visit_relations,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use std::collections::BTreeSet;
use std::ops::ControlFlow;

/// Effect of a statement on the data.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Kind {
    /// Certainly changes no data and takes no lock.
    #[default]
    Read,
    /// Changes only the session's settings.
    Set,
    /// Begins or ends a transaction or a savepoint.
    Transaction,
    /// Transfers bulk data; not supported.
    Copy,
    /// Any other statement, which may change data.
    Write,
}

/// Effect of a statement on the transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Control {
    /// Begins a transaction.
    Begin,
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Sets, releases or rolls back to a savepoint.
    Savepoint,
}

/// Classification of an SQL text, over all of its statements.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Statement {
    /// The highest of the statements' kinds.
    pub kind: Kind,
    /// Names of all tables in the statements, in lower case.
    pub tables: BTreeSet<String>,
    /// Effects of the statements on the transaction, in their order.
    pub controls: Vec<Control>,
    /// Effects of the statements on the session's settings, in their order.
    pub settings: Vec<Setting>,
    /// Number of statements.
    pub count: usize,
    /// Whether the statements may leave state on the connection, such as a
    /// setting, a lock or a temporary table.
    pub leaves_state: bool,
    /// Priority named in a comment.
    pub priority: Option<PriorityId>,
    /// Idempotency key named in a comment.
    pub key: Option<String>,
}

/// Functions without side effects that read only their arguments and the rows
/// of the query.
const PURE_FUNCTIONS: &[&str] = &[
    "abs", "avg", "coalesce", "count", "length", "lower", "max", "min", "round", "sum", "upper",
];

impl Statement {
    /// Classifies an SQL text; a text that cannot be parsed, or a query that is
    /// not certainly a read, counts as a write.
    #[must_use]
    pub fn parse(sql: &str) -> Self {
        let parsed = Parser::parse_sql(&PostgreSqlDialect {}, sql).ok();
        let classified = parsed.and_then(|statements| Self::classify(sql, &statements));
        let unknown = || Self {
            kind: Kind::Write,
            count: 1,
            leaves_state: true,
            ..Self::default()
        };
        Self {
            priority: tag::value(sql, "priority").map(Into::into),
            key: tag::value(sql, "key"),
            ..classified.unwrap_or_else(unknown)
        }
    }

    /// Classifies the statements of a text; none if a setting's text cannot be found in it.
    fn classify(sql: &str, statements: &[Ast]) -> Option<Self> {
        let mut tables = BTreeSet::new();
        for statement in statements {
            let _: ControlFlow<()> = visit_relations(statement, |relation| {
                tables.insert(relation.to_string().to_lowercase());
                ControlFlow::Continue(())
            });
        }
        Some(Self {
            kind: statements.iter().map(kind).max().unwrap_or_default(),
            tables,
            controls: statements.iter().filter_map(control).collect(),
            settings: settings(sql, statements)?,
            count: statements.len(),
            leaves_state: statements.iter().any(leaves_state),
            ..Self::default()
        })
    }

    /// Adds the statements of `other`, which run after these.
    pub fn merge(&mut self, other: &Self) {
        self.kind = self.kind.max(other.kind);
        self.tables.extend(other.tables.iter().cloned());
        self.controls.extend(&other.controls);
        self.settings.extend(other.settings.iter().cloned());
        self.count += other.count;
        self.leaves_state |= other.leaves_state;
        if other.priority.is_some() {
            self.priority.clone_from(&other.priority);
        }
        if other.key.is_some() {
            self.key.clone_from(&other.key);
        }
    }

    /// Returns whether a statement discards all settings of the session.
    #[must_use]
    pub fn discards_session(&self) -> bool {
        self.settings.contains(&Setting::ResetAll)
    }

    /// Returns whether a statement may end the transaction that it runs in.
    #[must_use]
    pub fn may_end_transaction(&self) -> bool {
        let mut controls = self.controls.iter();
        controls.any(|control| matches!(control, Control::Commit | Control::Rollback))
    }
}

/// Returns the effects of statements on the settings; none if the text of a statement that
/// sets one cannot be found.
fn settings(sql: &str, statements: &[Ast]) -> Option<Vec<Setting>> {
    let has_set = statements
        .iter()
        .any(|statement| matches!(statement, Ast::Set(_)));
    let texts = if has_set {
        text::statements(sql).filter(|texts| texts.len() == statements.len())?
    } else {
        vec![""; statements.len()]
    };
    let settings = statements.iter().zip(texts);
    let settings = settings.filter_map(|(statement, text)| Setting::of(statement, text));
    Some(settings.collect())
}

fn kind(statement: &Ast) -> Kind {
    match statement {
        Ast::Query(query) if is_read(query) => Kind::Read,
        Ast::ShowVariable { .. } => Kind::Read,
        Ast::Discard { .. } | Ast::Reset(_) | Ast::Set(_) => Kind::Set,
        Ast::Commit { .. }
        | Ast::ReleaseSavepoint { .. }
        | Ast::Rollback { .. }
        | Ast::Savepoint { .. }
        | Ast::StartTransaction { .. } => Kind::Transaction,
        Ast::Copy { .. } => Kind::Copy,
        _ => Kind::Write,
    }
}

fn control(statement: &Ast) -> Option<Control> {
    match statement {
        Ast::StartTransaction { .. } => Some(Control::Begin),
        Ast::Commit { .. } => Some(Control::Commit),
        Ast::Rollback {
            savepoint: None, ..
        } => Some(Control::Rollback),
        Ast::ReleaseSavepoint { .. } | Ast::Rollback { .. } | Ast::Savepoint { .. } => {
            Some(Control::Savepoint)
        }
        _ => None,
    }
}

fn leaves_state(statement: &Ast) -> bool {
    let is_stateless = matches!(
        statement,
        Ast::Commit { .. }
            | Ast::Delete(_)
            | Ast::Insert(_)
            | Ast::Query(_)
            | Ast::ReleaseSavepoint { .. }
            | Ast::Rollback { .. }
            | Ast::Savepoint { .. }
            | Ast::ShowVariable { .. }
            | Ast::StartTransaction { .. }
            | Ast::Update { .. }
    );
    // A function may change a setting or take a lock of the connection.
    !is_stateless || visit_expressions(statement, break_if_impure).is_break()
}

fn break_if_impure(expression: &Expr) -> ControlFlow<()> {
    let Expr::Function(function) = expression else {
        return ControlFlow::Continue(());
    };
    let name = function.name.to_string().to_lowercase();
    if PURE_FUNCTIONS.contains(&name.as_str()) {
        ControlFlow::Continue(())
    } else {
        ControlFlow::Break(())
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
    visit_expressions(query, break_if_impure).is_continue()
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
        // A name with arguments is a function, which may have side effects.
        TableFactor::Table { args, .. } => args.is_none(),
        _ => false,
    }
}
