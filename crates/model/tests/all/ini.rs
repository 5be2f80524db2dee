//! Numbers and durations in INI text.

use camphorway_model::ini::{self, IniFault, IniSection, TIMES};
use std::time::Duration;

fn section(text: &str) -> IniSection {
    let sections = ini::parse("f.ini", &format!("[a]\n{text}"), &mut Vec::new());
    sections.into_iter().next().expect("a section")
}

fn problems(faults: &[IniFault]) -> Vec<&str> {
    faults.iter().map(|fault| fault.problem.as_str()).collect()
}

/// Fractions of a millisecond were dropped, and seconds could only be written as
/// milliseconds.
#[test]
fn a_duration_keeps_its_fraction_in_either_unit() {
    let read = |text: &str| {
        let mut faults = Vec::new();
        let duration = section(text).duration_within("grace", TIMES, &mut faults);
        assert!(faults.is_empty(), "{faults:?}");
        duration
    };
    assert_eq!(read("grace-s = 6.5"), Some(Duration::from_millis(6_500)));
    assert_eq!(read("grace-ms = 6.5"), Some(Duration::from_micros(6_500)));
    assert_eq!(read("grace-ms = 6500"), Some(Duration::from_millis(6_500)));
    assert_eq!(read("grace-s = 1e2"), Some(Duration::from_secs(100)));
    assert_eq!(read("other = 1"), None);
}

#[test]
fn a_duration_in_both_units_or_out_of_range_is_a_fault() {
    let mut faults = Vec::new();
    let mut section = section("grace-ms = 6500\ngrace-s = 6.5\nlag-s = 3601\nlead-ms = nan");
    section.duration_within("grace", TIMES, &mut faults);
    section.duration_within("lag", TIMES, &mut faults);
    section.duration_within("lead", TIMES, &mut faults);
    insta::assert_snapshot!(problems(&faults).join("\n"), @r"
    `grace-ms` is set too; only one of them is allowed
    3601 is out of range; allowed: a number from 0 to 3600
    NaN is out of range; allowed: a number from 0 to 3600000
    ");
}

/// A count with a fraction was rounded down.
#[test]
fn a_count_is_a_whole_number() {
    let mut faults = Vec::new();
    let mut section = section("seats = 2.5\nslots = 4.0");
    assert_eq!(section.count_within("seats", 1..=64, &mut faults), None);
    assert_eq!(problems(&faults), ["`2.5` is not a whole number"]);
    assert_eq!(section.count_within("slots", 1..=64, &mut faults), Some(4));
}
