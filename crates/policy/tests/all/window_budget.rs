//! Extra calls stay within the ratio in every window.

use camphorway_policy::{AllowanceRamp, BudgetLimits, SharedAllowance, WindowBudget};
use proptest::prelude::*;
use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_secs(10);

fn limits(ratio: f64) -> BudgetLimits {
    BudgetLimits {
        ratio,
        allowance: 1.0,
        window: WINDOW,
    }
}

proptest! {
    /// Extra calls in any window are compared with the first calls in that window
    /// and the half window before it, as users measure it.
    #[test]
    fn any_window_stays_within_the_ratio(
        ratio in 0.0..0.5_f64,
        rates in proptest::collection::vec((0_u32..60, 0_u32..60), 1..40),
    ) {
        let start = Instant::now();
        let mut budget = WindowBudget::new(limits(ratio));
        let mut firsts = Vec::new();
        let mut extras = Vec::new();
        for (second, (first, extra)) in rates.iter().enumerate() {
            let now = start + Duration::from_secs(second as u64);
            for _ in 0..*first {
                budget.earn(now);
                firsts.push(now);
            }
            for _ in 0..*extra {
                if budget.spend(0.0, now) {
                    extras.push(now);
                }
            }
        }
        for end in &extras {
            let within = |at: &&Instant, span: Duration| **at <= *end && **at + span > *end;
            let spent = extras.iter().filter(|at| within(at, WINDOW)).count();
            let earned = firsts.iter().filter(|at| within(at, WINDOW * 3 / 2)).count();
            prop_assert!(spent as f64 <= ratio * earned as f64 + 1.0, "{spent} of {earned}");
        }
    }
}

#[test]
fn an_old_window_expires() {
    let start = Instant::now();
    let mut budget = WindowBudget::new(limits(0.5));
    for _ in 0..10 {
        budget.earn(start);
    }
    while budget.spend(0.0, start) {}
    assert!(budget.remaining(start) < 1.0);
    let later = start + WINDOW * 2;
    assert!((budget.remaining(later) - 1.0).abs() < f64::EPSILON);
}

#[test]
fn a_reserve_is_left_to_other_calls() {
    let now = Instant::now();
    let mut budget = WindowBudget::new(limits(0.2));
    for _ in 0..95 {
        budget.earn(now);
    }
    let mut reserved = 0;
    while budget.spend(0.5, now) {
        reserved += 1;
    }
    let mut rest = 0;
    while budget.spend(0.0, now) {
        rest += 1;
    }
    assert_eq!((reserved, rest), (10, 10));
}

/// The daemons' whole calls add up to the shared allowance within one call,
/// although each share is rounded down.
#[test]
fn rounded_shares_of_an_allowance_add_up() {
    for daemons in [1_usize, 3, 9, 71, 300] {
        let total = 127.4;
        let calls: f64 = (0..daemons)
            .map(|index| SharedAllowance {
                total,
                daemons,
                index,
            })
            .map(|shared| shared.own_share().floor())
            .sum();
        assert!((calls - total).abs() <= 1.0, "{calls} for {daemons}");
    }
}

/// A daemon that spends steadily, fails and restarts stays within one allowance
/// in any window.
#[test]
fn a_restart_does_not_renew_the_allowance() {
    let first = Instant::now();
    let start = first + WINDOW;
    let second = Duration::from_secs(1);
    let allowance = 40.0;
    let limits = BudgetLimits {
        ratio: 0.0,
        allowance,
        window: WINDOW,
    };
    let mut spent = Vec::new();
    let mut budget = WindowBudget::new(limits);
    let mut ramp = AllowanceRamp {
        started_at: first,
        window: WINDOW,
    };
    for number in 0..40 {
        let now = start + second * number;
        if number == 17 {
            budget = WindowBudget::new(limits);
            ramp.started_at = now;
        }
        budget.set_allowance(allowance * ramp.fraction(now));
        for _ in 0..4 {
            if budget.spend(0.0, now) {
                spent.push(now);
            }
        }
    }
    for end in &spent {
        let within = spent
            .iter()
            .filter(|at| **at <= *end && **at + WINDOW > *end);
        let count = within.count();
        assert!(count as f64 <= allowance, "{count}");
    }
}
