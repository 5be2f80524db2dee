//! Daemons accept only peers that have a certificate of the common authority.

use camphorway_standins::certificates;
use camphorway_standins::fleet::{Fleet, FleetSpec, wait_for};
use camphorway_standins::http;
use camphorway_standins::shape::FleetShape;
use std::fs;

#[test]
fn daemon_with_a_certificate_of_another_authority_is_refused() {
    let mut fleet = Fleet::start(FleetSpec::new(FleetShape::simple(2, 1))).expect("a fleet");
    fleet.daemons[1].process = None;
    let others = fleet.directory.join("others");
    fs::create_dir_all(&others).expect("a directory");
    certificates::write(&others).expect("certificates");
    let settings = &fleet.daemons[1].settings;
    let text = fs::read_to_string(settings).expect("settings");
    let own = fleet.directory.display().to_string();
    let text = text.replace(&format!("{own}/"), &format!("{}/", others.display()));
    fs::write(settings, text).expect("settings");
    fleet.start_daemon(1).expect("a process");
    let refused = || {
        let reply = http::get(fleet.daemons[0].admin_address, "/metrics").expect("metrics");
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        let line = text
            .lines()
            .find(|line| line.starts_with("camphorway_refused_peers_total"));
        line.is_some_and(|line| !line.ends_with(" 0"))
    };
    wait_for(refused, "a refused peer").expect("the peer is refused");
    // A separate thread writes log lines, after the count has changed.
    let process = fleet.daemons[0].process.as_ref().expect("a process");
    let logged = || process.log().contains("event=peer-refused peer=");
    wait_for(logged, "a log line on the refused peer").expect("it is logged");
    let state = fleet.state(1).expect("a dump");
    assert_eq!(
        state["members"].as_array().map(Vec::len),
        Some(1),
        "{state}"
    );
}
