//! Tags in SQL comments, in the format of sqlcommenter.

use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::tokenizer::{Token, Tokenizer, Whitespace};

/// Returns the value of the tag `name` in a comment such as
/// `/* priority='archive' */`, which may hold further tags.
#[must_use]
pub fn value(sql: &str, name: &str) -> Option<String> {
    if !sql.contains("/*") {
        return None;
    }
    let tokens = Tokenizer::new(&PostgreSqlDialect {}, sql).tokenize().ok()?;
    tokens.iter().find_map(|token| match token {
        Token::Whitespace(Whitespace::MultiLineComment(text)) => in_comment(text, name),
        _ => None,
    })
}

fn in_comment(comment: &str, name: &str) -> Option<String> {
    comment.split(',').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        if key.trim() != name {
            return None;
        }
        let value = value.trim().strip_prefix('\'')?.strip_suffix('\'')?;
        Some(value.to_owned())
    })
}
