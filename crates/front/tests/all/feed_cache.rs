//! Tests of the feed cache's replies to peers.

use camphorway_front::feed_cache::{FeedCache, FeedQuery, FeedReply};
use camphorway_front::ports::{SourceFeed, SourceItem, SourceItems};
use camphorway_model::ServerName;
use std::time::{Duration, Instant};

fn gone(name: &str, revision: u64) -> SourceItems {
    SourceItems {
        items: vec![SourceItem::ServerGone(ServerName::new(name))],
        revision,
    }
}

fn query(after: Option<u64>) -> FeedQuery {
    FeedQuery {
        feed: SourceFeed::Servers,
        after,
        wait_ms: 0,
    }
}

#[test]
fn queries_wait_before_any_items_are_cached() {
    let feed_cache = FeedCache::default();
    let now = Instant::now();
    assert!(
        feed_cache.answer(&query(None), now).is_none(),
        "the query waits"
    );
    let reply = feed_cache.unchanged(SourceFeed::Servers, now);
    assert!(matches!(reply, FeedReply::NotCached));
    assert!(feed_cache.age(SourceFeed::Servers, now).is_none());
}

/// The first list may be stale, so peers don't get it before the store has
/// confirmed it.
#[test]
fn a_list_that_may_be_stale_is_sent_to_peers_once_it_is_confirmed() {
    let feed_cache = FeedCache::default();
    let now = Instant::now();
    let items = SourceItems {
        items: Vec::new(),
        revision: 10,
    };
    feed_cache.replace_all(SourceFeed::Servers, &items, None);
    assert!(
        feed_cache.answer(&query(None), now).is_none(),
        "the query waits"
    );
    let change = feed_cache.next_change(SourceFeed::Servers);
    assert!(change.try_recv().is_err());
    feed_cache.apply_changes(SourceFeed::Servers, &items, Some(now));
    assert!(change.try_recv().is_ok(), "waiting queries are woken");
    let reply = feed_cache.answer(&query(None), now);
    assert!(matches!(reply, Some(FeedReply::Items { age_ms: 0, .. })));
}

#[test]
fn changes_after_a_revision_are_sent_with_their_age() {
    let feed_cache = FeedCache::default();
    let now = Instant::now();
    let empty = SourceItems {
        items: Vec::new(),
        revision: 10,
    };
    feed_cache.replace_all(SourceFeed::Servers, &empty, Some(now));
    feed_cache.apply_changes(SourceFeed::Servers, &gone("x", 12), Some(now));
    feed_cache.apply_changes(SourceFeed::Servers, &gone("y", 14), Some(now));
    let later = now + Duration::from_millis(700);
    let Some(FeedReply::Items { items, age_ms }) = feed_cache.answer(&query(Some(12)), later)
    else {
        panic!("a change");
    };
    assert_eq!((items.items.len(), items.revision, age_ms), (1, 14, 700));
    let reply = feed_cache.answer(&query(Some(9)), later);
    assert!(matches!(reply, Some(FeedReply::HistoryGone)));
    assert!(
        feed_cache.answer(&query(Some(14)), later).is_none(),
        "the query waits"
    );
    assert!(
        feed_cache.answer(&query(Some(20)), later).is_none(),
        "the query waits"
    );
}
