//! Notifies other daemons of a crash before the caller is answered. Otherwise the
//! caller, once answered, could send the same content again to a daemon that has
//! not received the report yet.

use crate::clock::DaemonClock;
use crate::control::ControlInput;
use crate::entry::RequestEntry;
use async_channel::Receiver;
use camphorway_policy::CrashReport;
use futures_lite::FutureExt;
use std::convert::Infallible;
use std::time::{Duration, Instant};

/// The longest wait of an answer for daemons that can't be reached.
const MAX_WAIT: Duration = Duration::from_millis(400);

/// A crash notification on its way to other daemons.
#[derive(Debug)]
pub(super) struct CrashNotice {
    notified: Receiver<Infallible>,
    clock: DaemonClock,
}

impl RequestEntry {
    /// Reports a crash to this daemon's control loop, which notifies the others.
    pub(super) fn notify_crash(&self, report: CrashReport) -> CrashNotice {
        let (sender, notified) = async_channel::bounded(1);
        let context = self.context();
        let input = ControlInput::Crash(report, Some(sender));
        context.control.try_send(input);
        let clock = context.clock.clone();
        CrashNotice { notified, clock }
    }
}

impl CrashNotice {
    /// Waits until the other daemons are notified, but no later than `deadline`.
    pub(super) async fn wait(self, deadline: Instant) {
        let notified = async {
            // Nothing is sent: the channel closes when its last sender is dropped.
            let _ = self.notified.recv().await;
        };
        let deadline = deadline.min(self.clock.now() + MAX_WAIT);
        notified.or(self.clock.sleep_until(deadline)).await;
    }
}
