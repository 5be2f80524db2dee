//! Silent peers are asked last, and retried by one request at a time.

use camphorway_policy::SilentPeers;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

#[test]
fn silent_peer_is_retried_by_one_request() {
    let peer = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut now = Instant::now();
    let mut silent = SilentPeers::default();
    assert!(!silent.should_defer(peer, now));
    silent.mark_silent(peer, now);
    assert!(silent.should_defer(peer, now));
    now += Duration::from_millis(600);
    assert!(!silent.should_defer(peer, now), "one request retries it");
    assert!(silent.should_defer(peer, now), "the others don't");
    silent.mark_responsive(peer);
    assert!(!silent.should_defer(peer, now));
}

#[test]
fn long_silence_means_gone_until_the_peer_responds() {
    let peer = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut now = Instant::now();
    let mut silent = SilentPeers::default();
    silent.mark_silent(peer, now);
    assert!(!silent.is_gone(peer, now));
    now += Duration::from_millis(100);
    silent.mark_silent(peer, now);
    now += Duration::from_millis(100);
    assert!(silent.is_gone(peer, now), "counted from the first failure");
    silent.mark_responsive(peer);
    assert!(!silent.is_gone(peer, now));
}
