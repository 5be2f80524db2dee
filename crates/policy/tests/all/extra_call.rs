//! Extra calls that decide about success go before those that add a shard.

use camphorway_policy::QueryProspect;

fn prospect(doubtful: usize) -> QueryProspect {
    QueryProspect {
        parts: 36,
        least: 35,
        doubtful,
    }
}

#[test]
fn calls_that_decide_about_success_may_use_the_whole_budget() {
    assert!(!prospect(2).is_success_expected());
    assert!(prospect(2).reserve(false) <= 0.0);
}

#[test]
fn calls_that_add_a_shard_leave_a_part() {
    assert!(prospect(1).is_success_expected());
    assert!(prospect(1).reserve(false) > prospect(2).reserve(false));
}

#[test]
fn calls_that_can_wait_leave_most() {
    assert!(prospect(2).reserve(true) > prospect(1).reserve(false));
}
