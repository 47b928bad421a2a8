//! Texts of the single statements of a query, and what is taken from them.

use agateport_domain::request::setting::Setting;
use agateport_domain::request::statement::{Kind, Statement};
use agateport_domain::request::text;
use test_case::test_case;

#[test_case("", &[]; "nothing")]
#[test_case(" ; ;-- x\n;", &[]; "empty statements")]
#[test_case("SET a = 1", &["SET a = 1"]; "one")]
#[test_case("SET a = ';''\\'; SET b = 2;", &["SET a = ';''\\'", "SET b = 2"]; "a semicolon in a literal")]
#[test_case("SET a = E'\\';' ; SET b = $x$;'$x$", &["SET a = E'\\';'", "SET b = $x$;'$x$"]; "other literals")]
#[test_case("/* ; */ SET a = 'ü€';\r\n\tSET b = 2 -- ;", &["/* ; */ SET a = 'ü€'", "SET b = 2 -- ;"]; "comments and lines")]
#[test_case("SET \"a;\n\" = 1;SET b = 2", &["SET \"a;\n\" = 1", "SET b = 2"]; "a quoted name")]
fn statements_keep_their_texts(sql: &str, expected: &[&str]) {
    assert_eq!(text::statements(sql).as_deref(), Some(expected));
}

#[test_case("SET a = 'x\\''; DELETE FROM t; --'", r"x\'; DELETE FROM t; --"; "a quote after a backslash")]
#[test_case("SET a = 'x''''y'", "x''y"; "two quotes")]
#[test_case("SET a = x", "x"; "a word")]
#[test_case("SET a = 7", "7"; "a number")]
#[test_case("SET a = E'x\\'y'", "x'y"; "an escaped literal")]
fn a_setting_keeps_its_text(text: &str, expected: &str) {
    let statement = Statement::parse(text);
    assert_eq!(statement.kind, Kind::Set);
    let [Setting::Set { name, value, sql }] = &statement.settings[..] else {
        panic!("{:?}", statement.settings);
    };
    assert_eq!((&**name, &**value, &**sql), ("a", expected, text));
}
