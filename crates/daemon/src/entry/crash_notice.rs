//! Other daemons hear of a crash before the caller does: a caller that has its
//! answer may send the same content again, to a daemon that has not heard yet.

use crate::clock::DaemonClock;
use crate::control::ControlInput;
use crate::entry::RequestEntry;
use async_channel::Receiver;
use camphorway_policy::CrashReport;
use futures_lite::FutureExt;
use std::convert::Infallible;
use std::time::{Duration, Instant};

/// An answer waits at most this long for daemons that can't be reached.
const MAX_WAIT: Duration = Duration::from_millis(400);

/// Ends when other daemons have heard of a crash.
#[derive(Debug)]
pub(super) struct CrashNotice {
    told: Receiver<Infallible>,
    clock: DaemonClock,
}

impl RequestEntry {
    /// Tells this daemon and the others of a crash.
    pub(super) fn notify_crash(&self, report: CrashReport) -> CrashNotice {
        let (sender, told) = async_channel::bounded(1);
        let parts = self.parts();
        let news = ControlInput::Crash(report, Some(sender));
        parts.control.offer(news);
        let clock = parts.clock.clone();
        CrashNotice { told, clock }
    }
}

impl CrashNotice {
    /// Waits until the others have heard, `limit` at the latest.
    pub(super) async fn wait(self, limit: Instant) {
        let told = async {
            // Nothing is sent; the channel closes with its last sender.
            let _ = self.told.recv().await;
        };
        let limit = limit.min(self.clock.now() + MAX_WAIT);
        told.or(self.clock.sleep_until(limit)).await;
    }
}
