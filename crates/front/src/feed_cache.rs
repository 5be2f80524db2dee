//! What a front knows of each feed, so that it can tell its peers: all items,
//! the latest changes, and how old that knowledge is.

use crate::ports::{SourceFeed, SourceItem, SourceItems};
use async_channel::{Receiver, Sender};
use camphorway_daemon::sync::lock;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Changes kept for peers that were told all before them.
const MAX_CHANGES: usize = 1_024;

/// What a peer asks.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FeedQuery {
    /// Of which feed.
    pub feed: SourceFeed,
    /// Only changes after this revision; none asks for all items.
    pub after: Option<u64>,
    /// How long the answer may wait for a change, in milliseconds.
    pub wait_ms: u64,
}

/// What a peer is told.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum FeedReply {
    /// Items, and how long ago the store confirmed them, in milliseconds.
    Items {
        /// The items.
        items: SourceItems,
        /// The knowledge's age.
        age_ms: u64,
    },
    /// The changes asked for are no longer known; ask for all.
    HistoryGone,
    /// Nothing is known yet.
    NotCached,
}

/// What is known of all feeds.
#[derive(Debug, Default)]
pub struct FeedCache {
    feeds: [Mutex<CachedFeed>; SourceFeed::ALL.len()],
}

#[derive(Debug, Default)]
struct CachedFeed {
    revision: Option<u64>,
    /// When the store last confirmed the revision.
    confirmed: Option<Instant>,
    items: BTreeMap<String, SourceItem>,
    changes: VecDeque<(u64, SourceItem)>,
    /// Changes up to this revision are not kept.
    floor: u64,
    waiting: Vec<Sender<()>>,
}

impl FeedCache {
    /// Takes all items, as the store confirmed them at `confirmed`; none if they
    /// may be old, which peers are not told before the store has confirmed them.
    pub fn replace_all(&self, feed: SourceFeed, items: &SourceItems, confirmed: Option<Instant>) {
        let mut cached = self.lock(feed);
        cached.items.clear();
        cached.changes.clear();
        cached.floor = items.revision;
        cached.apply(items, confirmed);
    }

    /// Takes changes since the revision before.
    pub fn apply_changes(&self, feed: SourceFeed, items: &SourceItems, confirmed: Option<Instant>) {
        let mut cached = self.lock(feed);
        for item in &items.items {
            cached.changes.push_back((items.revision, item.clone()));
        }
        while cached.changes.len() > MAX_CHANGES {
            if let Some((revision, _)) = cached.changes.pop_front() {
                cached.floor = cached.floor.max(revision);
            }
        }
        cached.apply(items, confirmed);
    }

    /// Whether the store has confirmed what is known.
    pub fn is_confirmed(&self, feed: SourceFeed) -> bool {
        self.lock(feed).confirmed.is_some()
    }

    /// The age of what is known; none before the store has confirmed it.
    pub fn age(&self, feed: SourceFeed, now: Instant) -> Option<Duration> {
        let confirmed = self.lock(feed).confirmed?;
        Some(now.saturating_duration_since(confirmed))
    }

    /// The answer to a peer, as of now; none if it should wait for a change.
    pub fn answer(&self, query: &FeedQuery, now: Instant) -> Option<FeedReply> {
        let cached = self.lock(query.feed);
        let (Some(revision), Some(confirmed)) = (cached.revision, cached.confirmed) else {
            return None;
        };
        let items = match query.after {
            None => cached.items.values().cloned().collect(),
            // The asker heard later news elsewhere; ours may still catch up.
            Some(after) if after > revision => return None,
            Some(after) if after < cached.floor => return Some(FeedReply::HistoryGone),
            Some(after) => {
                let later = cached.changes.iter().filter(|(at, _)| *at > after);
                let items: Vec<SourceItem> = later.map(|(_, item)| item.clone()).collect();
                if items.is_empty() {
                    return None;
                }
                items
            }
        };
        Some(items_reply(items, revision, confirmed, now))
    }

    /// The answer to a peer that has waited: nothing has changed, or is known.
    pub fn unchanged(&self, feed: SourceFeed, now: Instant) -> FeedReply {
        let cached = self.lock(feed);
        match (cached.revision, cached.confirmed) {
            (Some(revision), Some(confirmed)) => items_reply(Vec::new(), revision, confirmed, now),
            _ => FeedReply::NotCached,
        }
    }

    /// Gets a message at the feed's next change.
    pub fn next_change(&self, feed: SourceFeed) -> Receiver<()> {
        let (notify, notice) = async_channel::bounded(1);
        let mut cached = self.lock(feed);
        cached.waiting.retain(|waiting| !waiting.is_closed());
        cached.waiting.push(notify);
        notice
    }

    fn lock(&self, feed: SourceFeed) -> MutexGuard<'_, CachedFeed> {
        lock(&self.feeds[feed as usize])
    }
}

impl CachedFeed {
    fn apply(&mut self, items: &SourceItems, confirmed: Option<Instant>) {
        for item in &items.items {
            match item {
                // What can't be read, nobody can use, and its reader has logged it.
                SourceItem::ServerGone(_)
                | SourceItem::FrontGone(_)
                | SourceItem::Released(_)
                | SourceItem::Unreadable { .. } => {
                    self.items.remove(&item.name());
                }
                SourceItem::Configuration(_)
                | SourceItem::Server(_)
                | SourceItem::Front(_)
                | SourceItem::Quarantined(_) => {
                    self.items.insert(item.name(), item.clone());
                }
            }
        }
        self.revision = Some(items.revision);
        let was_confirmed = self.confirmed.is_some();
        self.confirmed = confirmed;
        let is_first_confirmed = !was_confirmed && confirmed.is_some();
        if !items.items.is_empty() || is_first_confirmed {
            for waiting in self.waiting.drain(..) {
                // The peer may have given up waiting.
                let _ = waiting.try_send(());
            }
        }
    }
}

fn items_reply(
    items: Vec<SourceItem>,
    revision: u64,
    confirmed: Instant,
    now: Instant,
) -> FeedReply {
    FeedReply::Items {
        items: SourceItems { items, revision },
        age_ms: now.saturating_duration_since(confirmed).as_millis() as u64,
    }
}
