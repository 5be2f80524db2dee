//! A cache of each feed, from which peers' queries are answered: all items, the
//! latest changes, and their age.

use crate::messages::appended::Appended;
use crate::messages::feed_message::{FeedQuery, FeedReply, QueryPosition};
use crate::ports::{SourceFeed, SourceItem, SourceItems};
use crate::store_revision::StoreRevision;
use async_channel::{Receiver, Sender};
use camphorway_daemon::sync::lock;
use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Changes of a feed kept for peers that have the items before them.
const MAX_CHANGES: usize = 1_024;
/// The name of the configuration's item, the only one of its feed.
const CONFIGURATION_ITEM: &str = "";

/// The cached items and changes of all feeds.
#[derive(Debug, Default)]
pub struct FeedCache {
    feeds: [Mutex<CachedFeed>; SourceFeed::ALL.len()],
    /// The newest history of the store that this front has heard of.
    newest_era: AtomicU64,
}

#[derive(Debug, Default)]
struct CachedFeed {
    revision: Option<StoreRevision>,
    /// The time at which the store last confirmed the revision.
    confirmed_at: Option<Instant>,
    items: BTreeMap<String, SourceItem>,
    changes: VecDeque<(StoreRevision, SourceItem)>,
    /// Changes up to this revision are no longer kept.
    floor: StoreRevision,
    waiters: Vec<Sender<()>>,
}

impl FeedCache {
    /// Replaces all items, confirmed by the store at `confirmed_at`. With
    /// `None` they may be stale and aren't sent to peers until the store
    /// confirms them. A configuration that is newer than the listed one stays: the
    /// store may have lost it.
    pub fn replace_all(
        &self,
        feed: SourceFeed,
        items: &SourceItems,
        confirmed_at: Option<Instant>,
    ) {
        self.record_era(items.revision.era);
        let mut cached = self.lock(feed);
        cached
            .items
            .retain(|_, item| matches!(item, SourceItem::Configuration(_)));
        cached.changes.clear();
        cached.floor = items.revision;
        cached.revision = None;
        cached.confirmed_at = None;
        cached.apply(items, confirmed_at);
    }

    /// Applies the changes since the previous revision.
    pub fn apply_changes(
        &self,
        feed: SourceFeed,
        items: &SourceItems,
        confirmed_at: Option<Instant>,
    ) {
        let mut cached = self.lock(feed);
        if feed == SourceFeed::Configuration && !items.items.is_empty() {
            // Each configuration replaces the one before it as a whole.
            cached.changes.clear();
        }
        for item in &items.items {
            cached.changes.push_back((items.revision, item.clone()));
        }
        while cached.changes.len() > MAX_CHANGES {
            if let Some((revision, _)) = cached.changes.pop_front() {
                cached.floor = cached.floor.max(revision);
            }
        }
        cached.apply(items, confirmed_at);
    }

    /// Whether the store has confirmed the cached items.
    pub fn is_confirmed(&self, feed: SourceFeed) -> bool {
        self.lock(feed).confirmed_at.is_some()
    }

    /// The store's revision of the cached items; `None` before the first list.
    pub fn revision(&self, feed: SourceFeed) -> Option<StoreRevision> {
        self.lock(feed).revision
    }

    /// The cached item with this name.
    pub fn item(&self, feed: SourceFeed, name: &str) -> Option<SourceItem> {
        self.lock(feed).items.get(name).cloned()
    }

    /// Records that the store has had a history.
    pub fn record_era(&self, era: u64) {
        self.newest_era.fetch_max(era, Ordering::Relaxed);
    }

    /// What this front has, for its queries to peers.
    pub fn position(&self) -> QueryPosition {
        QueryPosition {
            era: self.newest_era.load(Ordering::Relaxed),
            version: self.lock(SourceFeed::Configuration).version(),
        }
    }

    /// The age of the cached items; `None` before the store has confirmed them.
    pub fn age(&self, feed: SourceFeed, now: Instant) -> Option<Duration> {
        let confirmed_at = self.lock(feed).confirmed_at?;
        Some(now.saturating_duration_since(confirmed_at))
    }

