//! Makes this front and what it holds known to the others, and follows who they
//! are.

use crate::feed::{FeedContext, FeedFollower};
use crate::ports::{FeedSource, SourceError};
use async_channel::Receiver;
use camphorway_daemon::event;
use camphorway_daemon::sync::lock;
use camphorway_model::FrontRecord;
use camphorway_policy::{ContentHash, FeedOrder};
use futures_lite::{FutureExt, future};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// All fronts may start at once and register at about the same time: who
/// follows whom is settled after that, not at each registration.
const REGISTRATION_PERIOD: Duration = Duration::from_millis(1_200);
/// Held content stands in the store for this time, longer than it is refused.
const RELEASE_AFTER: Duration = Duration::from_secs(90);
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// This front, as it registers itself.
#[derive(Clone, Debug)]
pub struct OwnFront {
    /// What the others need to know of it.
    pub record: FrontRecord,
    /// Whether it may have been registered before.
    pub is_restart: bool,
}

/// Registers this front, then follows the others and what they hold until
/// stopped.
pub async fn run<Source>(
    context: Arc<FeedContext<Source>>,
    own: OwnFront,
    fronts: FeedFollower<Source>,
    held: FeedFollower<Source>,
) where
    Source: FeedSource,
{
    register(&context, &own).await;
    let jitter = REGISTRATION_PERIOD.mul_f64(0.5 * fastrand::f64());
    context.clock.sleep(REGISTRATION_PERIOD + jitter).await;
    let members = Arc::clone(&context.members);
    let held = async {
        // Once others are known, most fronts need not ask the store.
        while lock(&members).is_empty() && !context.stop.is_cancelled() {
            context.clock.sleep(RETRY_PAUSE).await;
        }
        held.run().await;
    };
    future::zip(fronts.run(), held).await;
}

async fn register<Source>(context: &FeedContext<Source>, own: &OwnFront)
where
    Source: FeedSource,
{
    while !context.stop.is_cancelled() {
        let OwnFront { record, is_restart } = own;
        match context.source.register(record, *is_restart).await {
            Ok(()) => {
                event!(
                    Info,
                    "front-registered",
                    vm = record.vm,
                    address = record.address
                );
                return;
            }
            Err(error) => event!(Warn, "front-not-registered", error = error),
        }
        let pause = RETRY_PAUSE.mul_f64(0.5 + fastrand::f64());
        context.clock.sleep(pause).await;
    }
}

/// Writes content that this front holds to the store, until stopped.
pub async fn publish_quarantined<Source>(
    context: Arc<FeedContext<Source>>,
    held: Receiver<ContentHash>,
) where
    Source: FeedSource,
{
    while let Ok(content) = held.recv().await {
        match context.source.quarantine(content).await {
            Ok(()) => event!(Info, "content-told", content = content.0),
            Err(error) => {
                event!(Warn, "content-not-told", content = content.0, error = error);
            }
        }
    }
}

/// Deletes held content from the store when its time is over; the first front
/// of each failure domain does that, whoever wrote it.
pub async fn release_quarantined<Source>(
    context: Arc<FeedContext<Source>>,
    order: FeedOrder,
    held: Receiver<ContentHash>,
) where
    Source: FeedSource,
{
    let mut waiting: VecDeque<(Instant, ContentHash)> = VecDeque::new();
    loop {
        let next = waiting.front().map(|(at, _)| *at);
        let due = async {
            match next {
                Some(at) => context.clock.sleep_until(at).await,
                None => std::future::pending().await,
            }
            Ok(None)
        };
        let heard = async { held.recv().await.map(Some) };
        match heard.or(due).await {
            // The daemon ends.
            Err(_) => return,
            Ok(Some(content)) => {
                waiting.push_back((context.clock.now() + RELEASE_AFTER, content));
            }
            Ok(None) => {
                let over = waiting.pop_front();
                let is_first = order.is_first(&lock(&context.members));
                if let Some((_, content)) = over.filter(|_| is_first)
                    && let Err(error) = context.source.release(content).await
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

/// Takes this front's registration back.
pub async fn deregister<Source>(source: &Source, own: &FrontRecord)
where
    Source: FeedSource,
{
    match source.deregister(own).await {
        Ok(()) => event!(Info, "front-deregistered", vm = own.vm),
        // Whoever asks this front will be passed on to the next.
        Err(SourceError::HistoryGone) => {}
        Err(error) => event!(Warn, "front-not-deregistered", error = error),
    }
}
