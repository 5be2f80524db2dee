//! Connections to a server that no call uses.

use camphorway_daemon::http_client::RequestSender;
use std::time::{Duration, Instant};

/// An idle connection is no longer used this long before the server closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(400);

/// A connection that no call uses.
#[derive(Debug)]
pub(crate) struct IdleConnection {
    sender: RequestSender,
    since: Instant,
    /// The time at which the server closes it, if the server announced that.
    until: Option<Instant>,
}

impl IdleConnection {
    /// A connection that is idle since `since`; the server closes it after
    /// `idle_timeout`, if it announced one.
    pub(crate) fn new(
        sender: RequestSender,
        since: Instant,
        idle_timeout: Option<Duration>,
    ) -> Self {
        Self {
            sender,
            since,
            until: idle_timeout.map(|timeout| since + timeout),
        }
    }

    /// Whether a call may use it: it is open, the server doesn't close it soon, and it
    /// has been idle for at most `max_idle`.
    pub(crate) fn is_usable(&self, max_idle: Duration, now: Instant) -> bool {
        let is_ending = self.until.is_some_and(|until| now + IDLE_MARGIN >= until);
        let is_old = now.saturating_duration_since(self.since) > max_idle;
        !is_ending && !is_old && self.sender.can_take_request()
    }

    /// Whether the server has closed it.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Takes the connection for a call.
    pub(crate) fn into_sender(self) -> RequestSender {
        self.sender
    }
}
