//! Statements that set, reset or show a setting of the session.

use sqlparser::ast::{ContextModifier, Expr, Reset, Set, Statement as Ast};

/// Prefix of the settings that agateport itself handles.
const OWN_PREFIX: &str = "agateport.";

/// An operation of a statement on the settings of the session.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Setting {
    /// Sets a setting for the rest of the session.
    Set {
        /// Name of the setting, in lower case.
        name: String,
        /// Value without its quotes.
        value: String,
        /// The whole statement as the caller wrote it, to be replayed on another
        /// connection. The parser's own text of a literal may end at another quote.
        sql: String,
    },
    /// Resets a setting to its default.
    Reset {
        /// Name of the setting, in lower case.
        name: String,
    },
    /// Resets all settings to their defaults.
    ResetAll,
    /// Returns the value of a setting.
    Show {
        /// Name of the setting, in lower case.
        name: String,
    },
}

impl Setting {
    /// Returns the operation of a statement on the settings; none if it has none,
    /// or sets a setting with `SET LOCAL`, which ends with its transaction. `text` is the
    /// text of the statement.
    #[must_use]
    pub fn of(statement: &Ast, text: &str) -> Option<Self> {
        match statement {
            Ast::Set(set) => Self::of_set(set, text),
            Ast::Reset(reset) => Some(match &reset.reset {
                Reset::ALL => Self::ResetAll,
                Reset::ConfigurationParameter(name) => Self::Reset {
                    name: name.to_string().to_lowercase(),
                },
                // `SET SESSION AUTHORIZATION` is stored under its second word.
                Reset::SessionAuthorization => Self::Reset {
                    name: "session".to_owned(),
                },
            }),
            Ast::Discard { .. } => Some(Self::ResetAll),
            Ast::ShowVariable { variable } => {
                let parts: Vec<_> = variable.iter().map(|part| part.value.as_str()).collect();
                Some(Self::Show {
                    name: parts.join(".").to_lowercase(),
                })
            }
            _ => None,
        }
    }

    fn of_set(set: &Set, text: &str) -> Option<Self> {
        let sql = text.to_owned();
        match set {
            Set::SingleAssignment {
                scope: Some(ContextModifier::Local),
                ..
            } => None,
            Set::SingleAssignment {
                variable, values, ..
            } => Some(Self::Set {
                name: variable.to_string().to_lowercase(),
                value: value(values),
                sql,
            }),
            _ => {
                // Comments of the caller are no words of the statement.
                let plain = set.to_string();
                let name = plain.split_whitespace().nth(1).unwrap_or_default();
                Some(Self::Set {
                    name: name.to_lowercase(),
                    value: String::new(),
                    sql,
                })
            }
        }
    }

    /// Returns whether agateport itself handles the setting.
    #[must_use]
    pub fn is_own(&self) -> bool {
        match self {
            Self::Reset { name } | Self::Set { name, .. } | Self::Show { name } => {
                name.starts_with(OWN_PREFIX)
            }
            Self::ResetAll => false,
        }
    }
}

/// Returns the value that a statement sets, without quotes if it is a single literal.
fn value(values: &[Expr]) -> String {
    let literal = match values {
        [Expr::Value(literal)] => literal.clone().into_string(),
        _ => None,
    };
    literal.unwrap_or_else(|| {
        let texts: Vec<_> = values.iter().map(ToString::to_string).collect();
        texts.join(", ")
    })
}
