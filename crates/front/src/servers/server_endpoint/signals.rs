//! What a server says of itself in its answers.

use super::ServerEndpoint;
use crate::ports::ServerSignals;
use crate::servers::server_limit::ServerLimit;
use camphorway_daemon::event;
use std::time::{Duration, Instant};

impl ServerEndpoint {
    /// Applies what the server said of itself in its answer to `request`.
    pub fn apply_signals(&self, signals: &ServerSignals, request: &str) {
        let now = self.clock.now();
        self.apply_limit(signals.rate_limit, request, now);
        if let Some(load) = signals.load {
            let mut state = self.lock();
            state.load.record(load, now);
            state.room.record_load(&load, now);
        }
        if signals.is_leaving {
            self.apply_leaving(request, now);
        }
        if let Some(time) = signals.closed_for {
            self.apply_closed_time(time, request, now);
        }
        if let Some(time) = signals.cold_for {
            self.apply_cold_time(time, request, now);
        }
    }

    fn apply_limit(&self, rate_limit: Option<f64>, request: &str, now: Instant) {
        let mut state = self.lock();
        let was_limited = state.limit.is_some();
        match (rate_limit, &mut state.limit) {
            (Some(rate), Some(limit)) => limit.renew(rate, &self.record, &self.fronts, now),
            (Some(rate), None) => {
                state.limit = Some(ServerLimit::new(rate, &self.record, &self.fronts, now));
            }
            (None, _) => state.limit = None,
        }
        if was_limited == state.limit.is_some() {
            return;
        }
        let share = state.limit.as_ref().map(ServerLimit::share);
        drop(state);
        event!(
            Info,
            "server-signal",
            signal = "limit",
            server = self.name(),
            service = self.record.service,
            value = rate_limit.map_or_else(|| "none".to_owned(), |rate| rate.to_string()),
            share = share.map_or_else(|| "all".to_owned(), |share| share.to_string()),
            request = request
        );
    }

    fn apply_leaving(&self, request: &str, now: Instant) {
        let mut state = self.lock();
        if state.leaving_since.is_some() {
            return;
        }
        state.leaving_since = Some(now);
        state.idle.clear();
        drop(state);
        self.leaving.record(&self.record, now);
        self.log_signal("leaving", "its end", request);
    }

    fn apply_closed_time(&self, time: Duration, request: &str, now: Instant) {
        let mut state = self.lock();
        let was_closed = state.closed_until.is_some_and(|until| now < until);
        state.closed_until = state.closed_until.max(Some(now + time));
        drop(state);
        if !was_closed {
            self.log_signal("closed", &format!("in {} ms", time.as_millis()), request);
        }
    }

    fn apply_cold_time(&self, time: Duration, request: &str, now: Instant) {
        let mut state = self.lock();
        let was_limited = state.cold.is_limited(now);
        state.cold.extend(now + time);
        let is_limited = state.cold.is_limited(now);
        drop(state);
        if is_limited && !was_limited {
            self.log_signal("cold", &format!("in {} ms", time.as_millis()), request);
        }
    }

    fn log_signal(&self, signal: &str, until: &str, request: &str) {
        event!(
            Info,
            "server-signal",
            signal = signal,
            server = self.name(),
            service = self.record.service,
            until = until,
            request = request
        );
    }
}
