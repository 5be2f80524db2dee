//! Follows one feed: lists its items, then reads changes, each time from the
//! preferred origin that answers.
//!
//! An origin may be silent for longer than a change may take. So a front whose own
//! items have become old queries further origins without waiting for the ones that
//! it has asked.

mod fetch;

use crate::feeds::feed_cache::FeedCache;
use crate::ports::{FeedSource, ListFreshness, SourceError, SourceFeed, SourceItems};
use async_channel::Sender;
use camphorway_daemon::clock::DaemonClock;
use camphorway_daemon::event;
use camphorway_daemon::peer::link::PeerLinks;
use camphorway_daemon::sync::lock;
use camphorway_model::FrontRecord;
use camphorway_policy::{FeedOrder, FeedOrigin};
use fetch::FetchRequest;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Pause after a change, so that changes in quick succession are read together.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(250);
const MAX_SETTLING_TIME: Duration = Duration::from_millis(2_500);
const SETTLING_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Once a front has discovered the others, they discover it within this time.
const DISCOVERY_MARGIN: Duration = Duration::from_millis(600);

/// An update of a feed, for the control thread.
#[derive(Debug)]
pub enum FeedUpdate {
    /// All items of a feed.
    Listed(SourceFeed, SourceItems),
    /// The registered fronts, listed before they are followed.
    ListedEarly(Vec<FrontRecord>),
    /// Items that changed.
    Changed(SourceItems),
    /// The last attempt failed at every origin.
    Lost(SourceFeed),
    /// An origin answers again.
    Regained(SourceFeed),
}

/// The waits and the maximum age of a feed.
#[derive(Clone, Copy, Debug)]
pub struct FeedTimes {
    /// The store's maximum wait for a change.
    pub store_wait: Duration,
    /// A peer's maximum wait for a change or a confirmation.
    pub peer_wait: Duration,
    /// Once the own items are older, further origins are queried at the same time;
    /// a peer's items that are older are not used.
    pub max_age: Duration,
    /// The time between the starts of these further queries.
    pub origin_interval: Duration,
    /// After its first list a front waits at most this long for other fronts to be
    /// registered, since it queries those instead of the store.
    pub settling_time: Duration,
}

impl FeedTimes {
    /// Times with which a change arrives within `bound`, also if all but one of a
    /// few origins are silent.
    pub fn within(bound: Duration) -> Self {
        Self {
            store_wait: bound / 3,
            // Longer than a peer takes to have its own items confirmed.
            peer_wait: bound.mul_f64(0.45),
            max_age: bound / 2,
            origin_interval: bound / 20,
            settling_time: MAX_SETTLING_TIME.min(bound.mul_f64(0.7)),
        }
    }
}

/// State shared by followers.
#[derive(Debug)]
pub struct FeedContext<Source> {
    /// The store.
    pub source: Arc<Source>,
    /// Connections to peers.
    pub links: Arc<PeerLinks>,
    /// The registered fronts.
    pub members: Arc<Mutex<Vec<FrontRecord>>>,
    /// The cached items, from which peers' queries are answered.
    pub feed_cache: Arc<FeedCache>,
    /// Receives the updates of all feeds.
    pub updates: Sender<FeedUpdate>,
    /// The front's clock.
    pub clock: DaemonClock,
    /// Cancelled to stop the followers.
    pub stop: CancellationToken,
}

/// Follows one feed.
#[derive(Debug)]
pub struct FeedFollower<Source> {
    /// State shared by followers.
    pub context: Arc<FeedContext<Source>>,
    /// The feed.
    pub feed: SourceFeed,
    /// The feed's waits and maximum age.
    pub times: FeedTimes,
    /// Orders the origins.
    pub order: FeedOrder,
    /// When changes may wait until other fronts are registered.
    pub settling: SettlingPoint,
}

/// When a follower that has just started waits for other fronts to be registered,
/// since it queries those instead of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SettlingPoint {
    /// After the first list, which may be stale.
    FirstList,
    /// After the store has confirmed the first list or told what has changed.
    Confirmation,
    /// Not at all.
    Never,
}

/// Items, and when the store confirmed them; `None` if they may be stale.
#[derive(Debug)]
struct FetchedItems {
    items: SourceItems,
    confirmed_at: Option<Instant>,
    origin: FeedOrigin,
}

