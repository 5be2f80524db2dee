//! Asks other fronts for a newer configuration than the store has.
//!
//! A front that starts after the store came back from an older copy finds an older
//! configuration there than the one in force elsewhere.

use crate::feeds::feed::{FeedContext, FeedUpdate};
use crate::messages::feed_message::{FeedQuery, FeedReply};
use crate::ports::{SourceFeed, SourceItem, SourceItems};
use camphorway_daemon::event;
use camphorway_daemon::sync::lock;
use camphorway_policy::FeedOrder;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The pause before each attempt; others refuse a front until they know its key.
const ATTEMPT_DELAY: Duration = Duration::from_millis(700);
const MAX_ATTEMPTS: usize = 30;
/// The number of fronts that are asked in each attempt.
const MAX_PEERS: usize = 3;
const TIMEOUT: Duration = Duration::from_millis(400);

/// Asks until one front has answered, and applies its configuration if that is newer.
pub async fn run<Source>(feed_context: Arc<FeedContext<Source>>, order: FeedOrder) {
    for _ in 0..MAX_ATTEMPTS {
        feed_context.clock.sleep(ATTEMPT_DELAY).await;
        if feed_context.stop.is_cancelled() {
            return;
        }
        let others = order.other_fronts(&lock(&feed_context.members));
        for peer in others.into_iter().take(MAX_PEERS) {
            if ask(&feed_context, peer).await {
                return;
            }
        }
    }
}

/// Asks a front; returns whether it has answered.
async fn ask<Source>(feed_context: &FeedContext<Source>, peer: SocketAddr) -> bool {
    let feed = SourceFeed::Configuration;
    let feed_cache = &feed_context.feed_cache;
    let Some(revision) = feed_cache.revision(feed) else {
        return false;
    };
    let position = feed_cache.position();
    let query = FeedQuery::new(feed, Some(revision), position, Duration::ZERO);
    let items = match feed_context.links.exchange(peer, &query, TIMEOUT).await {
        Ok(FeedReply::Items { items, .. }) => items,
        Ok(FeedReply::HistoryGone { .. } | FeedReply::NotCached) => return false,
        Err(error) => {
            event!(
                Info,
                "newer-configuration-not-asked",
                peer = peer,
                error = error
            );
            return false;
        }
    };
    let version = items.iter().find_map(|item| match item {
        SourceItem::Configuration(table) => Some(table.version()),
        _ => None,
    });
    if let Some(version) = version.filter(|version| *version > position.version) {
        event!(
            Info,
            "newer-configuration-found",
            peer = peer,
            version = version
        );
        // Of this front's own revision: it may lack what the other one has besides.
        let items = SourceItems { items, revision };
        feed_cache.apply_changes(feed, &items, None);
        // The channel is closed only when the front stops.
        let _ = feed_context.updates.send(FeedUpdate::Changed(items)).await;
    }
    true
}
