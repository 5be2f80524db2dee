//! Invariant checks that stay enabled in production. A violation is counted and
//! logged; builds with debug assertions, as in tests, panic.

use std::sync::atomic::{AtomicU64, Ordering};

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// The number of violations since the process started.
pub fn violations() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}

/// Counts and logs a violation of the invariant `name`.
///
/// # Panics
/// Panics in builds with debug assertions, so that tests stop at the violation.
pub fn report_violation(name: &str, detail: &str) {
    VIOLATIONS.fetch_add(1, Ordering::Relaxed);
    debug_assert!(false, "invariant {name} broken: {detail}");
    eprintln!("event=invariant-broken name={name} detail={detail:?}");
}

/// Checks that `holds`, and reports a violation of `name` if it doesn't.
pub fn check<Detail>(holds: bool, name: &str, detail: Detail)
where
    Detail: FnOnce() -> String,
{
    if !holds {
        report_violation(name, &detail());
    }
}
