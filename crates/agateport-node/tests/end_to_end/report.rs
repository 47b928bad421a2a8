//! The report of a node to operators.

use crate::support::Deployment;
use agateport_domain::report::Report;
use std::time::Duration;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_report_lists_the_servers_of_the_bundle() {
    let deployment = Deployment::start(3, Duration::ZERO).await;
    let url = format!("http://{}/report", deployment.nodes[0].admin);
    let report: Report = reqwest::get(url).await.unwrap().json().await.unwrap();
    assert_eq!(report.configuration, Some(1));
    assert_eq!(report.servers.listed.len(), deployment.servers.len());
    assert!(report.servers.listed.iter().all(|server| server.limit > 0));
}
