//! Lines of the metrics.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use agateport_node::metrics::Metrics;
use std::net::UdpSocket;
use std::time::Duration;
use test_case::test_case;

/// Time limit for the arrival of a metric.
const TIMEOUT: Duration = Duration::from_secs(5);

/// A priority's name comes from the bundle and may be any text.
#[test_case("batch-2.eu_west", "agateport.gate_refused.batch-2.eu_west:1|c"; "plain")]
#[test_case("a:9|c\nagateport.forged", "agateport.gate_refused.a_9_c_agateport.forged:1|c"; "a second metric")]
#[test_case("a|#tag @0.1 ü", "agateport.gate_refused.a__tag__0.1__:1|c"; "tags and a rate")]
fn outside_text_stays_in_the_name_of_its_metric(priority: &str, expected: &str) {
    let receiver = UdpSocket::bind("127.0.0.1:0").unwrap();
    receiver.set_read_timeout(Some(TIMEOUT)).unwrap();
    let metrics = Metrics::new(Some(receiver.local_addr().unwrap())).unwrap();
    metrics.count("gate_refused", priority);
    let mut buffer = [0; 256];
    let length = receiver.recv(&mut buffer).unwrap();
    assert_eq!(std::str::from_utf8(&buffer[..length]).unwrap(), expected);
}
