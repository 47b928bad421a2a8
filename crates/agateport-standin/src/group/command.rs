//! Classification of SQL statements.

use agateport_domain::id::Term;
use agateport_domain::session::Watermark;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::tokenizer::{Token, Tokenizer};
use std::net::SocketAddr;

/// A statement as the server handles it.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Opens a transaction.
    Begin,
    /// Commits a transaction.
    Commit,
    /// Rolls a transaction back.
    Rollback,
    /// Sets a session setting, given its name and value.
    Set(String, String),
    /// Returns a session setting.
    Show(String),
    /// Resets the session state.
    Discard,
    /// Returns the status of the server.
    Status,
    /// Fences the server at a new term.
    Fence(Term),
    /// Promotes the server to primary of a term.
    Promote(Term),
    /// Makes the server a replica of the primary of a term.
    Follow(Term, SocketAddr),
    /// Returns log entries after a watermark.
    Log(Watermark),
    /// Any other statement, which the database executes.
    Sql,
}

impl Command {
    /// Parses one statement.
    pub fn parse(sql: &str) -> Self {
        let words = words(sql);
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        match words.as_slice() {
            ["begin", ..] | ["start", "transaction", ..] => Self::Begin,
            ["commit" | "end", ..] => Self::Commit,
            ["rollback" | "abort"] | ["rollback", "transaction" | "work"] => Self::Rollback,
            ["set", name, "=" | "to", value] => Self::Set((*name).to_owned(), (*value).to_owned()),
            ["show", name] => Self::Show((*name).to_owned()),
            ["deallocate" | "discard" | "reset", ..] => Self::Discard,
            ["select", function, "(", arguments @ .., ")"] => {
                Self::parse_call(function, arguments).unwrap_or(Self::Sql)
            }
            _ => Self::Sql,
        }
    }

    fn parse_call(function: &str, arguments: &[&str]) -> Option<Self> {
        match (function, arguments) {
            ("agateport_status", []) => Some(Self::Status),
            ("agateport_fence", [term]) => Some(Self::Fence(term.parse().ok()?)),
            ("agateport_promote", [term]) => Some(Self::Promote(term.parse().ok()?)),
            ("agateport_follow", [term, ",", primary]) => {
                Some(Self::Follow(term.parse().ok()?, primary.parse().ok()?))
            }
            ("agateport_log", [watermark]) => Some(Self::Log(watermark.parse().ok()?)),
            _ => None,
        }
    }

    /// Returns whether the command controls the server and needs no slot.
    pub fn is_control(&self) -> bool {
        matches!(
            self,
            Self::Fence(_) | Self::Follow(..) | Self::Log(_) | Self::Promote(_) | Self::Status
        )
    }
}

/// Splits the text of a query into statements.
pub fn split(sql: &str) -> Vec<String> {
    // The texts of the tokens are joined again, so literals must keep their quotes.
    let mut tokenizer = Tokenizer::new(&PostgreSqlDialect {}, sql).with_unescape(false);
    let Ok(tokens) = tokenizer.tokenize() else {
        return vec![sql.to_owned()];
    };
    let statements = tokens.split(|token| *token == Token::SemiColon);
    let texts = statements.map(|tokens| {
        let text: String = tokens.iter().map(ToString::to_string).collect();
        text.trim().to_owned()
    });
    texts.filter(|text| !text.is_empty()).collect()
}

/// Returns the tokens of a statement, with words in lower case and qualified names
/// joined.
fn words(sql: &str) -> Vec<String> {
    let tokens = Tokenizer::new(&PostgreSqlDialect {}, sql)
        .tokenize()
        .unwrap_or_default();
    let mut words: Vec<String> = Vec::new();
    let mut is_joined = false;
    for token in tokens {
        let word = match token {
            Token::Whitespace(_) | Token::SemiColon => continue,
            Token::Word(word) => word.value.to_lowercase(),
            Token::SingleQuotedString(text) => text,
            other => other.to_string(),
        };
        // Joins the parts of a qualified name at the dot.
        match words.last_mut() {
            Some(last) if is_joined || word == "." => last.push_str(&word),
            _ => words.push(word.clone()),
        }
        is_joined = word == ".";
    }
    words
}
