//! Makes this front known to the others, and follows who they are.

use crate::feed::{FeedFollower, FeedParts};
use crate::ports::{SourceError, TierSource};
use camphorway_daemon::event;
use camphorway_model::FrontRecord;
use std::sync::Arc;
use std::time::Duration;

/// All fronts may start at once and register at about the same time: who
/// follows whom is settled after that, not at each registration.
const REGISTERING_TIME: Duration = Duration::from_millis(1_200);
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Registers this front, then follows the others until stopped.
pub async fn run<Source>(
    parts: Arc<FeedParts<Source>>,
    own: FrontRecord,
    follower: FeedFollower<Source>,
) where
    Source: TierSource,
{
    register(&parts, &own).await;
    let jitter = REGISTERING_TIME.mul_f64(0.5 * fastrand::f64());
    parts.clock.sleep(REGISTERING_TIME + jitter).await;
    follower.run().await;
}

async fn register<Source>(parts: &FeedParts<Source>, own: &FrontRecord)
where
    Source: TierSource,
{
    while !parts.stop.is_cancelled() {
        match parts.source.register(own).await {
            Ok(()) => {
                event!(Info, "front-registered", vm = own.vm, address = own.address);
                return;
            }
            Err(error) => event!(Warn, "front-not-registered", error = error),
        }
        let pause = RETRY_PAUSE.mul_f64(0.5 + fastrand::f64());
        parts.clock.sleep(pause).await;
    }
}

/// Takes this front's registration back.
pub async fn deregister<Source>(source: &Source, own: &FrontRecord)
where
    Source: TierSource,
{
    match source.deregister(own).await {
        Ok(()) => event!(Info, "front-deregistered", vm = own.vm),
        // Whoever asks this front will be passed on to the next.
        Err(SourceError::HistoryGone) => {}
        Err(error) => event!(Warn, "front-not-deregistered", error = error),
    }
}
