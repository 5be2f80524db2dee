//! Load pattern: hundreds of daemons that get a wide query every few seconds each, so
//! that the first query of each of them would open all its connections.

use camphorway_model::{ServerName, VmName};
use camphorway_policy::ServerDistance;
use camphorway_policy::warm_up::{WarmCandidate, first_choice, is_within_limit};
use proptest::prelude::*;
use std::collections::HashMap;

fn candidates<'name>(
    names: &'name [ServerName],
    distances: &[ServerDistance],
) -> Vec<WarmCandidate<'name>> {
    let pairs = names.iter().zip(distances);
    pairs
        .map(|(server, distance)| WarmCandidate {
            server,
            distance: *distance,
        })
        .collect()
}

fn names(prefix: &str, count: usize) -> Vec<ServerName> {
    (0..count)
        .map(|index| ServerName::new(&format!("{prefix}-{index}")))
        .collect()
}

#[test]
fn the_nearest_server_is_the_first_choice() {
    let names = names("server", 3);
    let distances = [
        ServerDistance::Far,
        ServerDistance::Region,
        ServerDistance::Far,
    ];
    let candidates = candidates(&names, &distances);
    assert_eq!(first_choice(&VmName::new("front"), &candidates), Some(1));
    assert_eq!(first_choice(&VmName::new("front"), &[]), None);
}

#[test]
fn daemons_spread_over_equally_near_servers() {
    let names = names("server", 3);
    let candidates = candidates(&names, &[ServerDistance::Region; 3]);
    let mut counts = HashMap::new();
    for index in 0..300 {
        let own = VmName::new(&format!("front-{index}"));
        *counts.entry(first_choice(&own, &candidates)).or_insert(0) += 1;
    }
    assert!(counts.values().all(|count| *count > 60), "{counts:?}");
}

#[test]
fn a_limit_that_the_daemons_of_a_region_would_fill_is_left_to_calls() {
    assert!(is_within_limit(100, 60));
    assert!(!is_within_limit(100, 61));
    assert!(!is_within_limit(1, 0));
}

proptest! {
    /// The choice of a daemon stays when other servers come and go.
    #[test]
    fn a_choice_changes_only_with_the_chosen_server(removed in 0_usize..8, own in "[a-z]{1,8}") {
        let names = names("server", 8);
        let all = candidates(&names, &[ServerDistance::Near; 8]);
        let own = VmName::new(&own);
        let chosen = first_choice(&own, &all).expect("a server");
        let mut fewer = all.clone();
        fewer.remove(removed);
        let again = first_choice(&own, &fewer).expect("a server");
        if removed != chosen {
            prop_assert_eq!(fewer[again].server, all[chosen].server);
        }
    }
}
