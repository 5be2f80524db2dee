//! Claims: records in the platform's store which ensure that a request that must
//! not run twice is run by one daemon only.
//!
//! An object holds the claims of one bucket of request ids, issued within one
//! minute. The attempt whose claim is first in the object, by conditional update,
//! may dispatch, once. There are no leases: a claim never expires, so its owner
//! may be paused for any time without harm. Afterwards the claim holds the
//! outcome and the answer for a caller that resends the request.

use camphorway_model::{AnswerOutcome, RequestId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

const BUCKETS: u64 = 8;
const MINUTE_MS: u64 = 60_000;
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(30);
/// Larger answers are not kept, so that an object stays small.
pub const MAX_KEPT_ANSWER_BYTES: usize = 2_048;

/// The progress of a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum ClaimState {
    /// An attempt owns it and may have dispatched the request.
    Claimed,
    /// The owner abandoned it before dispatch; the id may be claimed again.
    Void,
    /// The request ended.
    Done {
        /// The request's outcome.
        outcome: AnswerOutcome,
        /// The answer's body, if it was small enough to keep.
        answer: Option<String>,
    },
}

/// One claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimEntry {
    /// The mark of the attempt that owns the claim, unique to each attempt.
    pub owner: String,
    /// The hash of service and body.
    pub content: u64,
    /// Its progress.
    #[serde(flatten)]
    pub state: ClaimState,
}

/// The claims of one bucket and minute.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimObject {
    /// Claims by request id.
    pub claims: BTreeMap<RequestId, ClaimEntry>,
}

/// The decision on an attempt, according to the claim in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimDecision {
    /// The claim belongs to this attempt: dispatch, once.
    Own,
    /// The id was used with different content.
    Conflict,
    /// Another attempt owns the id and has not recorded an outcome.
    InProgress,
    /// The request ended; this is its kept result.
    Ended {
        /// The request's outcome.
        outcome: AnswerOutcome,
        /// The answer's body, if kept.
        answer: Option<String>,
    },
}

/// Whether an id may be claimed, by its time of issue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimWindow {
    /// It may be claimed.
    Open,
    /// Its claim may have been deleted: it must be refused, and not as `not-run`.
    Expired,
    /// It was issued in the future beyond the allowed clock skew.
    Future,
}

impl ClaimWindow {
    /// Classifies an id at `now_ms`, in milliseconds since 1970.
    pub fn of(id: &RequestId, now_ms: u64, retention: Duration) -> Self {
        let issued = id.issued_at_ms();
        if issued > now_ms + MAX_CLOCK_SKEW.as_millis() as u64 {
            return Self::Future;
        }
        if now_ms.saturating_sub(issued) > retention.as_millis() as u64 {
            return Self::Expired;
        }
        Self::Open
    }
}

/// Whether a claim of `id` may be among those that the store lost when its present history
/// began, at `began_ms` since 1970; 0 if it has lost none.
pub fn may_be_lost(id: &RequestId, began_ms: u64) -> bool {
    let latest_ms = began_ms + MAX_CLOCK_SKEW.as_millis() as u64;
    began_ms > 0 && id.issued_at_ms() <= latest_ms
}

/// The key of the object that holds the claim of `id`.
pub fn object_key(id: &RequestId) -> String {
    let minute = id.issued_at_ms() / MINUTE_MS;
    let bucket = xxh3_64(id.as_bytes()) % BUCKETS;
    format!("claims/{minute:010}/{bucket}")
}

/// The minute, since 1970, in the key of a claim object.
pub fn minute_of_key(key: &str) -> Option<u64> {
    key.strip_prefix("claims/")?.split('/').next()?.parse().ok()
}

impl ClaimObject {
    /// Adds a claim for `id` unless there is one already.
    ///
    /// A void claim may be replaced, but only together with its content.
    pub fn claim(&mut self, id: RequestId, owner: &str, content: u64) {
        let is_replaceable = self
            .claims
            .get(&id)
            .is_none_or(|entry| entry.state == ClaimState::Void);
        if is_replaceable {
            let entry = ClaimEntry {
                owner: owner.to_owned(),
                content,
                state: ClaimState::Claimed,
            };
            self.claims.insert(id, entry);
        }
    }

    /// The decision on the attempt `owner`, according to this object.
    ///
    /// None if there is no claim, so that it must be written first.
    pub fn decide(&self, id: &RequestId, owner: &str, content: u64) -> Option<ClaimDecision> {
        let entry = self.claims.get(id)?;
        if entry.content != content && entry.state != ClaimState::Void {
            return Some(ClaimDecision::Conflict);
        }
        match &entry.state {
            ClaimState::Void => None,
            ClaimState::Claimed if entry.owner == owner => Some(ClaimDecision::Own),
            ClaimState::Claimed => Some(ClaimDecision::InProgress),
            ClaimState::Done { outcome, answer } => Some(ClaimDecision::Ended {
                outcome: *outcome,
                answer: answer.clone(),
            }),
        }
    }

    /// Records the end of a claim if `owner` holds it; false if it doesn't.
    pub fn end(&mut self, id: &RequestId, owner: &str, state: ClaimState) -> bool {
        match self.claims.get_mut(id) {
            Some(entry) if entry.owner == owner && entry.state == ClaimState::Claimed => {
                entry.state = state;
                true
            }
            Some(_) | None => false,
        }
    }

    /// Ensures that the attempt `owner`, which was abandoned before dispatch,
    /// holds no claim now or later. Returns whether the object must be written.
    ///
    /// The entry is written even if there is none: a write of the claim whose
    /// reply was lost may still be in flight, and then fails on the newer
    /// version.
    pub fn void(&mut self, id: RequestId, owner: &str, content: u64) -> bool {
        let entry = self.claims.entry(id).or_insert_with(|| ClaimEntry {
            owner: owner.to_owned(),
            content,
            state: ClaimState::Claimed,
        });
        if entry.owner != owner || entry.state != ClaimState::Claimed {
            return false;
        }
        entry.state = ClaimState::Void;
        true
    }
}
