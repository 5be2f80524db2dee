//! This front's own registration in the store: written at the start, again whenever the
//! store has lost it, and removed at the stop, again if it comes back.

use crate::feeds::feed::FeedContext;
use crate::ports::{FeedSource, SourceFeed, SourceItem};
use camphorway_daemon::event;
use camphorway_daemon::sync::lock;
use camphorway_model::FrontRecord;
use std::sync::Mutex;
use std::time::{Duration, Instant};

const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Items that another front has sent may be older than they say by their way.
const MAX_AGE_ERROR: Duration = Duration::from_secs(1);

/// A front's registration, as it should be.
#[derive(Debug)]
pub struct OwnRegistration {
    /// The record that other fronts read.
    record: FrontRecord,
    /// Whether it may have been registered before.
    is_restart: bool,
    state: Mutex<RegistrationState>,
}

#[derive(Clone, Copy, Debug, Default)]
struct RegistrationState {
    aim: RegistrationAim,
    /// When the store last accepted a write of this front.
    written_at: Option<Instant>,
}

/// How the registration should be.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum RegistrationAim {
    #[default]
    Registered,
    Deregistered,
}

impl OwnRegistration {
    /// The registration of a front that starts.
    pub fn new(record: FrontRecord, is_restart: bool) -> Self {
        Self {
            record,
            is_restart,
            state: Mutex::default(),
        }
    }

    /// The record that other fronts read.
    pub fn record(&self) -> &FrontRecord {
        &self.record
    }

    /// Writes the registration; repeats that until the store accepts it.
    pub async fn register<Source>(&self, feed_context: &FeedContext<Source>)
    where
        Source: FeedSource,
    {
        let mut may_exist = self.is_restart;
        while !feed_context.stop.is_cancelled() && self.aim() == RegistrationAim::Registered {
            match feed_context.source.register(&self.record, may_exist).await {
                Ok(()) => {
                    lock(&self.state).written_at = Some(feed_context.clock.now());
                    event!(
                        Info,
                        "front-registered",
                        vm = self.record.vm,
                        address = self.record.address
                    );
                    return;
                }
                Err(error) => event!(Warn, "front-not-registered", error = error),
            }
            may_exist = true;
            feed_context.clock.sleep(retry_pause()).await;
        }
    }

    /// Corrects the store when it is not as it should be, until stopped. The store may
    /// have lost the registration, or carried out late what an earlier process of this VM
    /// has asked for.
    pub async fn keep<Source>(&self, feed_context: &FeedContext<Source>)
    where
        Source: FeedSource,
    {
        while !feed_context.stop.is_cancelled() {
            feed_context.clock.sleep(retry_pause()).await;
            if !self.is_mismatched(feed_context) {
                continue;
            }
            match self.aim() {
                RegistrationAim::Registered => {
                    event!(Warn, "front-registration-lost", vm = self.record.vm);
                    self.register(feed_context).await;
                }
                RegistrationAim::Deregistered => {
                    lock(&self.state).written_at = Some(feed_context.clock.now());
                    self.remove(feed_context.source.as_ref()).await;
                }
            }
        }
    }

    /// Whether the fronts' feed, as the store confirmed it after the last write, is not as
    /// it should be.
    fn is_mismatched<Source>(&self, feed_context: &FeedContext<Source>) -> bool {
        let feed_cache = &feed_context.feed_cache;
        let now = feed_context.clock.now();
        let RegistrationState { aim, written_at } = *lock(&self.state);
        let age = feed_cache.age(SourceFeed::Fronts, now);
        let (Some(written_at), Some(age)) = (written_at, age) else {
            return false;
        };
        let margin = match aim {
            RegistrationAim::Registered => MAX_AGE_ERROR,
            // A removal too many does no harm, and there is little time.
            RegistrationAim::Deregistered => Duration::ZERO,
        };
        let since_write = now.saturating_duration_since(written_at);
        if age + margin > since_write {
            return false;
        }
        let listed = feed_cache.item(SourceFeed::Fronts, self.record.vm.as_str());
        let is_own = matches!(listed, Some(SourceItem::Front(record)) if record == self.record);
        is_own == (aim == RegistrationAim::Deregistered)
    }

    /// Removes the registration, since the front stops at `now`.
    pub async fn deregister<Source>(&self, source: &Source, now: Instant)
    where
        Source: FeedSource,
    {
        *lock(&self.state) = RegistrationState {
            aim: RegistrationAim::Deregistered,
            written_at: Some(now),
        };
        self.remove(source).await;
    }

    /// If it fails, peers that query this front will try the next origin.
    async fn remove<Source>(&self, source: &Source)
    where
        Source: FeedSource,
    {
        match source.deregister(&self.record).await {
            Ok(()) => event!(Info, "front-deregistered", vm = self.record.vm),
            Err(error) => event!(Warn, "front-not-deregistered", error = error),
        }
    }

    fn aim(&self) -> RegistrationAim {
        lock(&self.state).aim
    }
}

/// The pause before a write is repeated; all fronts may have to write at once.
pub fn retry_pause() -> Duration {
    RETRY_DELAY.mul_f64(0.5 + fastrand::f64())
}
