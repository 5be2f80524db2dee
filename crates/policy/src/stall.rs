//! Detection of stalled backend servers, whose calls take longer than usual.
//!
//! A short pause ends with an answer, so the next call may be sent at once. A
//! server that stays slow also answers, late each time: only an answer on time
//! shows that it has recovered, and until then it is tried less and less often.

use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// A stall that is not renewed ends after this time, and one call may probe the
/// server.
const MIN_LIFETIME: Duration = Duration::from_millis(300);
/// The lifetime doubles with each further stall without an answer on time, up to
/// this.
const MAX_LIFETIME: Duration = Duration::from_millis(2_400);
/// From this number of consecutive stalls on, a late answer does not end a stall.
const SLOW_STALLS: u32 = 2;

/// A change of a server's stall, as reported to other fronts.
#[derive(Clone, Copy, Debug, Deserialize, derive_more::Display, Eq, PartialEq, Serialize)]
pub enum StallChange {
    /// A call takes longer than usual.
    #[display("began")]
    Began,
    /// The server answered, but late.
    #[display("ended")]
    Ended,
    /// The server answers on time again.
    #[display("on-time")]
    OnTime,
    /// An answer was lost or wrong. It changes no stall.
    #[display("answer-lost")]
    AnswerLost,
}

/// The stall state of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerStall {
    until: Option<Instant>,
    /// Stalls since the last answer on time.
    consecutive_stalls: u32,
}

impl ServerStall {
    /// Whether the server is considered stalled.
    pub fn is_stalled(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Whether the server stays slow: one late answer does not end its stall.
    pub fn is_slow(&self) -> bool {
        self.consecutive_stalls >= SLOW_STALLS
    }

    /// Records that a call takes longer than usual. Returns whether this starts a
    /// stall.
    pub fn record_stall(&mut self, now: Instant) -> bool {
        let is_new = !self.is_stalled(now);
        if is_new {
            self.consecutive_stalls = self.consecutive_stalls.saturating_add(1);
        }
        self.until = Some(now + self.lifetime());
        is_new
    }

    /// Records that a call was sent. It extends a stall that has expired, so that
    /// other calls wait for the result of this one.
    pub fn record_call(&mut self, now: Instant) {
        if self.until.is_some_and(|until| now >= until) {
            self.until = Some(now + self.lifetime());
        }
    }

    /// Records an answer. Returns the change to report to other fronts, if any.
    pub fn record_answer(&mut self, is_late: bool) -> Option<StallChange> {
        if is_late {
            return self.end().then_some(StallChange::Ended);
        }
        let was_stalled = self.consecutive_stalls > 0;
        *self = Self::default();
        was_stalled.then_some(StallChange::OnTime)
    }

    /// Applies a change that another front observed.
    pub fn apply_change(&mut self, change: StallChange, now: Instant) {
        match change {
            StallChange::Began => {
                self.record_stall(now);
            }
            StallChange::Ended => {
                self.end();
            }
            StallChange::OnTime => *self = Self::default(),
            StallChange::AnswerLost => {}
        }
    }

    /// Ends a stall unless it shows a slow server. Returns whether a stall ended.
    fn end(&mut self) -> bool {
        !self.is_slow() && self.until.take().is_some()
    }

    fn lifetime(&self) -> Duration {
        let doublings = self.consecutive_stalls.saturating_sub(1).min(8);
        (MIN_LIFETIME * (1 << doublings)).min(MAX_LIFETIME)
    }
}
