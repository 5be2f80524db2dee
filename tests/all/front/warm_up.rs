//! Fronts open connections before callers need them.

use super::testbed;
use camphorway_standins::fleet::wait_for;

/// Opened in advance: one to a server of each service, and none to a server that
/// has registered nothing.
#[test]
fn a_front_that_was_never_called_has_a_connection_to_each_service() {
    let testbed = testbed(3, 1);
    let idle_connections = || {
        let metrics = testbed.fronts[0].metrics().expect("metrics");
        let prefix = "front_connections{state=\"idle\"}";
        let line = metrics.lines().find_map(|line| line.strip_prefix(prefix));
        let value = line.expect("a gauge").trim().parse::<usize>();
        value.expect("a number")
    };
    wait_for(|| idle_connections() >= 3, "connections").expect("they are opened");
    assert_eq!(idle_connections(), 3, "one for each service");
    let arrivals = testbed.servers.iter().flatten();
    assert!(
        arrivals
            .map(|server| server.arrivals().len())
            .all(|count| count == 0)
    );
}
