//! Only complete, valid and newer configurations are adopted, in any order of arrival.

use camphorway_gossip::tracker::head_item;
use camphorway_gossip::{ConfigTracker, SharedItem, SharedItems, TrackerEvent};
use camphorway_model::{Generation, HeadObject, PartReference};
use proptest::prelude::*;
use std::sync::Arc;

fn valid_text(generation: u64) -> String {
    format!("[service portal]\nmerge = concat\nlayout = portal\ncoverage-target = 0.{generation}\n")
}

fn head(generation: u64, text: &str) -> HeadObject {
    HeadObject {
        generation: Generation(generation),
        mark: "test".to_owned(),
        parts: vec![PartReference::for_text("main", text)],
    }
}

fn part(text: &str) -> SharedItem {
    SharedItem {
        key: PartReference::for_text("main", text).object_key(),
        version: 1,
        text: Arc::from(text),
    }
}

#[test]
fn incomplete_configuration_is_not_adopted() {
    let mut tracker = ConfigTracker::default();
    let mut items = SharedItems::default();
    items.offer(head_item(&head(1, &valid_text(1))));
    assert!(matches!(
        tracker.offer_items(&items),
        TrackerEvent::Incomplete(_)
    ));
    assert_eq!(tracker.generation(), Generation(0));
    items.offer(part(&valid_text(1)));
    assert!(matches!(
        tracker.offer_items(&items),
        TrackerEvent::Adopted(_)
    ));
}

#[test]
fn invalid_configuration_is_refused_and_the_previous_one_stays() {
    let mut tracker = ConfigTracker::default();
    let mut items = SharedItems::default();
    items.offer(part(&valid_text(1)));
    items.offer(head_item(&head(1, &valid_text(1))));
    tracker.offer_items(&items);
    let invalid_text = "[service portal]\nmerge = average\n";
    items.offer(part(invalid_text));
    items.offer(head_item(&head(2, invalid_text)));
    let TrackerEvent::Refused(faults) = tracker.offer_items(&items) else {
        panic!("the configuration must be refused");
    };
    assert_eq!(
        faults[0].to_string(),
        "main:2: [service portal] merge: `average` is not allowed; allowed: concat, sum"
    );
    assert_eq!(tracker.generation(), Generation(1));
    items.offer(part(&valid_text(3)));
    items.offer(head_item(&head(3, &valid_text(3))));
    assert!(matches!(
        tracker.offer_items(&items),
        TrackerEvent::Adopted(_)
    ));
}

proptest! {
    #[test]
    fn any_order_converges_without_reverting(order in prop::collection::vec((1..8_u64, any::<bool>()), 1..60)) {
        let mut tracker = ConfigTracker::default();
        let mut items = SharedItems::default();
        let mut highest = Generation(0);
        for (generation, is_part) in order {
            let text = valid_text(generation);
            items.offer(if is_part { part(&text) } else { head_item(&head(generation, &text)) });
            tracker.offer_items(&items);
            prop_assert!(tracker.generation() >= highest);
            highest = tracker.generation();
        }
        items.offer(part(&valid_text(9)));
        items.offer(head_item(&head(9, &valid_text(9))));
        tracker.offer_items(&items);
        prop_assert_eq!(tracker.generation(), Generation(9));
    }
}
