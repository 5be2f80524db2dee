//! Follows one feed of the source: the list, then changes, again and again.

use crate::ports::{SourceError, SourceFeed, SourceItems, TierSource};
use async_channel::Sender;
use camphorway_daemon::clock::DaemonClock;
use camphorway_daemon::event;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

const FIRST_BACKOFF: Duration = Duration::from_millis(50);
const LONGEST_BACKOFF: Duration = Duration::from_millis(800);

/// What is learned from a feed.
#[derive(Debug)]
pub enum FeedNews {
    /// All items of a feed.
    Listed(SourceFeed, SourceItems),
    /// Items that changed.
    Changed(SourceItems),
    /// The source did not answer.
    Lost(SourceFeed),
    /// The source answers again.
    Regained(SourceFeed),
}

/// Follows one feed.
#[derive(Debug)]
pub struct FeedFollower<Source> {
    /// Where items come from.
    pub source: Arc<Source>,
    /// The feed.
    pub feed: SourceFeed,
    /// How long one watch waits.
    pub wait: Duration,
    /// Takes what is learned.
    pub news: Sender<FeedNews>,
    /// The daemon's clock.
    pub clock: DaemonClock,
    /// Ends it.
    pub stop: CancellationToken,
}

impl<Source> FeedFollower<Source>
where
    Source: TierSource,
{
    /// Runs until stopped.
    pub async fn run(self) {
        let mut backoff = FIRST_BACKOFF;
        let mut revision = None;
        let mut is_lost = false;
        while !self.stop.is_cancelled() {
            match self.step(revision).await {
                Ok(news) => {
                    backoff = FIRST_BACKOFF;
                    if std::mem::take(&mut is_lost) {
                        event!(Info, "store-regained", feed = self.feed);
                        self.tell(FeedNews::Regained(self.feed)).await;
                    }
                    revision = Some(self.take(news, revision).await);
                }
                Err(SourceError::HistoryGone) => {
                    event!(Info, "store-history-gone", feed = self.feed);
                    revision = None;
                }
                Err(error) => {
                    if !is_lost {
                        event!(Warn, "store-lost", feed = self.feed, error = error);
                    }
                    is_lost = true;
                    self.tell(FeedNews::Lost(self.feed)).await;
                    // All daemons lose the store at once; jitter spreads their return.
                    self.clock
                        .sleep(backoff.mul_f64(0.5 + fastrand::f64()))
                        .await;
                    backoff = (backoff * 2).min(LONGEST_BACKOFF);
                }
            }
        }
    }

    async fn step(&self, revision: Option<u64>) -> Result<SourceItems, SourceError> {
        match revision {
            None => self.source.list(self.feed).await,
            Some(revision) => self.source.watch(self.feed, revision, self.wait).await,
        }
    }

    async fn take(&self, items: SourceItems, before: Option<u64>) -> u64 {
        let revision = items.revision;
        if before.is_none() {
            self.tell(FeedNews::Listed(self.feed, items)).await;
        } else if !items.items.is_empty() {
            self.tell(FeedNews::Changed(items)).await;
        }
        revision
    }

    async fn tell(&self, news: FeedNews) {
        // The channel closes only when the daemon ends.
        let _ = self.news.send(news).await;
    }
}
