//! Texts of the single statements of a query.

use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::tokenizer::{Token, Tokenizer};

/// Returns the texts of the statements in a query as the caller wrote them, without empty
/// ones; none if the query cannot be split.
#[must_use]
pub fn statements(sql: &str) -> Option<Vec<&str>> {
    let mut tokenizer = Tokenizer::new(&PostgreSqlDialect {}, sql);
    let tokens = tokenizer.tokenize_with_location().ok()?;
    let mut places = places(sql);
    let mut texts = Vec::new();
    let mut start = 0;
    let mut is_empty = true;
    for token in tokens {
        match token.token {
            Token::Whitespace(_) => {}
            Token::SemiColon => {
                let place = (token.span.start.line, token.span.start.column);
                let (end, _) = places.find(|(_, other)| *other == place)?;
                let rest = sql[end..].strip_prefix(';')?;
                if !is_empty {
                    texts.push(sql[start..end].trim());
                }
                start = sql.len() - rest.len();
                is_empty = true;
            }
            _ => is_empty = false,
        }
    }
    if !is_empty {
        texts.push(sql[start..].trim());
    }
    Some(texts)
}

/// Returns the index of each character with its line and column, as the tokenizer counts.
fn places(sql: &str) -> impl Iterator<Item = (usize, (u64, u64))> {
    let mut next = (1, 1);
    sql.char_indices().map(move |(index, character)| {
        let place = next;
        next = match character {
            '\n' => (place.0 + 1, 1),
            _ => (place.0, place.1 + 1),
        };
        (index, place)
    })
}
