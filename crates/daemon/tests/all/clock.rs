//! The clock of a running daemon.

use camphorway_daemon::clock::DaemonClock;
use std::fs;
use std::thread::sleep;
use std::time::Duration;

/// The uptime has hundredths of a second; two of them are compared.
const UPTIME_STEP: f64 = 0.02;

/// Seconds since the system's start, with the time for which it was suspended.
fn uptime() -> f64 {
    let text = fs::read_to_string("/proc/uptime").expect("an uptime");
    let first = text.split(' ').next().expect("a number");
    first.parse().expect("seconds")
}

/// What a daemon holds must not seem fresh after its VM was suspended. No test can suspend
/// the machine; this one shows that the clock is the one that goes on.
#[test]
fn the_clock_goes_on_as_the_system_s_uptime_does() {
    let clock = DaemonClock::Real;
    let read = || (uptime(), clock.now(), uptime());
    let began = read();
    sleep(Duration::from_millis(300));
    let ended = read();
    let passed = ended.1.duration_since(began.1).as_secs_f64();
    let (least, most) = (ended.0 - began.2, ended.2 - began.0);
    assert!(
        passed > least - UPTIME_STEP && passed < most + UPTIME_STEP,
        "{passed}"
    );
    let earlier = clock.now();
    assert!(clock.now() >= earlier);
}
