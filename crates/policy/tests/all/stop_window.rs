//! Load pattern: one daemon stops while callers keep sending requests that may not
//! be repeated, and the servers are slower than usual.

use camphorway_policy::{StopWindow, WorkForecast};
use proptest::prelude::*;
use std::time::{Duration, Instant};

const GRACE: Duration = Duration::from_secs(6);

fn forecast(longest_ms: Option<u64>, limit_ms: u64) -> WorkForecast {
    WorkForecast {
        longest: longest_ms.map(Duration::from_millis),
        time_limit: Duration::from_millis(limit_ms),
    }
}

#[test]
fn requests_that_fit_are_accepted_and_later_ones_are_not() {
    let now = Instant::now();
    let window = StopWindow {
        answer_by: now + GRACE,
    };
    let short = forecast(Some(100), 10_000);
    assert!(window.accepts(&short, now));
    assert!(window.accepts(&short, now + Duration::from_millis(5_700)));
    assert!(!window.accepts(&short, now + Duration::from_millis(5_701)));
    // Servers nine times as slow leave no room in the second half of the period.
    assert!(!window.accepts(&forecast(Some(900), 10_000), now + GRACE * 6 / 10));
}

#[test]
fn without_recent_requests_the_time_limit_counts() {
    let now = Instant::now();
    let window = StopWindow {
        answer_by: now + GRACE,
    };
    assert!(window.accepts(&forecast(None, 6_000), now));
    assert!(!window.accepts(&forecast(None, 6_001), now));
}

#[test]
fn a_time_limit_that_no_clock_can_hold_is_not_accepted() {
    let now = Instant::now();
    let window = StopWindow {
        answer_by: now + GRACE,
    };
    let endless = WorkForecast {
        longest: Some(Duration::MAX),
        time_limit: Duration::MAX,
    };
    assert!(!window.accepts(&endless, now));
}

proptest! {
    /// No accepted request is cut, as long as it takes no longer than three times the
    /// longest recent one.
    #[test]
    fn accepted_requests_end_in_time(
        arrivals in prop::collection::vec((0_u64..7_000, 1_u64..1_500, 1_u64..6_000, 1_u64..=3), 1..200),
    ) {
        let start = Instant::now();
        let window = StopWindow { answer_by: start + GRACE };
        for (at_ms, longest_ms, limit_ms, factor) in arrivals {
            let now = start + Duration::from_millis(at_ms);
            let took = Duration::from_millis((longest_ms * factor).min(limit_ms));
            if window.accepts(&forecast(Some(longest_ms), limit_ms), now) {
                prop_assert!(now + took <= window.answer_by);
            }
        }
    }
}
