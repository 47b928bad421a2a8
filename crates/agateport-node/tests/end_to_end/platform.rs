//! Keys in the paths of calls to the platform.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use agateport_wire::platform::Platform;
use axum::extract::Path;
use axum::http::Uri;
use axum::routing::get;
use axum::{Json, Router};
use test_case::test_case;
use tokio::net::TcpListener;

/// The name of a group is part of a key, and comes from the bundle.
#[test_case("primary-ledger"; "plain")]
#[test_case("bundle-history/7"; "a part of a path")]
#[test_case("primary-a?b"; "a query")]
#[test_case("primary-a#b"; "a fragment")]
#[test_case("primary-a%41 ü\r\n\\&+"; "other separators")]
#[tokio::test]
async fn a_key_is_read_as_it_is(key: &str) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let answer = |Path(key): Path<String>, uri: Uri| async move {
        let value = format!("{key} {:?}", uri.query());
        Json(serde_json::json!({"value": value, "version": 1}))
    };
    let router = Router::new().route("/table/{*key}", get(answer));
    tokio::spawn(async move { axum::serve(listener, router).await });
    let platform = Platform::new(address).unwrap();
    let row = platform.row(key).await.unwrap().unwrap();
    assert_eq!(row.value, format!("{key} None"));
}
