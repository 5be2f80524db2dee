//! A server's limit on all daemons together, shared without messages.

use crate::feed_order::members;
use camphorway_model::{FrontRecord, ServerName};
use camphorway_policy::{CallPacer, LimitedServer, RateShare, ServerDistance};
use proptest::prelude::*;
use std::time::{Duration, Instant};

/// The server is in the first failure domain.
fn distance(member: &FrontRecord) -> ServerDistance {
    match member.domain.as_str() {
        "domain-0" => ServerDistance::Near,
        "domain-1" => ServerDistance::Region,
        _ => ServerDistance::Far,
    }
}

fn shares(limit: f64, all: &[FrontRecord]) -> Vec<RateShare> {
    let name = ServerName::new("i-1");
    let server = LimitedServer { name: &name, limit };
    let share = |member: &FrontRecord| server.own_share(&member.vm, all, distance);
    all.iter().map(share).collect()
}

fn rate(share: &RateShare) -> f64 {
    match share {
        RateShare::Sharing(rate) | RateShare::Probing(rate) => *rate,
    }
}

/// The calls of all daemons in the span of `window` that has most, when all of them
/// always have a call to send from `idle` after the limit was named.
fn busiest_window(limit: f64, all: &[FrontRecord], idle: Duration, window: Duration) -> usize {
    let start = Instant::now();
    let mut calls: Vec<Duration> = Vec::new();
    for (index, share) in shares(limit, all).into_iter().enumerate() {
        let phase = index as f64 / all.len() as f64;
        let mut pacer = CallPacer::new(share, phase, start);
        let mut at = idle;
        while at < idle + Duration::from_secs(12) {
            let now = start + at;
            if let Some(until) = pacer.wait_until(now) {
                at = until.saturating_duration_since(start);
            } else {
                pacer.record_call(now);
                calls.push(at);
            }
        }
    }
    calls.sort_unstable();
    let in_window = |from: &Duration| {
        let until = *from + window;
        calls
            .iter()
            .filter(|at| **at >= *from && **at < until)
            .count()
    };
    calls.iter().map(in_window).max().unwrap_or(0)
}

proptest! {
    /// A server got far more requests than the limit that it had named.
    #[test]
    fn all_daemons_together_stay_within_a_limit(
        limit in 0.0..200.0_f64,
        domains in 1..6_usize,
        each in 1..16_usize,
        idle_ms in 0..20_000_u64,
    ) {
        let all = members(domains, each);
        let window = Duration::from_secs(4);
        let idle = Duration::from_millis(idle_ms);
        let calls = busiest_window(limit, &all, idle, window);
        let allowed = 1.5 * limit * window.as_secs_f64() + 5.0;
        prop_assert!(calls as f64 <= allowed, "{} of {}", calls, allowed);
    }
}

#[test]
fn a_limit_is_used_in_full_and_mostly_nearby() {
    let all = members(3, 3);
    let shares = shares(30.0, &all);
    assert!((shares.iter().map(rate).sum::<f64>() - 30.0).abs() < 1e-6);
    let by_domain: Vec<f64> = shares.iter().step_by(3).map(rate).collect();
    assert!(by_domain[0] > by_domain[1] && by_domain[1] > by_domain[2]);
    let calls = busiest_window(30.0, &all, Duration::ZERO, Duration::from_secs(4));
    assert!(calls >= 110, "{calls} of 120");
}

#[test]
fn a_small_limit_is_shared_by_the_nearest_daemons() {
    let all = members(4, 20);
    let shares = shares(10.0, &all);
    let is_sharing = |index: &usize| matches!(shares[*index], RateShare::Sharing(_));
    let sharing: Vec<usize> = (0..all.len()).filter(is_sharing).collect();
    assert_eq!(sharing.len(), 14);
    assert!(sharing.iter().all(|index| *index < 20), "{sharing:?}");
    assert!(shares.iter().all(|share| rate(share) > 0.0));
}

/// A server that takes nothing is still asked now and then whether that has ended.
#[test]
fn a_limit_of_zero_lets_a_call_through_now_and_then() {
    let now = Instant::now();
    let mut pacer = CallPacer::new(RateShare::Sharing(0.0), 0.5, now);
    assert!(pacer.wait_until(now + Duration::from_secs(10)).is_some());
    let due = now + Duration::from_secs(20);
    assert_eq!(pacer.wait_until(due), None);
    pacer.record_call(due);
    assert!(pacer.wait_until(due + Duration::from_secs(10)).is_some());
}

#[test]
fn a_probing_daemon_loses_a_slot_that_it_does_not_use() {
    let now = Instant::now();
    let pacer = CallPacer::new(RateShare::Probing(0.1), 0.0, now);
    assert_eq!(pacer.wait_until(now + Duration::from_millis(100)), None);
    let later = now + Duration::from_secs(3);
    assert_eq!(pacer.wait_until(later), Some(now + Duration::from_secs(10)));
}

/// A slot that began just now was taken as the one before, and the call was to wait
/// until now.
#[test]
fn a_probing_daemon_may_call_from_the_first_moment_of_each_slot() {
    let now = Instant::now();
    for rate in [0.3, 0.7, 1.1, 1.7, 2.3] {
        let pacer = CallPacer::new(RateShare::Probing(rate), 0.0, now);
        let interval = Duration::from_secs_f64(1.0 / rate);
        for slot in 0..1_000 {
            let at = now + interval * slot;
            assert_eq!(pacer.wait_until(at), None, "slot {slot} at {rate}");
        }
    }
}

#[test]
fn a_higher_limit_is_used_at_once() {
    let now = Instant::now();
    let mut pacer = CallPacer::new(RateShare::Sharing(0.1), 1.0, now);
    pacer.set_share(RateShare::Sharing(10.0), now);
    assert_eq!(pacer.wait_until(now + Duration::from_millis(100)), None);
}
