//! Whether a server has room for further calls.

use super::ServerEndpoint;
use camphorway_policy::ServerRoom;
use std::time::{Duration, Instant};

impl ServerEndpoint {
    /// Whether the server has room for a further call, where calls have waited for
    /// `wait` for any server of the service.
    pub(crate) fn room(&self, wait: Duration, now: Instant) -> ServerRoom {
        let state = self.lock();
        let closed_until = state.closed_until.filter(|until| now < *until);
        let service_time = state.room.service_time();
        if let Some(until) = closed_until {
            let answer_after = until.saturating_duration_since(now) + service_time;
            return ServerRoom::Full { answer_after };
        }
        match state.room.room(now) {
            ServerRoom::Open => ServerRoom::Busy { wait, service_time },
            room => room,
        }
    }
}
