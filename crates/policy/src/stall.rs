//! Whether a backend server stalls: calls there take longer than is usual.
//!
//! A short pause ends with an answer, so the next call may go there at once. A
//! server that stays slow also answers, late each time: only an answer on time
//! shows that it is well again, and until then it is tried less and less often.

use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// A stall that is not refreshed ends after this time, and one call may try.
const FIRST_LIFETIME: Duration = Duration::from_millis(300);
/// It doubles with each stall that follows without an answer on time, up to this.
const LONGEST_LIFETIME: Duration = Duration::from_millis(2_400);
/// From this many stalls in a row on, a late answer does not end one.
const SLOW_STREAK: u32 = 2;

/// What is told of a server's stall.
#[derive(Clone, Copy, Debug, Deserialize, derive_more::Display, Eq, PartialEq, Serialize)]
pub enum StallChange {
    /// A call takes longer than is usual.
    #[display("began")]
    Began,
    /// The server answered, late.
    #[display("ended")]
    Ended,
    /// It answers on time again.
    #[display("on-time")]
    OnTime,
}

/// What is known of one server's stalls.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerStall {
    until: Option<Instant>,
    /// Stalls since the last answer on time.
    streak: u32,
}

impl ServerStall {
    /// Whether the server is taken to stall.
    pub fn is_stalled(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// A call takes longer than is usual; whether that is news.
    pub fn record_stall(&mut self, now: Instant) -> bool {
        let is_news = !self.is_stalled(now);
        if is_news {
            self.streak = self.streak.saturating_add(1);
        }
        self.until = Some(now + self.lifetime());
        is_news
    }

    /// A call was sent; if the stall has just run out, others wait for its end.
    pub fn record_call(&mut self, now: Instant) {
        if self.until.is_some_and(|until| now >= until) {
            self.until = Some(now + self.lifetime());
        }
    }

    /// The server answered; what others should hear of that.
    pub fn record_answer(&mut self, is_late: bool) -> Option<StallChange> {
        if is_late {
            return self.end().then_some(StallChange::Ended);
        }
        let was_stalled = self.streak > 0;
        *self = Self::default();
        was_stalled.then_some(StallChange::OnTime)
    }

    /// Takes what another daemon has seen.
    pub fn apply_change(&mut self, change: StallChange, now: Instant) {
        match change {
            StallChange::Began => {
                self.record_stall(now);
            }
            StallChange::Ended => {
                self.end();
            }
            StallChange::OnTime => *self = Self::default(),
        }
    }

    /// Ends a stall that is no sign of a slow server; whether there was one.
    fn end(&mut self) -> bool {
        self.streak < SLOW_STREAK && self.until.take().is_some()
    }

    fn lifetime(&self) -> Duration {
        let doublings = self.streak.saturating_sub(1).min(8);
        (FIRST_LIFETIME * (1 << doublings)).min(LONGEST_LIFETIME)
    }
}
