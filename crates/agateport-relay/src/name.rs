//! Names of nodes, servers, groups and databases.

/// Maximum length of a name, in bytes: that of a key in the store.
const MAX_LENGTH: usize = 200;

/// Returns whether a text is a name. Names become words of lines, headers and keys, so a
/// text with blanks or control characters is none.
#[must_use]
pub fn is_valid(text: &str) -> bool {
    let is_separator = |character: char| character.is_whitespace() || character.is_control();
    !text.is_empty() && text.len() <= MAX_LENGTH && !text.contains(is_separator)
}
