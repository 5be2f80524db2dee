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
const MOST_CHANGES: usize = 1_024;

/// What a peer asks.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FeedAsk {
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
    NotKnown,
}

/// What is known of all feeds.
#[derive(Debug, Default)]
pub struct FeedKnowledge {
    feeds: [Mutex<KnownFeed>; SourceFeed::ALL.len()],
}

#[derive(Debug, Default)]
struct KnownFeed {
    revision: Option<u64>,
    /// When the store last confirmed the revision.
    confirmed: Option<Instant>,
    items: BTreeMap<String, SourceItem>,
    changes: VecDeque<(u64, SourceItem)>,
    /// Changes up to this revision are not kept.
    floor: u64,
    waiting: Vec<Sender<()>>,
}

impl FeedKnowledge {
    /// Takes all items, as the store confirmed them at `confirmed`; none if they
    /// may be old, which peers are not told before the store has confirmed them.
    pub fn take_all(&self, feed: SourceFeed, items: &SourceItems, confirmed: Option<Instant>) {
        let mut known = self.lock(feed);
        known.items.clear();
        known.changes.clear();
        known.floor = items.revision;
        known.apply(items, confirmed);
    }

    /// Takes changes since the revision before.
    pub fn take_changes(&self, feed: SourceFeed, items: &SourceItems, confirmed: Option<Instant>) {
        let mut known = self.lock(feed);
        for item in &items.items {
            known.changes.push_back((items.revision, item.clone()));
        }
        while known.changes.len() > MOST_CHANGES {
            if let Some((revision, _)) = known.changes.pop_front() {
                known.floor = known.floor.max(revision);
            }
        }
        known.apply(items, confirmed);
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
    pub fn answer(&self, ask: &FeedAsk, now: Instant) -> Option<FeedReply> {
        let known = self.lock(ask.feed);
        let (Some(revision), Some(confirmed)) = (known.revision, known.confirmed) else {
            return None;
        };
        let items = match ask.after {
            None => known.items.values().cloned().collect(),
            // The asker heard later news elsewhere; ours may still catch up.
            Some(after) if after > revision => return None,
            Some(after) if after < known.floor => return Some(FeedReply::HistoryGone),
            Some(after) => {
                let later = known.changes.iter().filter(|(at, _)| *at > after);
                let items: Vec<SourceItem> = later.map(|(_, item)| item.clone()).collect();
                if items.is_empty() {
                    return None;
                }
                items
            }
        };
        Some(told(items, revision, confirmed, now))
    }

    /// The answer to a peer that has waited: nothing has changed, or is known.
    pub fn unchanged(&self, feed: SourceFeed, now: Instant) -> FeedReply {
        let known = self.lock(feed);
        match (known.revision, known.confirmed) {
            (Some(revision), Some(confirmed)) => told(Vec::new(), revision, confirmed, now),
            _ => FeedReply::NotKnown,
        }
    }

    /// Gets a message at the feed's next change.
    pub fn next_change(&self, feed: SourceFeed) -> Receiver<()> {
        let (notify, notice) = async_channel::bounded(1);
        let mut known = self.lock(feed);
        known.waiting.retain(|waiting| !waiting.is_closed());
        known.waiting.push(notify);
        notice
    }

    fn lock(&self, feed: SourceFeed) -> MutexGuard<'_, KnownFeed> {
        lock(&self.feeds[feed as usize])
    }
}

impl KnownFeed {
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

fn told(items: Vec<SourceItem>, revision: u64, confirmed: Instant, now: Instant) -> FeedReply {
    FeedReply::Items {
        items: SourceItems { items, revision },
        age_ms: now.saturating_duration_since(confirmed).as_millis() as u64,
    }
}
