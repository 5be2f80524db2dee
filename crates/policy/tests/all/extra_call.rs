//! Extra calls that decide about success have priority over those that add a
//! shard.

use camphorway_policy::QueryForecast;

fn forecast(doubtful: usize) -> QueryForecast {
    QueryForecast {
        parts: 36,
        min_parts: 35,
        doubtful,
    }
}

#[test]
fn calls_that_decide_about_success_may_use_the_whole_budget() {
    assert!(!forecast(2).is_success_expected());
    assert!(forecast(2).reserve(false) <= 0.0);
}

#[test]
fn calls_that_add_a_shard_leave_a_reserve() {
    assert!(forecast(1).is_success_expected());
    assert!(forecast(1).reserve(false) > forecast(2).reserve(false));
}

#[test]
fn calls_that_can_wait_leave_the_largest_reserve() {
    assert!(forecast(2).reserve(true) > forecast(1).reserve(false));
}