impl<Source> FeedFollower<Source>
where
    Source: FeedSource,
{
    /// Follows the feed until stopped.
    pub async fn run(mut self) {
        let mut backoff = INITIAL_BACKOFF;
        // The changes after the first list correct its stale items.
        let mut request = FetchRequest {
            revision: None,
            freshness: ListFreshness::MayBeStale,
            confirmed_at: None,
        };
        let mut is_lost = false;
        while !self.context.stop.is_cancelled() {
            request = self.in_newest_history(request);
            match self.fetch(request).await {
                Ok(fetched) => {
                    backoff = INITIAL_BACKOFF;
                    if std::mem::take(&mut is_lost) {
                        event!(Info, "store-regained", feed = self.feed);
                        self.send_update(FeedUpdate::Regained(self.feed)).await;
                    }
                    request = self.apply(fetched, request).await;
                }
                Err(SourceError::HistoryGone { era }) => {
                    event!(Info, "store-history-gone", feed = self.feed, era = era);
                    self.context.feed_cache.record_era(era);
                    if request.is_latest_list() {
                        self.context.clock.sleep(backoff).await;
                        backoff = (backoff * 2).min(MAX_BACKOFF);
                    }
                    request = request.latest_list();
                }
                Err(error) => {
                    if !is_lost {
                        event!(Warn, "store-lost", feed = self.feed, error = error);
                    }
                    is_lost = true;
                    self.send_update(FeedUpdate::Lost(self.feed)).await;
                    // All fronts lose the store at once; jitter spreads their retries.
                    let pause = backoff.mul_f64(0.5 + fastrand::f64());
                    self.context.clock.sleep(pause).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
    }

    /// The request, or one for all items if its revision belongs to a history that the
    /// store has lost.
    fn in_newest_history(&self, request: FetchRequest) -> FetchRequest {
        let newest = self.context.feed_cache.position().era;
        match request.revision {
            Some(revision) if revision.era < newest => request.latest_list(),
            Some(_) | None => request,
        }
    }

    /// Waits until other fronts are registered. When all start at once, each
    /// would otherwise read every change from the store.
    async fn wait_for_members(&self) {
        let clock = &self.context.clock;
        let deadline = clock.now() + self.times.settling_time;
        while lock(&self.context.members).is_empty()
            && clock.now() < deadline
            && !self.context.stop.is_cancelled()
        {
            clock.sleep(SETTLING_POLL_INTERVAL).await;
        }
        clock
            .sleep_until(deadline.min(clock.now() + DISCOVERY_MARGIN))
            .await;
    }

    /// Caches and publishes items, and pauses if more are better read together.
    /// Returns the next request.
    async fn apply(&self, fetched: FetchedItems, request: FetchRequest) -> FetchRequest {
        self.log_change(&fetched);
        let FetchedItems {
            items,
            confirmed_at,
            ..
        } = fetched;
        let next = FetchRequest {
            revision: Some(items.revision.max(request.revision.unwrap_or_default())),
            freshness: ListFreshness::Latest,
            confirmed_at: confirmed_at.max(request.confirmed_at),
        };
        let feed_cache = &self.context.feed_cache;
        if request.revision.is_none() {
            feed_cache.replace_all(self.feed, &items, confirmed_at);
            self.send_update(FeedUpdate::Listed(self.feed, items)).await;
            if confirmed_at.is_none() && self.settling == SettlingPoint::FirstList {
                self.wait_for_members().await;
            }
            return next;
        }
        feed_cache.apply_changes(self.feed, &items, confirmed_at);
        let is_change = !items.items.is_empty();
        if is_change {
            self.send_update(FeedUpdate::Changed(items)).await;
        }
        if request.confirmed_at.is_none() && self.settling == SettlingPoint::Confirmation {
            self.wait_for_members().await;
        } else if is_change {
            self.context.clock.sleep(CHANGE_BATCH_DELAY).await;
        }
        next
    }

    fn log_change(&self, fetched: &FetchedItems) {
        let FetchedItems {
            items,
            confirmed_at,
            origin,
        } = fetched;
        if items.items.is_empty() {
            return;
        }
        let now = self.context.clock.now();
        let age = confirmed_at.map(|at| now.saturating_duration_since(at).as_millis());
        event!(
            Info,
            "feed-changed",
            feed = self.feed,
            origin = origin,
            revision = items.revision,
            items = items.items.len(),
            age_ms = age.map_or_else(|| "unknown".to_owned(), |age| age.to_string())
        );
    }

    async fn send_update(&self, update: FeedUpdate) {
        // The channel is closed only when the front stops.
        let _ = self.context.updates.send(update).await;
    }
}
