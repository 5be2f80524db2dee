//! Silent peers are asked last, and tried again by one request at a time.

use camphorway_policy::SilentPeers;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

#[test]
fn silent_peer_is_tried_again_by_one_request() {
    let peer = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut now = Instant::now();
    let mut silent = SilentPeers::default();
    assert!(!silent.is_passed_over(peer, now));
    silent.mark(peer, now);
    assert!(silent.is_passed_over(peer, now));
    now += Duration::from_millis(600);
    assert!(!silent.is_passed_over(peer, now), "one request tries it");
    assert!(silent.is_passed_over(peer, now), "the others don't");
    silent.heard(peer);
    assert!(!silent.is_passed_over(peer, now));
}

#[test]
fn long_silence_means_gone_until_the_peer_is_heard() {
    let peer = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut now = Instant::now();
    let mut silent = SilentPeers::default();
    silent.mark(peer, now);
    assert!(!silent.is_gone(peer, now));
    now += Duration::from_millis(100);
    silent.mark(peer, now);
    now += Duration::from_millis(100);
    assert!(silent.is_gone(peer, now), "counted from the first time");
    silent.heard(peer);
    assert!(!silent.is_gone(peer, now));
}
