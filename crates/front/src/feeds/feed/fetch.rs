//! Queries origins until one answers: one after the other as long as the own items
//! are fresh, several at the same time once they are old.

use super::{FeedFollower, FetchedItems};
use crate::messages::feed_message::{FeedQuery, FeedReply, QueryPosition};
use crate::ports::{FeedSource, ListFreshness, SourceError, SourceItems};
use crate::store_revision::StoreRevision;
use camphorway_daemon::event;
use camphorway_daemon::sync::lock;
use camphorway_model::VmName;
use camphorway_policy::FeedOrigin;
use futures_lite::{FutureExt, StreamExt};
use futures_util::stream::FuturesUnordered;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Timeout of a query to a peer beyond its wait.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);
/// A list that may be stale is confirmed by a watch that waits this long for
/// changes.
const CONFIRM_WAIT: Duration = Duration::from_millis(300);

/// What the follower has, and asks for more than.
#[derive(Clone, Copy, Debug)]
pub(super) struct FetchRequest {
    /// Selects the changes after this revision; `None` selects all items.
    pub(super) revision: Option<StoreRevision>,
    /// The required freshness of a list.
    pub(super) freshness: ListFreshness,
    /// The time at which the store last confirmed the own items.
    pub(super) confirmed_at: Option<Instant>,
}

impl FetchRequest {
    /// A request for all items, as the store has them now.
    pub(super) fn latest_list(self) -> Self {
        Self {
            revision: None,
            freshness: ListFreshness::Latest,
            ..self
        }
    }

    /// Whether it is a request for all items, as the store has them now.
    pub(super) fn is_latest_list(&self) -> bool {
        self.revision.is_none() && self.freshness == ListFreshness::Latest
    }
}

/// A step of a running fetch.
enum FetchStep {
    Answered(FeedOrigin, Result<FetchedItems, SourceError>),
    /// Time to query the next origin as well.
    NextOrigin,
}

