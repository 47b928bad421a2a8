//! Session options in the startup message of a caller.

use agateport_domain::prelude::*;
use agateport_domain::session::Error;
use agateport_wire::postgres::WATERMARK;

/// Startup parameter that contains settings in the form `-c name=value`.
const OPTIONS: &str = "options";

/// Returns the watermark that a caller specifies, as a startup parameter or in its
/// options.
///
/// # Errors
///
/// [`Error`] if the value is not a watermark.
pub fn watermark(parameters: &BTreeMap<String, String>) -> Result<Option<Watermark>, Error> {
    let own = parameters.get(WATERMARK).map(String::as_str);
    let options = parameters.get(OPTIONS).map(String::as_str);
    let text = own.or_else(|| options.and_then(|options| setting(options, WATERMARK)));
    text.map(str::parse).transpose()
}

/// Returns the value of `-c name=value`, `-cname=value` or `--name=value`.
fn setting<'a>(options: &'a str, name: &str) -> Option<&'a str> {
    let mut words = options.split_whitespace();
    let mut found = None;
    while let Some(word) = words.next() {
        let pair = match word.strip_prefix("-c") {
            Some("") => words.next(),
            Some(pair) => Some(pair),
            None => word.strip_prefix("--"),
        };
        let value = pair.and_then(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        // The last occurrence takes precedence, as in PostgreSQL.
        found = value.or(found);
    }
    found
}