    /// Answers a peer's query at `now`; `None` if it should wait for a change.
    pub fn answer(&self, query: &FeedQuery, now: Instant) -> Option<FeedReply> {
        let cached = self.lock(query.feed);
        let (Some(revision), Some(confirmed_at)) = (cached.revision, cached.confirmed_at) else {
            return None;
        };
        let Appended(position) = query.position;
        if position.is_none() && revision.era > 0 {
            return Some(reply_to_earlier_release(query, revision));
        }
        let position = position.unwrap_or_default();
        if position.era > revision.era {
            return Some(FeedReply::NotCached);
        }
        let items = match query.after {
            None => cached.items.values().cloned().collect(),
            Some(_) if position.era < revision.era => return Some(history_gone(revision)),
            Some(_) if cached.version() > position.version => {
                cached.items.values().cloned().collect()
            }
            // The peer is ahead of this cache, which may still catch up.
            Some(after) if after > revision.number => return None,
            Some(after) if after < cached.floor.number => return Some(history_gone(revision)),
            Some(after) => {
                let later = cached.changes.iter().filter(|(at, _)| at.number > after);
                let items: Vec<SourceItem> = later.map(|(_, item)| item.clone()).collect();
                if items.is_empty() {
                    return None;
                }
                items
            }
        };
        Some(items_reply(items, revision, confirmed_at, now))
    }

    /// The reply to a query whose wait has ended: no changes, or `NotCached`.
    pub fn unchanged(&self, feed: SourceFeed, now: Instant) -> FeedReply {
        let cached = self.lock(feed);
        match (cached.revision, cached.confirmed_at) {
            (Some(revision), Some(confirmed_at)) => {
                items_reply(Vec::new(), revision, confirmed_at, now)
            }
            _ => FeedReply::NotCached,
        }
    }

    /// A channel that gets a message at the feed's next change or confirmation.
    pub fn next_change(&self, feed: SourceFeed) -> Receiver<()> {
        let (notify, notice) = async_channel::bounded(1);
        let mut cached = self.lock(feed);
        cached.waiters.retain(|waiter| !waiter.is_closed());
        cached.waiters.push(notify);
        notice
    }

    fn lock(&self, feed: SourceFeed) -> MutexGuard<'_, CachedFeed> {
        lock(&self.feeds[feed as usize])
    }
}

impl CachedFeed {
    /// The version of the configuration among the items; 0 if there is none.
    fn version(&self) -> u64 {
        match self.items.get(CONFIGURATION_ITEM) {
            Some(SourceItem::Configuration(table)) => table.version(),
            _ => 0,
        }
    }

    fn apply(&mut self, items: &SourceItems, confirmed_at: Option<Instant>) {
        for item in &items.items {
            match item {
                SourceItem::EarlierConfiguration(earlier) => match *earlier {},
                // Peers can't use an unreadable item; its reader has logged it.
                SourceItem::ServerGone(_)
                | SourceItem::FrontGone(_)
                | SourceItem::Released(_)
                | SourceItem::EvacuationEnded(_)
                | SourceItem::Unreadable { .. } => {
                    self.items.remove(&item.name());
                }
                // A version that was in force isn't replaced by an older one.
                SourceItem::Configuration(table) if table.version() < self.version() => {}
                SourceItem::Configuration(_)
                | SourceItem::Server(_)
                | SourceItem::Front(_)
                | SourceItem::Quarantined(_)
                | SourceItem::QuarantinedUntil(_)
                | SourceItem::Evacuated(_) => {
                    self.items.insert(item.name(), item.clone());
                }
            }
        }
        // A peer that answers may be behind.
        self.revision = self.revision.max(Some(items.revision));
        let is_confirmation = confirmed_at > self.confirmed_at;
        self.confirmed_at = self.confirmed_at.max(confirmed_at);
        if !items.items.is_empty() || is_confirmation {
            for waiter in self.waiters.drain(..) {
                // Fails only if the peer's query has timed out.
                let _ = waiter.try_send(());
            }
        }
    }
}

fn items_reply(
    items: Vec<SourceItem>,
    revision: StoreRevision,
    confirmed_at: Instant,
    now: Instant,
) -> FeedReply {
    let age = now.saturating_duration_since(confirmed_at);
    FeedReply::items(SourceItems { items, revision }, age)
}

/// An earlier release names no history, so that its revision may be of another one: it
/// reads from the store, and lists anew if its revision can't be of this history.
fn reply_to_earlier_release(query: &FeedQuery, revision: StoreRevision) -> FeedReply {
    if query.after.is_some_and(|after| after > revision.number) {
        return history_gone(revision);
    }
    FeedReply::NotCached
}

fn history_gone(revision: StoreRevision) -> FeedReply {
    FeedReply::HistoryGone {
        era: Appended(Some(revision.era)),
    }
}
