//! Follows one feed: lists its items, then reads changes, each time from the
//! preferred origin that answers.

use crate::feed_cache::{FeedCache, FeedQuery, FeedReply};
use crate::ports::{FeedSource, ListFreshness, SourceError, SourceFeed, SourceItems};
use async_channel::Sender;
use camphorway_daemon::clock::DaemonClock;
use camphorway_daemon::event;
use camphorway_daemon::peer::link::PeerLinks;
use camphorway_daemon::sync::lock;
use camphorway_model::{FrontRecord, VmName};
use camphorway_policy::{FeedOrder, FeedOrigin};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Pause after a change, so that changes in quick succession are read together.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(250);
/// Timeout of a query to a peer beyond its wait for a change; then the next
/// origin is tried.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// After its first list a front waits at most this long for other fronts to be
/// registered, since it queries those instead of the store.
const MAX_SETTLING_TIME: Duration = Duration::from_millis(2_500);
const SETTLING_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Once a front has discovered the others, they discover it within this time.
const DISCOVERY_MARGIN: Duration = Duration::from_millis(600);

/// A list that may be stale is confirmed by a watch that waits this long for
/// changes.
const CONFIRM_WAIT: Duration = Duration::from_millis(300);

/// An update of a feed, for the control thread.
#[derive(Debug)]
pub enum FeedUpdate {
    /// All items of a feed.
    Listed(SourceFeed, SourceItems),
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
    /// A peer's maximum wait for a change.
    pub peer_wait: Duration,
    /// A peer's items are too old beyond this age.
    pub max_age: Duration,
}

