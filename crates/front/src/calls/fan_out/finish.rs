//! Builds the answer at the end of a fan-out.

use super::FanOut;
use crate::answer::{FailReason, MergedAnswer, RefusedAnswer, RoutedAnswer};
use crate::ports::WireDialect;
use bytes::Bytes;
use camphorway_daemon::event;
use camphorway_model::{GatherRule, RefusalReason};
use camphorway_policy::{PlaceGap, greatest_records};
use std::time::Duration;

/// The shortest time after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// The shortest time after which a caller is asked to retry if only another
/// configuration can give the request a server.
const HOMELESS_RETRY_AFTER: Duration = Duration::from_secs(5);
/// The largest fraction by which a time to retry is longer than needed.
const RETRY_SPREAD: f64 = 0.5;

impl<Wire> FanOut<'_, Wire>
where
    Wire: WireDialect,
{
    pub(super) fn finish(mut self) -> RoutedAnswer {
        let answer = match &self.request.gather {
            Some(rule) => self.merge(rule),
            None => self.pass_through(),
        };
        let Some(answer) = answer else {
            return self.fail();
        };
        answer
    }

    fn merge(&self, rule: &GatherRule) -> Option<RoutedAnswer> {
        let answers = self.progress.iter().filter_map(|part| part.answer.as_ref());
        let answers: Vec<_> = answers.collect();
        if answers.len() < rule.min_parts() {
            return None;
        }
        let bodies = answers.iter().map(|answer| answer.body.as_ref());
        let signatures = answers.iter().filter_map(|answer| answer.signature.clone());
        if answers.len() < self.progress.len() {
            self.log_missing("parts-missing");
        }
        Some(RoutedAnswer::Merged(MergedAnswer {
            body: Bytes::from(greatest_records(bodies, rule.top_records)),
            signatures: signatures.collect(),
            missing: self.progress.len() - answers.len(),
        }))
    }

    /// The part's answer, or else the last failure that a server answered.
    fn pass_through(&mut self) -> Option<RoutedAnswer> {
        let part = self.progress.first_mut()?;
        let answer = part.answer.take().or_else(|| part.failure.take())?;
        Some(RoutedAnswer::Passed(answer))
    }

    /// Logs the parts without an answer and the latest event of each.
    fn log_missing(&self, step: &str) {
        let missing = self.progress.iter().filter(|part| part.answer.is_none());
        let causes: Vec<String> = missing
            .map(|part| format!("{}:{}", part.service, part.last_event))
            .collect();
        event!(
            Warn,
            "parts-without-answer",
            request = self.spec.head.id,
            route = self.request.route.name,
            step = step,
            parts = causes.join(",")
        );
    }

    /// The time after which a refused caller may retry: when the servers that closed
    /// take calls again, spread so that callers don't return together.
    fn retry_after(&self) -> Duration {
        let mut gaps = self.progress.iter().filter_map(|part| part.place_gap);
        if gaps.any(PlaceGap::is_lasting) {
            return HOMELESS_RETRY_AFTER.mul_f64(1.0 + RETRY_SPREAD * fastrand::f64());
        }
        let after = (self.request.route.objective / 4).max(MIN_RETRY_AFTER);
        let opens_at = self.progress.iter().filter_map(|part| part.opens_at).max();
        let Some(opens_at) = opens_at else {
            return after;
        };
        let opens_after = opens_at.saturating_duration_since(self.now());
        after.max(opens_after.mul_f64(1.0 + RETRY_SPREAD * fastrand::f64()))
    }

    /// The answer without enough parts: a refusal only if no server can have
    /// run the request.
    fn fail(self) -> RoutedAnswer {
        let is_late = self.now() >= self.deadline;
        let is_gathered = self.request.gather.is_some();
        self.log_missing("request-without-answer");
        let retry_after = self.retry_after();
        let reason = if is_late {
            RefusalReason::Deadline
        } else {
            RefusalReason::Unavailable
        };
        match self.ledger.close() {
            Ok(token) => {
                RoutedAnswer::Refused(RefusedAnswer::new(&token.refuse(reason), retry_after))
            }
            Err(_) if is_late => RoutedAnswer::Failed(FailReason::Timeout),
            Err(_) if is_gathered => RoutedAnswer::Failed(FailReason::TooFewParts),
            Err(_) => RoutedAnswer::Failed(FailReason::Lost),
        }
    }
}
