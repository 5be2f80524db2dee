//! Writes the content that this front quarantines to the store, and follows the other
//! fronts.

use crate::feeds::feed::{FeedContext, FeedFollower, FeedUpdate};
use crate::feeds::registration::{OwnRegistration, retry_pause};
use crate::ports::{FeedSource, ListFreshness, QuarantineRecord, SourceFeed, SourceItem};
use crate::servers::crash_guard::CrashGuard;
use async_channel::Receiver;
use camphorway_daemon::event;
use camphorway_daemon::sync::lock;
use camphorway_policy::{ContentHash, FeedOrder};
use futures_lite::{FutureExt, future};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// All fronts may start and register at once. Following them only after this
/// time avoids reordering origins at each registration.
const REGISTRATION_PERIOD: Duration = Duration::from_millis(1_200);
/// Fronts that start at once have registered within this time.
const EARLY_LIST_DELAY: Duration = Duration::from_millis(300);
const EARLY_LIST_SPREAD: Duration = Duration::from_millis(200);
/// A front leaves it to each front before it for this long to write content again.
const RESTORE_TURN: Duration = Duration::from_millis(1_500);
const MAX_RESTORE_TURNS: usize = 5;
/// Quarantined content stays in the store this long, as long as fronts remember it.
const RELEASE_AFTER: Duration = Duration::from_secs(660);

/// Whether a front that starts lists the others before it follows them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartList {
    /// It does, since requests wait until the fronts know each other.
    Early,
    /// It doesn't.
    Followed,
}

/// Registers this front, then follows fronts and quarantined content until
/// stopped.
pub async fn run<Source>(
    feed_context: Arc<FeedContext<Source>>,
    registration: Arc<OwnRegistration>,
    start_list: StartList,
    fronts: FeedFollower<Source>,
    quarantined: FeedFollower<Source>,
) where
    Source: FeedSource,
{
    let fronts = async {
        registration.register(&feed_context).await;
        let followed_at = feed_context.clock.now() + REGISTRATION_PERIOD;
        if start_list == StartList::Early {
            list_early(&feed_context).await;
        }
        let jitter = REGISTRATION_PERIOD.mul_f64(0.5 * fastrand::f64());
        feed_context.clock.sleep_until(followed_at + jitter).await;
        future::zip(fronts.run(), registration.keep(&feed_context)).await;
    };
    // What others quarantined before this start must be known at once.
    future::zip(fronts, quarantined.run()).await;
}

/// Lists the fronts that have started together with this one. A list that fails is not
/// repeated: the fronts will be followed soon.
async fn list_early<Source>(feed_context: &FeedContext<Source>)
where
    Source: FeedSource,
{
    let jitter = EARLY_LIST_SPREAD.mul_f64(fastrand::f64());
    feed_context.clock.sleep(EARLY_LIST_DELAY + jitter).await;
    let listing = feed_context
        .source
        .list(SourceFeed::Fronts, ListFreshness::Latest);
    match feed_context
        .clock
        .timeout(REGISTRATION_PERIOD, listing)
        .await
    {
        Some(Ok(items)) => {
            let records = items.items.into_iter().filter_map(|item| match item {
                SourceItem::Front(record) => Some(record),
                _ => None,
            });
            let update = FeedUpdate::ListedEarly(records.collect());
            // The channel is closed only when the front stops.
            let _ = feed_context.updates.send(update).await;
        }
        Some(Err(error)) => event!(Info, "fronts-not-listed-early", error = error),
        None => event!(Info, "fronts-not-listed-early", error = "timeout"),
    }
}

/// Writes content that this front quarantines to the store, until stopped.
pub async fn publish_quarantined<Source>(
    feed_context: Arc<FeedContext<Source>>,
    guard: Arc<CrashGuard>,
    quarantined: Receiver<ContentHash>,
) where
    Source: FeedSource,
{
    while let Ok(content) = quarantined.recv().await {
        write_quarantine(&feed_context, &guard, content).await;
    }
}

/// Writes content again that is quarantined and that the store has lost, until stopped.
/// The fronts of each failure domain take turns; whoever finds it written leaves it.
pub async fn restore_quarantined<Source>(
    feed_context: Arc<FeedContext<Source>>,
    order: FeedOrder,
    guard: Arc<CrashGuard>,
    lost: Receiver<ContentHash>,
) where
    Source: FeedSource,
{
    while let Ok(content) = lost.recv().await {
        let place = order.place(&lock(&feed_context.members));
        let turn = RESTORE_TURN * place.min(MAX_RESTORE_TURNS) as u32;
        feed_context.clock.sleep(turn + retry_pause()).await;
        write_quarantine(&feed_context, &guard, content).await;
    }
}

/// Writes the quarantine of `content`, unless the store has it. A write that fails is
/// repeated as long as the content is quarantined.
async fn write_quarantine<Source>(
    feed_context: &FeedContext<Source>,
    guard: &CrashGuard,
    content: ContentHash,
) where
    Source: FeedSource,
{
    while !feed_context.stop.is_cancelled()
        && let Some(record) = guard.record_to_store(content)
        && !is_stored(feed_context, &record)
    {
        match feed_context.source.quarantine(&record).await {
            Ok(()) => {
                event!(Info, "content-told", content = content.0);
                return;
            }
            Err(error) => {
                event!(Warn, "content-not-told", content = content.0, error = error);
            }
        }
        feed_context.clock.sleep(retry_pause()).await;
    }
}

/// Whether the store has a quarantine that lasts as long.
fn is_stored<Source>(feed_context: &FeedContext<Source>, record: &QuarantineRecord) -> bool {
    let name = record.content.0.to_string();
    let stored = feed_context.feed_cache.item(SourceFeed::Quarantined, &name);
    match stored {
        Some(SourceItem::QuarantinedUntil(stored)) => stored.lasts_as_long_as(record),
        Some(_) | None => false,
    }
}

/// Deletes quarantined content from the store after `RELEASE_AFTER`. The first
/// front of each failure domain does so, whichever front wrote it.
pub async fn release_quarantined<Source>(
    feed_context: Arc<FeedContext<Source>>,
    order: FeedOrder,
    quarantined: Receiver<ContentHash>,
) where
    Source: FeedSource,
{
    let mut waiting: VecDeque<(Instant, ContentHash)> = VecDeque::new();
    loop {
        let next = waiting.front().map(|(at, _)| *at);
        let due = async {
            match next {
                Some(at) => feed_context.clock.sleep_until(at).await,
                None => std::future::pending().await,
            }
            Ok(None)
        };
        let received = async { quarantined.recv().await.map(Some) };
        match received.or(due).await {
            // The front stops.
            Err(_) => return,
            Ok(Some(content)) => {
                // A later quarantine of it replaces the one before.
                waiting.retain(|(_, other)| *other != content);
                waiting.push_back((feed_context.clock.now() + RELEASE_AFTER, content));
            }
            Ok(None) => {
                let expired = waiting.pop_front();
                let is_first = order.is_first(&lock(&feed_context.members));
                if let Some((_, content)) = expired.filter(|_| is_first)
                    && let Err(error) = feed_context.source.release(content).await
                {
                    event!(
                        Warn,
                        "content-not-released",
                        content = content.0,
                        error = error
                    );
                }
            }
        }
    }
}
