//! Load pattern: wide queries on a small VM, whose answers arrive faster than the VM
//! processes them.

use camphorway_policy::AnswerLead;
use proptest::prelude::*;
use std::time::Duration;

const OBJECTIVE: Duration = Duration::from_millis(100);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Answers leave at the planned time plus the VM's delay; returns how many of them
/// were later than `limit` after the start.
fn late_answers(delays: &[u64], limit: Duration) -> usize {
    let mut lead = AnswerLead::default();
    let is_late = |delay: &&u64| {
        let planned_at = limit.saturating_sub(lead.lead(OBJECTIVE));
        let left_at = planned_at + millis(**delay);
        lead.record(millis(**delay));
        left_at > limit + millis(5)
    };
    delays.iter().filter(is_late).count()
}

#[test]
fn answers_of_a_busy_vm_are_late_only_until_its_delay_is_known() {
    assert!(late_answers(&[15; 20], millis(80)) <= 2);
    assert_eq!(late_answers(&[0; 20], millis(80)), 0);
}

#[test]
fn the_lead_falls_once_the_vm_is_idle_again() {
    let mut lead = AnswerLead::default();
    (0..8).for_each(|_| lead.record(millis(20)));
    (0..30).for_each(|_| lead.record(Duration::ZERO));
    assert!(lead.lead(OBJECTIVE) < millis(1));
}

proptest! {
    #[test]
    fn a_lead_never_takes_most_of_the_objective(delays in prop::collection::vec(0_u64..10_000, 0..50)) {
        let mut lead = AnswerLead::default();
        for delay in delays {
            lead.record(millis(delay));
        }
        prop_assert!(lead.lead(OBJECTIVE) <= OBJECTIVE / 4);
    }
}
