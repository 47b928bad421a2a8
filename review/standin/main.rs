//! The scripts of the review: `standin CASE RECORD FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod lost;
mod net;
mod order;
mod restart;
mod util;
mod world;

use std::process::ExitCode;

/// Result of a case: whether the rule held, or why the case could not run.
pub type Verdict = Result<bool, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record, folder] = &arguments[..] else {
        eprintln!("usage: standin CASE RECORD FOLDER");
        return ExitCode::from(2);
    };
    util::open_record(record);
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    util::note(&format!("case {case}, TROUBLE={}", u8::from(has_trouble)));
    let verdict = match case.as_str() {
        "lost" => lost::run(folder, has_trouble),
        "restart" => restart::run(folder, has_trouble),
        "order" => order::run(folder, has_trouble),
        _ => Err("no such case".to_owned()),
    };
    let (text, code) = match verdict {
        Ok(true) => ("the rule held".to_owned(), 0),
        Ok(false) => ("the rule was broken".to_owned(), 1),
        Err(reason) => (format!("the case could not run: {reason}"), 2),
    };
    util::note(&text);
    println!("{text}");
    ExitCode::from(code)
}

/// The zones of a deployment.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
