//! Fronts that have just registered are not asked yet.

use camphorway_front::known_fronts::KnownFronts;
use camphorway_model::{FailureDomain, FrontRecord, PeerKey, VmName};
use std::time::{Duration, Instant};

fn record(vm: &str, key: u8) -> FrontRecord {
    FrontRecord {
        vm: VmName::new(vm),
        domain: FailureDomain::new("a"),
        address: "127.0.0.1:9000".parse().expect("an address"),
        key: PeerKey::from_der(&[key]),
    }
}

fn joined(fronts: &KnownFronts, now: Instant) -> Vec<String> {
    let joined = fronts.joined(&VmName::new("own"), now);
    joined.iter().map(|front| front.vm.to_string()).collect()
}

/// Fronts asked one that did not know their keys yet, and then avoided it for
/// seconds and asked the store.
#[test]
fn a_front_that_registers_later_is_asked_once_it_knows_the_others() {
    let now = Instant::now();
    let mut fronts = KnownFronts::default();
    fronts.replace_all(vec![record("a", 1), record("own", 1)], now);
    assert_eq!(joined(&fronts, now), ["a", "own"]);
    fronts.insert(record("b", 1), now);
    assert_eq!(joined(&fronts, now), ["a", "own"]);
    assert_eq!(fronts.registered().count(), 3);
    let later = now + Duration::from_millis(2_500);
    assert_eq!(fronts.next_join(now), Some(later));
    assert_eq!(joined(&fronts, later), ["a", "b", "own"]);
}

#[test]
fn a_front_that_restarts_has_to_join_again() {
    let now = Instant::now();
    let mut fronts = KnownFronts::default();
    fronts.replace_all(vec![record("a", 1)], now);
    fronts.insert(record("a", 1), now);
    assert_eq!(joined(&fronts, now), ["a"], "the same process");
    fronts.insert(record("a", 2), now);
    assert!(joined(&fronts, now).is_empty());
}

#[test]
fn a_list_that_is_read_again_changes_nothing_for_those_known() {
    let now = Instant::now();
    let mut fronts = KnownFronts::default();
    fronts.replace_all(vec![record("a", 1)], now);
    fronts.replace_all(vec![record("a", 1), record("b", 1)], now);
    assert_eq!(joined(&fronts, now), ["a"]);
    fronts.remove(&VmName::new("a"));
    assert_eq!(fronts.registered().count(), 1);
}
