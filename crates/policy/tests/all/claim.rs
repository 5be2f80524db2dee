//! At most one attempt ever owns an id, regardless of the order of reads, writes
//! and lost replies.

use camphorway_model::{AnswerOutcome, RequestId};
use camphorway_policy::claim::{ClaimState, object_key};
use camphorway_policy::{ClaimDecision, ClaimObject, ClaimWindow};
use proptest::prelude::*;
use std::time::Duration;

const ATTEMPTS: usize = 4;

/// The next action of an attempt; a `LateClaim` write takes effect only with
/// `Deliver`, after others' steps.
#[derive(Clone, Copy, Debug)]
enum Step {
    Claim(usize),
    LateClaim(usize),
    Deliver(usize),
    Void(usize),
    End(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let attempt = 0..ATTEMPTS;
    prop_oneof![
        3 => attempt.clone().prop_map(Step::Claim),
        2 => attempt.clone().prop_map(Step::LateClaim),
        2 => attempt.clone().prop_map(Step::Deliver),
        1 => attempt.clone().prop_map(Step::Void),
        1 => attempt.prop_map(Step::End),
    ]
}

/// An object with conditional updates.
#[derive(Default)]
struct Store {
    version: u64,
    object: ClaimObject,
}

impl Store {
    fn put(&mut self, expected: u64, object: ClaimObject) -> bool {
        if self.version != expected {
            return false;
        }
        self.version += 1;
        self.object = object;
        true
    }
}

proptest! {
    #[test]
    fn at_most_one_attempt_dispatches(steps in prop::collection::vec(step(), 1..60)) {
        let id = RequestId::from_parts(1, [0; 10]);
        let mut store = Store::default();
        let mut late: Vec<Option<(u64, ClaimObject)>> = vec![None; ATTEMPTS];
        let mut abandoned = [false; ATTEMPTS];
        let mut dispatched = [false; ATTEMPTS];
        for step in steps {
            match step {
                Step::Claim(attempt) if !abandoned[attempt] => {
                    let owner = attempt.to_string();
                    let mut object = store.object.clone();
                    if object.decide(&id, &owner, 7).is_none() {
                        object.claim(id, &owner, 7);
                        prop_assert!(store.put(store.version, object));
                    }
                    // An attempt decides by what it reads back, and dispatches once.
                    if store.object.decide(&id, &owner, 7) == Some(ClaimDecision::Own) {
                        dispatched[attempt] = true;
                    }
                }
                Step::LateClaim(attempt) if !abandoned[attempt] && !dispatched[attempt] => {
                    let mut object = store.object.clone();
                    object.claim(id, &attempt.to_string(), 7);
                    late[attempt] = Some((store.version, object));
                }
                Step::Deliver(attempt) => {
                    if let Some((expected, object)) = late[attempt].take() {
                        store.put(expected, object);
                    }
                }
                Step::Void(attempt) if !dispatched[attempt] => {
                    abandoned[attempt] = true;
                    let mut object = store.object.clone();
                    if object.void(id, &attempt.to_string(), 7) {
                        prop_assert!(store.put(store.version, object));
                    }
                }
                Step::End(attempt) if dispatched[attempt] => {
                    let mut object = store.object.clone();
                    let state = ClaimState::Done { outcome: AnswerOutcome::Complete, answer: None };
                    if object.end(&id, &attempt.to_string(), state) {
                        prop_assert!(store.put(store.version, object));
                    }
                }
                Step::Claim(_) | Step::LateClaim(_) | Step::Void(_) | Step::End(_) => {}
            }
            prop_assert!(dispatched.iter().filter(|dispatched| **dispatched).count() <= 1);
        }
    }
}

#[test]
fn window_refuses_old_and_future_ids() {
    let hour = Duration::from_secs(3_600);
    let now = 10_000_000_000;
    let at = |ms| RequestId::from_parts(ms, [1; 10]);
    assert_eq!(ClaimWindow::of(&at(now), now, hour), ClaimWindow::Open);
    assert_eq!(
        ClaimWindow::of(&at(now + 29_000), now, hour),
        ClaimWindow::Open
    );
    assert_eq!(
        ClaimWindow::of(&at(now + 31_000), now, hour),
        ClaimWindow::Future
    );
    assert_eq!(
        ClaimWindow::of(&at(now - 3_600_001), now, hour),
        ClaimWindow::Expired
    );
}

#[test]
fn an_id_has_the_same_object_for_all_daemons() {
    let id = RequestId::from_parts(1_234_567, [3; 10]);
    assert_eq!(
        object_key(&id),
        object_key(&RequestId::parse(&id.to_string()).expect("an id"))
    );
}