impl FeedTimes {
    /// Times with which a change arrives within `bound`.
    pub fn within(bound: Duration) -> Self {
        Self {
            store_wait: bound / 3,
            peer_wait: bound / 6,
            max_age: bound.mul_f64(0.7),
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
    /// Whether changes may wait until other fronts are registered.
    pub may_wait_for_members: bool,
}

/// Items, and when the store confirmed them; `None` if they may be stale.
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
        let mut revision = None;
        // The changes after the first list correct its stale items.
        let mut freshness = ListFreshness::MayBeStale;
        let mut is_lost = false;
        while !self.context.stop.is_cancelled() {
            match self.fetch(revision, freshness).await {
                Ok(fetched) => {
                    backoff = INITIAL_BACKOFF;
                    if std::mem::take(&mut is_lost) {
                        event!(Info, "store-regained", feed = self.feed);
                        self.send_update(FeedUpdate::Regained(self.feed)).await;
                    }
                    freshness = ListFreshness::Latest;
                    let is_first = revision.is_none();
                    let is_change = !is_first && !fetched.items.items.is_empty();
                    revision = Some(self.apply(fetched, revision).await);
                    if is_first && self.may_wait_for_members {
                        self.wait_for_members().await;
                    } else if is_change {
                        self.context.clock.sleep(CHANGE_BATCH_DELAY).await;
                    }
                }
                Err(SourceError::HistoryGone) => {
                    event!(Info, "store-history-gone", feed = self.feed);
                    revision = None;
                    freshness = ListFreshness::Latest;
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

    /// Waits until other fronts are registered. When all start at once, each
    /// would otherwise read every change from the store.
    async fn wait_for_members(&self) {
        let clock = &self.context.clock;
        let deadline = clock.now() + MAX_SETTLING_TIME.min(self.times.max_age);
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

    /// Queries the origins in order. If none answers, returns the store's
    /// error, or else the first peer's.
    async fn fetch(
        &mut self,
        revision: Option<u64>,
        freshness: ListFreshness,
    ) -> Result<FetchedItems, SourceError> {
        let members = lock(&self.context.members).clone();
        let mut last = None;
        for origin in self.order.origins(&members, self.context.clock.now()) {
            let result = match &origin {
                FeedOrigin::Store => self.query_store(revision, freshness).await,
                FeedOrigin::Peer(vm, address) => self.query_peer(vm, *address, revision).await,
            };
            match (result, origin) {
                (Err(SourceError::Failed { cause, step, feed }), FeedOrigin::Peer(vm, _)) => {
                    self.record_peer_failure(&vm, &cause);
                    // The store's error takes precedence over peers' errors.
                    last.get_or_insert(SourceError::Failed { step, feed, cause });
                }
                (Err(error @ SourceError::Failed { .. }), FeedOrigin::Store) => last = Some(error),
                (result, _) => return result,
            }
        }
        Err(last.unwrap_or(SourceError::HistoryGone))
    }

    async fn query_store(
        &self,
        revision: Option<u64>,
        freshness: ListFreshness,
    ) -> Result<FetchedItems, SourceError> {
        let source = &self.context.source;
        let items = match revision {
            None => source.list(self.feed, freshness).await?,
            Some(revision) => {
                let is_confirmed = self.context.feed_cache.is_confirmed(self.feed);
                let wait = if is_confirmed {
                    self.times.store_wait
                } else {
                    CONFIRM_WAIT
                };
                source.watch(self.feed, revision, wait).await?
            }
        };
        let may_be_stale = revision.is_none() && freshness == ListFreshness::MayBeStale;
        let confirmed_at = (!may_be_stale).then(|| self.context.clock.now());
        Ok(FetchedItems {
            items,
            confirmed_at,
            origin: FeedOrigin::Store,
        })
    }

    async fn query_peer(
        &self,
        vm: &VmName,
        peer: SocketAddr,
        revision: Option<u64>,
    ) -> Result<FetchedItems, SourceError> {
        let failed = |cause: String| SourceError::Failed {
            step: "ask-peer",
            feed: self.feed,
            cause,
        };
        let query = FeedQuery {
            feed: self.feed,
            after: revision,
            wait_ms: self.times.peer_wait.as_millis() as u64,
        };
        let timeout = self.times.peer_wait + PEER_TIMEOUT;
        let reply = self.context.links.exchange(peer, &query, timeout).await;
        let reply = reply.map_err(|error| {
            // The peer may have restarted.
            self.context.links.disconnect(peer);
            failed(error.to_string())
        })?;
        match reply {
            FeedReply::HistoryGone => Err(SourceError::HistoryGone),
            FeedReply::NotCached => Err(failed("the peer has no items yet".to_owned())),
            FeedReply::Items { items, age_ms } => {
                let age = Duration::from_millis(age_ms);
                if age > self.times.max_age {
                    return Err(failed(format!("the peer's items are {age_ms} ms old")));
                }
                let now = self.context.clock.now();
                let confirmed_at = Some(now.checked_sub(age).unwrap_or(now));
                Ok(FetchedItems {
                    items,
                    confirmed_at,
                    origin: FeedOrigin::Peer(vm.clone(), peer),
                })
            }
        }
    }

    fn record_peer_failure(&mut self, peer: &VmName, cause: &str) {
        event!(
            Info,
            "peer-passed-over",
            peer = peer,
            feed = self.feed,
            cause = cause
        );
        self.order.record_failure(peer, self.context.clock.now());
    }

    /// Caches and publishes items. Returns the revision to continue from.
    async fn apply(&self, fetched: FetchedItems, before: Option<u64>) -> u64 {
        self.log_change(&fetched);
        let FetchedItems {
            items,
            confirmed_at,
            ..
        } = fetched;
        let revision = items.revision.max(before.unwrap_or_default());
        let feed_cache = &self.context.feed_cache;
        if before.is_none() {
            feed_cache.replace_all(self.feed, &items, confirmed_at);
            self.send_update(FeedUpdate::Listed(self.feed, items)).await;
        } else {
            feed_cache.apply_changes(self.feed, &items, confirmed_at);
            if !items.items.is_empty() {
                self.send_update(FeedUpdate::Changed(items)).await;
            }
        }
        revision
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
