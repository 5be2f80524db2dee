//! Answers to callers.
//!
//! A `not-run` answer requires a proof that nothing was sent.

use bytes::Bytes;
use camphorway_model::{
    AnswerOutcome, CoverageReport, MergeKind, RefusalReason, RequestId, ShardId, SnapshotId,
};
use camphorway_policy::NotRunProof;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde_json::value::RawValue;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::Duration;

/// The answer to one request.
#[derive(Clone, Debug)]
pub struct CallerAnswer {
    outcome: AnswerOutcome,
    reason: Option<RefusalReason>,
    retry_after: Option<Duration>,
    snapshot: Option<SnapshotId>,
    coverage: Option<CoverageReport>,
    /// The merged answer as JSON text.
    merged: Option<String>,
}

impl CallerAnswer {
    /// The answer to a request that did not run.
    pub fn not_run(proof: &NotRunProof) -> Self {
        Self::without_content(AnswerOutcome::NotRun, Some(proof.reason()))
    }

    /// The answer to a request that may have run.
    pub fn unknown(reason: RefusalReason) -> Self {
        Self::without_content(AnswerOutcome::Unknown, Some(reason))
    }

    /// The answer to a completed request that runs at most once.
    pub fn confirmed(merged: Option<String>) -> Self {
        let mut answer = Self::without_content(AnswerOutcome::Complete, None);
        answer.merged = merged;
        answer
    }

    /// Merges the answers of the shards that `coverage` counts.
    pub fn merged(
        merge: MergeKind,
        snapshot: SnapshotId,
        coverage: CoverageReport,
        answers: &BTreeMap<ShardId, Bytes>,
    ) -> Self {
        let outcome = if coverage.missing.is_empty() {
            AnswerOutcome::Complete
        } else {
            AnswerOutcome::Partial
        };
        let mut answer = Self::without_content(outcome, None);
        answer.merged = Some(merge_answers(merge, answers));
        answer.snapshot = Some(snapshot);
        answer.coverage = Some(coverage);
        answer
    }

    fn without_content(outcome: AnswerOutcome, reason: Option<RefusalReason>) -> Self {
        Self {
            outcome,
            reason,
            retry_after: None,
            snapshot: None,
            coverage: None,
            merged: None,
        }
    }

    /// Sets the time after which the caller may retry; zero leaves it unset.
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = (!wait.is_zero()).then_some(wait);
        self
    }

    /// Adapts the answer for a resent request that must not run twice: an earlier
    /// attempt may have run even if this one was refused.
    pub fn for_resend(mut self) -> Self {
        let is_conflict = self.reason == Some(RefusalReason::IdConflict);
        if self.outcome == AnswerOutcome::NotRun && !is_conflict {
            self.outcome = AnswerOutcome::Unknown;
        }
        self
    }

    /// The outcome of the request.
    pub fn outcome(&self) -> AnswerOutcome {
        self.outcome
    }

    /// The reason that there is no answer.
    pub fn reason(&self) -> Option<RefusalReason> {
        self.reason
    }

    /// The merged answer, if there is one.
    pub fn content(&self) -> Option<&str> {
        self.merged.as_deref()
    }

    /// Builds the HTTP response for request `id`.
    pub fn to_http(&self, id: RequestId) -> Response<Full<Bytes>> {
        let mut body = json!({ "request": id, "outcome": self.outcome });
        if let Some(reason) = self.reason {
            body["reason"] = json!(reason);
        }
        if let Some(wait) = self.retry_after {
            body["retry-after-ms"] = json!(wait.as_millis() as u64);
        }
        if let Some(snapshot) = self.snapshot {
            body["snapshot"] = json!(snapshot);
        }
        if let Some(coverage) = &self.coverage {
            body["coverage"] = json!(coverage);
        }
        let mut text = body.to_string();
        if let Some(merged) = &self.merged {
            // The merged answer is JSON already, so it isn't parsed again.
            text.truncate(text.len() - 1);
            text.push_str(",\"answer\":");
            text.push_str(merged);
            text.push('}');
        }
        let mut response = Response::new(Full::new(Bytes::from(text)));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let mut set = |name: &'static str, value: String| {
            if let Ok(value) = HeaderValue::from_str(&value) {
                headers.insert(name, value);
            }
        };
        set("camphorway-request", id.to_string());
        set("camphorway-outcome", self.outcome.to_string());
        if let Some(reason) = self.reason {
            set("camphorway-reason", reason.to_string());
        }
        if let Some(coverage) = &self.coverage {
            set("camphorway-coverage", coverage.fraction.to_string());
        }
        if let Some(wait) = self.retry_after {
            set("retry-after", wait.as_secs().max(1).to_string());
        }
        response
    }

    fn status(&self) -> StatusCode {
        match (self.outcome, self.reason) {
            (AnswerOutcome::Complete | AnswerOutcome::Partial, _) => StatusCode::OK,
            (_, Some(RefusalReason::BadRequest | RefusalReason::IssuedInFuture)) => {
                StatusCode::BAD_REQUEST
            }
            (_, Some(RefusalReason::UnknownService)) => StatusCode::NOT_FOUND,
            (_, Some(RefusalReason::IdConflict | RefusalReason::InProgress)) => {
                StatusCode::CONFLICT
            }
            (_, Some(RefusalReason::Expired)) => StatusCode::GONE,
            (_, Some(RefusalReason::Overloaded)) => StatusCode::TOO_MANY_REQUESTS,
            (_, Some(RefusalReason::Quarantined)) => StatusCode::UNPROCESSABLE_ENTITY,
            (AnswerOutcome::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
            (AnswerOutcome::Unknown, _) => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

fn merge_answers(merge: MergeKind, answers: &BTreeMap<ShardId, Bytes>) -> String {
    match merge {
        MergeKind::Concat => concat_answers(answers),
        MergeKind::Sum => {
            let numbers = answers
                .values()
                .filter_map(|body| std::str::from_utf8(body).ok()?.trim().parse::<i64>().ok());
            let sum = numbers.fold(0_i64, i64::saturating_add);
            sum.to_string()
        }
    }
}

fn concat_answers(answers: &BTreeMap<ShardId, Bytes>) -> String {
    let mut text = String::from("[");
    for (shard, body) in answers {
        if text.len() > 1 {
            text.push(',');
        }
        text.push_str("{\"shard\":");
        text.push_str(&shard.to_string());
        text.push_str(",\"answer\":");
        match serde_json::from_slice::<&RawValue>(body) {
            Ok(raw) => text.push_str(raw.get()),
            // Text that isn't JSON is passed on as a string.
            Err(_) => text.push_str(&Value::from(String::from_utf8_lossy(body)).to_string()),
        }
        text.push('}');
    }
    text.push(']');
    text
}
