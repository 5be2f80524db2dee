//! Short pauses, and servers that stay slow.

use camphorway_policy::{ServerStall, StallChange};
use std::time::{Duration, Instant};

/// The time in milliseconds until the server is tried again.
fn time_until_retry(stall: &ServerStall, now: Instant) -> u64 {
    let mut waited = 0;
    while stall.is_stalled(now + Duration::from_millis(waited)) {
        waited += 50;
    }
    waited
}

#[test]
fn a_pause_ends_with_an_answer() {
    let now = Instant::now();
    let mut stall = ServerStall::default();
    assert!(stall.record_stall(now));
    assert!(!stall.record_stall(now), "the stall is already recorded");
    assert_eq!(stall.record_answer(true), Some(StallChange::Ended));
    assert!(!stall.is_stalled(now));
    assert_eq!(stall.record_answer(false), Some(StallChange::OnTime));
    assert_eq!(stall.record_answer(false), None);
}

#[test]
fn a_server_that_stays_slow_is_tried_less_and_less_often() {
    let mut now = Instant::now();
    let mut stall = ServerStall::default();
    let mut waits = Vec::new();
    for _ in 0..6 {
        stall.record_stall(now);
        now += Duration::from_millis(120);
        stall.record_answer(true);
        let wait = time_until_retry(&stall, now);
        waits.push(wait);
        now += Duration::from_millis(wait);
        stall.record_call(now);
        // The probe is late as well, and reported after the renewed stall ended.
        now += Duration::from_secs(10);
    }
    assert_eq!(waits[0], 0, "the first stall may be a pause");
    assert!(waits.windows(2).all(|pair| pair[0] <= pair[1]), "{waits:?}");
    assert!((1_000..=2_400).contains(&waits[5]), "{waits:?}");
}

#[test]
fn an_answer_on_time_clears_a_slow_server_for_all_fronts() {
    let now = Instant::now();
    let mut local = ServerStall::default();
    let mut remote = ServerStall::default();
    for second in 0..4 {
        let at = now + Duration::from_secs(second * 3);
        local.record_stall(at);
        remote.apply_change(StallChange::Began, at);
    }
    let at = now + Duration::from_secs(9);
    assert!(local.is_stalled(at) && remote.is_stalled(at));
    assert_eq!(local.record_answer(false), Some(StallChange::OnTime));
    remote.apply_change(StallChange::OnTime, at);
    assert!(!local.is_stalled(at) && !remote.is_stalled(at));
    assert_eq!(
        remote.record_answer(false),
        None,
        "nothing is left to report"
    );
}
