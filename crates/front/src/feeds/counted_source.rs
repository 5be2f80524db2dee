//! Counts and logs the calls to the store, by name and result.

use crate::metrics::FrontMetrics;
use crate::ports::{
    FeedSource, ListFreshness, QuarantineRecord, SourceError, SourceFeed, SourceItems,
};
use crate::store_revision::StoreRevision;
use camphorway_daemon::event;
use camphorway_model::FrontRecord;
use camphorway_policy::ContentHash;
use std::sync::Arc;
use std::time::Duration;

/// A store client whose calls are counted and logged.
#[derive(Debug)]
pub struct CountedSource<Source> {
    source: Source,
    metrics: Arc<FrontMetrics>,
}

impl<Source> CountedSource<Source> {
    /// Wraps `source` to count its calls.
    pub fn new(source: Source, metrics: &Arc<FrontMetrics>) -> Self {
        Self {
            source,
            metrics: Arc::clone(metrics),
        }
    }

    fn counted<Output>(
        &self,
        step: &str,
        feed: SourceFeed,
        result: Result<Output, SourceError>,
    ) -> Result<Output, SourceError> {
        let end = match &result {
            Ok(_) => "done",
            Err(error) => error.kind(),
        };
        self.metrics.count_store_call(step, end);
        event!(Debug, "store-called", step = step, feed = feed, end = end);
        result
    }
}

impl<Source> FeedSource for CountedSource<Source>
where
    Source: FeedSource,
{
    async fn list(
        &self,
        feed: SourceFeed,
        freshness: ListFreshness,
    ) -> Result<SourceItems, SourceError> {
        self.counted("list", feed, self.source.list(feed, freshness).await)
    }

    async fn watch(
        &self,
        feed: SourceFeed,
        revision: StoreRevision,
        wait: Duration,
    ) -> Result<SourceItems, SourceError> {
        self.counted("watch", feed, self.source.watch(feed, revision, wait).await)
    }

    async fn register(&self, front: &FrontRecord, may_exist: bool) -> Result<(), SourceError> {
        let registered = self.source.register(front, may_exist).await;
        self.counted("register", SourceFeed::Fronts, registered)
    }

    async fn deregister(&self, front: &FrontRecord) -> Result<(), SourceError> {
        self.counted(
            "deregister",
            SourceFeed::Fronts,
            self.source.deregister(front).await,
        )
    }

    async fn quarantine(&self, record: &QuarantineRecord) -> Result<(), SourceError> {
        self.counted(
            "hold",
            SourceFeed::Quarantined,
            self.source.quarantine(record).await,
        )
    }

    async fn release(&self, content: ContentHash) -> Result<(), SourceError> {
        self.counted(
            "release",
            SourceFeed::Quarantined,
            self.source.release(content).await,
        )
    }
}
