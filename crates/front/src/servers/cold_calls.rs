//! This front's calls to a server that is cold, within its part of the server's limit.

use crate::servers::server_limit::SharingFronts;
use camphorway_model::ServerRecord;
use camphorway_policy::{ColdLimit, ColdPacer, ColdPart};
use std::time::{Duration, Instant};

/// The part of a limit is worked out again after this time, as fronts come and go.
const PART_LIFETIME: Duration = Duration::from_millis(500);

/// Whether a server is cold, and this front's pace while it is.
#[derive(Clone, Debug, Default)]
pub(crate) struct ColdCalls {
    /// The limit while it is cold, if its service has one.
    limit: Option<ColdLimit>,
    cold_until: Option<Instant>,
    part: Option<(ColdPart, Instant)>,
    pacer: ColdPacer,
}

impl ColdCalls {
    /// Sets the limit in force.
    pub(crate) fn set_limit(&mut self, limit: Option<ColdLimit>) {
        if self.limit != limit {
            self.part = None;
        }
        self.limit = limit;
    }

    /// Records that the server is cold until a time, or for longer if that is known.
    pub(crate) fn extend(&mut self, cold_until: Instant) {
        self.cold_until = self.cold_until.max(Some(cold_until));
    }

    /// Records that a call was given out or sent.
    pub(crate) fn record_call(&mut self, now: Instant) {
        if self.limit.is_some() {
            self.pacer.record_call(now);
        }
    }

    /// Whether the server is cold and its service has a limit for that.
    pub(crate) fn is_limited(&self, now: Instant) -> bool {
        self.limit.is_some() && self.cold_until.is_some_and(|until| now < until)
    }

    /// The time until which no call may be sent to `server`.
    pub(crate) fn wait_until(
        &mut self,
        server: &ServerRecord,
        fronts: &SharingFronts,
        now: Instant,
    ) -> Option<Instant> {
        let limit = self.limit?;
        let cold_until = self.cold_until.filter(|until| now < *until)?;
        let part = self.current_part(limit, server, fronts, now);
        self.pacer.wait_until(part, cold_until, now)
    }

    fn current_part(
        &mut self,
        limit: ColdLimit,
        server: &ServerRecord,
        fronts: &SharingFronts,
        now: Instant,
    ) -> ColdPart {
        let is_fresh = |at| now.saturating_duration_since(at) < PART_LIFETIME;
        match self.part {
            Some((part, at)) if is_fresh(at) => part,
            _ => {
                let part = fronts.cold_part(limit, server, now);
                self.part = Some((part, now));
                part
            }
        }
    }
}
