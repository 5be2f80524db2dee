//! Queries for items between fronts, and the replies.

use crate::messages::appended::Appended;
use crate::ports::{SourceFeed, SourceItem, SourceItems};
use crate::store_revision::StoreRevision;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A peer's query for items of a feed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FeedQuery {
    /// The feed.
    pub feed: SourceFeed,
    /// Selects the changes after this revision of [`QueryPosition::era`]; `None` selects
    /// all items.
    pub after: Option<u64>,
    /// The maximum wait for a change, in milliseconds.
    pub wait_ms: u64,
    /// What the sender has; missing in earlier releases.
    pub position: Appended<QueryPosition>,
}

/// What the sender of a query has.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueryPosition {
    /// The newest history of the store that it knows.
    pub era: u64,
    /// The version of its configuration; 0 if it has none.
    pub version: u64,
}

/// The reply to a peer's query.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum FeedReply {
    /// Items of the feed.
    Items {
        /// The items.
        items: Vec<SourceItem>,
        /// The store's revision within the history.
        revision: u64,
        /// The time since the store confirmed them, in milliseconds.
        age_ms: u64,
        /// The history; missing in earlier releases.
        era: Appended<u64>,
    },
    /// The changes after the revision are no longer kept; query all items.
    HistoryGone {
        /// The history that the sender follows; missing in earlier releases.
        era: Appended<u64>,
    },
    /// No confirmed items of the history are cached.
    NotCached,
}

impl FeedQuery {
    /// A query for the changes after `after`, or for all items, by a front that has
    /// `position`.
    pub fn new(
        feed: SourceFeed,
        after: Option<StoreRevision>,
        position: QueryPosition,
        wait: Duration,
    ) -> Self {
        Self {
            feed,
            after: after.map(|revision| revision.number),
            wait_ms: wait.as_millis() as u64,
            position: Appended(Some(position)),
        }
    }
}

impl FeedReply {
    /// A reply with items of `age`.
    pub fn items(items: SourceItems, age: Duration) -> Self {
        Self::Items {
            items: items.items,
            revision: items.revision.number,
            age_ms: age.as_millis() as u64,
            era: Appended(Some(items.revision.era)),
        }
    }
}
