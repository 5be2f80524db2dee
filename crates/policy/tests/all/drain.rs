//! A report of a draining server reaches other daemons once, and a new process of
//! the server is not mistaken for the old one.

use camphorway_model::ServerName;
use camphorway_policy::{DrainReport, DrainTable};
use std::time::{Duration, Instant};

fn report(boot: u64, age_ms: u64) -> DrainReport {
    DrainReport {
        server: ServerName::new("one"),
        boot,
        age_ms,
    }
}

#[test]
fn a_report_changes_a_table_once_and_can_be_passed_on() {
    let now = Instant::now() + Duration::from_secs(10);
    let (mut first, mut second) = (DrainTable::default(), DrainTable::default());
    assert!(first.record(&report(1, 0), now));
    assert!(!first.record(&report(1, 0), now));
    assert_ne!(first.digest(), second.digest());
    for shared in first.reports(now) {
        assert!(second.record(&shared, now));
    }
    assert_eq!(first.digest(), second.digest());
    assert_eq!(second.boots().get(&ServerName::new("one")), Some(&1));
}

#[test]
fn an_older_report_does_not_replace_a_newer_process() {
    let now = Instant::now() + Duration::from_secs(10);
    let mut table = DrainTable::default();
    assert!(table.record(&report(1, 0), now));
    let later = now + Duration::from_secs(1);
    assert!(table.record(&report(2, 0), later));
    assert!(!table.record(&report(1, 1_000), later));
    assert_eq!(table.boots().get(&ServerName::new("one")), Some(&2));
}

#[test]
fn old_reports_are_removed() {
    let now = Instant::now();
    let mut table = DrainTable::default();
    assert!(table.record(&report(1, 0), now));
    assert!(!table.remove_expired(now + Duration::from_secs(60)));
    assert!(table.remove_expired(now + Duration::from_secs(3_600)));
    assert!(table.boots().is_empty());
}