impl<Source> FeedFollower<Source>
where
    Source: FeedSource,
{
    /// Queries the origins in order and returns the first answer. If none answers,
    /// returns the store's error, or else the first peer's.
    pub(super) async fn fetch(
        &mut self,
        request: FetchRequest,
    ) -> Result<FetchedItems, SourceError> {
        let members = lock(&self.context.members).clone();
        let origins = self.order.origins(&members, self.context.clock.now());
        let mut failed = Vec::new();
        let result = self.query_origins(request, &origins, &mut failed).await;
        for (origin, cause) in failed {
            self.record_failure(&origin, &cause);
        }
        result
    }

    /// The origins that failed, or that another one overtook, are added to `failed`
    /// with the cause.
    async fn query_origins(
        &self,
        request: FetchRequest,
        origins: &[FeedOrigin],
        failed: &mut Vec<(FeedOrigin, String)>,
    ) -> Result<FetchedItems, SourceError> {
        let mut running = FuturesUnordered::new();
        let mut started = Vec::new();
        let mut waiting = origins.iter();
        let mut next_at = None;
        let mut last = None;
        loop {
            if next_at.is_none() {
                let Some(origin) = waiting.next() else {
                    return Err(last.unwrap_or(SourceError::HistoryGone { era: 0 }));
                };
                started.push(origin.clone());
                running.push(self.query(request, origin));
                next_at = Some(self.next_origin_at(request));
            }
            let due = async {
                match next_at {
                    Some(at) if waiting.len() > 0 => self.context.clock.sleep_until(at).await,
                    _ => std::future::pending().await,
                }
                FetchStep::NextOrigin
            };
            let answered = async {
                match running.next().await {
                    Some((origin, result)) => FetchStep::Answered(origin, result),
                    None => FetchStep::NextOrigin,
                }
            };
            match answered.or(due).await {
                FetchStep::NextOrigin => next_at = None,
                FetchStep::Answered(origin, Err(SourceError::Failed { cause, step, feed })) => {
                    started.retain(|other| *other != origin);
                    failed.push((origin.clone(), cause.clone()));
                    let error = SourceError::Failed { step, feed, cause };
                    // The store's error takes precedence over peers' errors.
                    if origin == FeedOrigin::Store || last.is_none() {
                        last = Some(error);
                    }
                    if running.is_empty() {
                        next_at = None;
                    }
                }
                FetchStep::Answered(origin, result) => {
                    let before = started.into_iter().take_while(|other| *other != origin);
                    failed.extend(before.map(|other| (other, format!("{origin} was faster"))));
                    return result;
                }
            }
        }
    }

    /// The time to query one more origin while others have not answered.
    fn next_origin_at(&self, request: FetchRequest) -> Instant {
        let now = self.context.clock.now();
        let next = now + self.times.origin_interval;
        match (request.confirmed_at, request.revision) {
            (Some(confirmed_at), _) => next.max(confirmed_at + self.times.max_age),
            // The first list is not confirmed yet.
            (None, Some(_)) => now + self.times.max_age,
            (None, None) => next,
        }
    }

    async fn query(
        &self,
        request: FetchRequest,
        origin: &FeedOrigin,
    ) -> (FeedOrigin, Result<FetchedItems, SourceError>) {
        let result = match origin {
            FeedOrigin::Store => self.query_store(request).await,
            FeedOrigin::Peer(vm, address) => self.query_peer(request, vm, *address).await,
        };
        (origin.clone(), result)
    }

    async fn query_store(&self, request: FetchRequest) -> Result<FetchedItems, SourceError> {
        let source = &self.context.source;
        let asked_at = self.context.clock.now();
        let (items, wait) = match request.revision {
            None => {
                let items = source.list(self.feed, request.freshness).await?;
                self.check_history(request, &items)?;
                (items, Duration::ZERO)
            }
            Some(revision) => {
                let wait = self.store_wait(request, asked_at);
                let items = source.watch(self.feed, revision, wait).await?;
                (items, wait)
            }
        };
        let may_be_stale =
            request.revision.is_none() && request.freshness == ListFreshness::MayBeStale;
        // The answer may have waited to be read, if this process stood still.
        let confirmed_at = self.context.clock.now().min(asked_at + wait);
        Ok(FetchedItems {
            items,
            confirmed_at: (!may_be_stale).then_some(confirmed_at),
            origin: FeedOrigin::Store,
        })
    }

    /// How long the store may wait for a change before it confirms that there is
    /// none. Old items are confirmed at once.
    fn store_wait(&self, request: FetchRequest, now: Instant) -> Duration {
        match request.confirmed_at {
            None => CONFIRM_WAIT,
            Some(at) if now.saturating_duration_since(at) >= self.times.max_age => Duration::ZERO,
            Some(_) => self.times.store_wait,
        }
    }

    /// Checks that a list is not of a history that the store has lost.
    fn check_history(&self, request: FetchRequest, items: &SourceItems) -> Result<(), SourceError> {
        let newest = self.context.feed_cache.position().era;
        if items.revision.era >= newest {
            return Ok(());
        }
        match request.freshness {
            ListFreshness::MayBeStale => Err(SourceError::HistoryGone { era: newest }),
            ListFreshness::Latest => Err(SourceError::Failed {
                step: "list",
                feed: self.feed,
                cause: format!("the answer is of era {}, not {newest}", items.revision.era),
            }),
        }
    }

    async fn query_peer(
        &self,
        request: FetchRequest,
        vm: &VmName,
        peer: SocketAddr,
    ) -> Result<FetchedItems, SourceError> {
        let failed = |cause: String| SourceError::Failed {
            step: "ask-peer",
            feed: self.feed,
            cause,
        };
        let position = self.position(request);
        let query = FeedQuery::new(self.feed, request.revision, position, self.times.peer_wait);
        let timeout = self.times.peer_wait + PEER_TIMEOUT;
        let reply = self.context.links.exchange(peer, &query, timeout).await;
        let reply = reply.map_err(|error| {
            // The peer may have restarted.
            self.context.links.disconnect(peer);
            failed(error.to_string())
        })?;
        let (items, age) = match reply {
            FeedReply::HistoryGone { era } => {
                let era = era.0.unwrap_or_default();
                return Err(SourceError::HistoryGone { era });
            }
            FeedReply::NotCached => {
                return Err(failed("the peer has no items of this history".to_owned()));
            }
            FeedReply::Items {
                items,
                revision,
                age_ms,
                era,
            } => {
                let era = era.0.unwrap_or_default();
                let revision = StoreRevision::new(era, revision);
                (
                    SourceItems { items, revision },
                    Duration::from_millis(age_ms),
                )
            }
        };
        let era = items.revision.era;
        if era < position.era {
            return Err(failed(format!("the peer's era {era} is over")));
        }
        if request.revision.is_some() && era > position.era {
            return Err(SourceError::HistoryGone { era });
        }
        if age > self.times.max_age {
            let age_ms = age.as_millis();
            return Err(failed(format!("the peer's items are {age_ms} ms old")));
        }
        let now = self.context.clock.now();
        Ok(FetchedItems {
            items,
            confirmed_at: Some(now.checked_sub(age).unwrap_or(now)),
            origin: FeedOrigin::Peer(vm.clone(), peer),
        })
    }

    /// What this front has; the changes that it asks for are of this history.
    fn position(&self, request: FetchRequest) -> QueryPosition {
        let newest = self.context.feed_cache.position();
        QueryPosition {
            era: request.revision.map_or(newest.era, |revision| revision.era),
            ..newest
        }
    }

    fn record_failure(&mut self, origin: &FeedOrigin, cause: &str) {
        event!(
            Info,
            "origin-passed-over",
            origin = origin,
            feed = self.feed,
            cause = cause
        );
        self.order.record_failure(origin, self.context.clock.now());
    }
}
