//! Tests of what a panic in a background task does to its node.

use agateport_relay::tasks::Tasks;
use test_case::test_case;
use tokio_util::sync::CancellationToken;

#[test_case(true, Some("poller"); "a task that panics stops the node")]
#[test_case(false, None; "a task that ends does not")]
#[tokio::test]
async fn a_background_task(panics: bool, expected: Option<&str>) {
    let stop = CancellationToken::new();
    let tasks = Tasks::new(stop.clone());
    tasks.spawn("poller", async move {
        assert!(!panics, "a defect");
    });
    for _ in 0..50 {
        tokio::task::yield_now().await;
    }
    assert_eq!(stop.is_cancelled(), expected.is_some());
    assert_eq!(tasks.panicked(), expected);
}
