//! Scenarios of a session's watermarks.

mod script;

use agateport_domain::prelude::*;
use agateport_domain::session::Session;

#[test]
fn scenarios() {
    insta::glob!("scenarios/watermark/*.txt", |path| {
        let text = std::fs::read_to_string(path).unwrap();
        let mut session = Session::new(Instant::now());
        let transcript = script::run(&text, |words| step(&mut session, words));
        insta::assert_snapshot!(transcript);
    });
}

fn step(session: &mut Session, words: &[&str]) -> Vec<String> {
    match words {
        ["observe", group, watermark] => match watermark.parse() {
            Ok(seen) => {
                session.observe(&GroupId::from(*group), seen);
                Vec::new()
            }
            Err(error) => vec![error.to_string()],
        },
        ["watermark", group] => {
            let watermark = session.watermark(&GroupId::from(*group));
            vec![watermark.map_or("none".to_owned(), |seen| seen.to_string())]
        }
        other => panic!("the command {other:?} is unknown"),
    }
}
