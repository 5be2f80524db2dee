//! Finds the workspace that sent a request by the key in its head.
//!
//! Each request is checked against the configuration in force, also on a connection that
//! was accepted under an earlier one.

use crate::feeds::feed_cache::FeedCache;
use crate::ports::{CallerKey, RequestHead, SourceFeed, WireDialect};
use crate::settings::QuotaBounds;
use camphorway_model::{RequestRoute, RouteTable, Workspace};
use derive_more::Display;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Why a request is not served for its key.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum KeyFault {
    /// The request has no key.
    #[display("missing")]
    Missing,
    /// The request has no readable key, or several.
    #[display("malformed")]
    Malformed,
    /// No workspace of the configuration has the key.
    #[display("unknown")]
    Unknown,
    /// The configuration has not been confirmed for so long that the key may have been
    /// taken away.
    #[display("unconfirmed")]
    Unconfirmed,
}

/// Recognizes callers by their keys.
#[derive(Debug)]
pub struct KeyCheck {
    feed_cache: Arc<FeedCache>,
    /// The age of the configuration up to which its keys are accepted; `None` if keys
    /// are accepted at any age.
    max_age: Option<Duration>,
}

impl KeyCheck {
    /// A check against configurations whose age is read from `feed_cache`.
    pub fn new(feed_cache: &Arc<FeedCache>, bounds: Option<&QuotaBounds>) -> Self {
        let strict = bounds.filter(|bounds| bounds.is_revoke_strict);
        Self {
            feed_cache: Arc::clone(feed_cache),
            max_age: strict.and_then(|bounds| bounds.revoke_bound),
        }
    }

    /// The workspace that sent a request, if the configuration has workspaces. Its key
    /// is removed from the head, and its workspace is named there instead.
    ///
    /// # Errors
    /// Returns why the request must not be served.
    pub fn identify<Wire>(
        &self,
        wire: &Wire,
        head: &mut RequestHead,
        route: &RequestRoute,
        routes: &RouteTable,
        now: Instant,
    ) -> Result<Option<Arc<Workspace>>, KeyFault>
    where
        Wire: WireDialect,
    {
        if routes.workspaces().is_empty() {
            return Ok(None);
        }
        let key = wire.take_key(&mut head.headers);
        let workspace = match self.find(key, routes, now) {
            Ok(workspace) => workspace,
            Err(KeyFault::Missing | KeyFault::Malformed | KeyFault::Unknown)
                if route.allows_anonymous =>
            {
                return Ok(None);
            }
            // The key may be in force: its workspace's homes and quota must hold.
            Err(fault) => return Err(fault),
        };
        wire.set_workspace(&mut head.headers, &workspace.name);
        Ok(Some(workspace))
    }

    fn find(
        &self,
        key: CallerKey,
        routes: &RouteTable,
        now: Instant,
    ) -> Result<Arc<Workspace>, KeyFault> {
        let digest = match key {
            CallerKey::Missing => return Err(KeyFault::Missing),
            CallerKey::Malformed => return Err(KeyFault::Malformed),
            CallerKey::Digest(digest) => digest,
        };
        if !self.is_confirmed(now) {
            return Err(KeyFault::Unconfirmed);
        }
        let workspace = routes.workspaces().find(&digest);
        workspace.cloned().ok_or(KeyFault::Unknown)
    }

    fn is_confirmed(&self, now: Instant) -> bool {
        let Some(max_age) = self.max_age else {
            return true;
        };
        let age = self.feed_cache.age(SourceFeed::Configuration, now);
        age.is_some_and(|age| age <= max_age)
    }
}
