//! Answers to callers.
//!
//! A refusal promises that the request did not run. It can be built only from a
//! proof, so no path makes that promise by accident.

use bytes::Bytes;
use camphorway_model::RefusalReason;
use camphorway_policy::NotRunProof;
use derive_more::Display;
use hyper::{HeaderMap, StatusCode};
use std::time::Duration;

/// An answer to one request.
#[derive(Clone, Debug)]
pub enum RoutedAnswer {
    /// One server's answer, passed through unchanged.
    Passed(ServerAnswer),
    /// The merged parts of several servers.
    Merged(MergedAnswer),
    /// The request did not run, and never will.
    Refused(RefusedAnswer),
    /// The request may have run, but there is no answer.
    Failed(FailReason),
    /// The request itself is invalid.
    Invalid(InvalidReason),
}

/// A backend server's complete answer.
#[derive(Clone, Debug)]
pub struct ServerAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers, without those that concern one connection.
    pub headers: HeaderMap,
    /// The server's signature.
    pub signature: Option<String>,
    /// The body.
    pub body: Bytes,
    /// Whether the answer told where its body ends. One that ends with its connection
    /// can't be distinguished from one that a crash cut short.
    pub is_delimited: bool,
}

/// The answers of several shards, merged into one.
#[derive(Clone, Debug)]
pub struct MergedAnswer {
    /// The merged records.
    pub body: Bytes,
    /// The signatures of the parts.
    pub signatures: Vec<String>,
    /// The number of shards that are missing.
    pub missing: usize,
}

/// The refusal of a request that did not run.
#[derive(Clone, Debug)]
pub struct RefusedAnswer {
    reason: RefusalReason,
    retry_after: Duration,
}

/// Why a request that may have run has no answer.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum FailReason {
    /// The servers failed, or their answers were lost.
    #[display("lost")]
    Lost,
    /// The request's time limit expired.
    #[display("timeout")]
    Timeout,
    /// Fewer shards answered than the route requires.
    #[display("too-few-parts")]
    TooFewParts,
}

/// Why a request is invalid.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum InvalidReason {
    /// No route matches the host and path.
    #[display("no-route")]
    NoRoute,
    /// No workspace has the request's key, or it has none.
    #[display("unknown-key")]
    UnknownKey,
    /// The head is malformed.
    #[display("bad-request")]
    BadRequest,
    /// The body is too large.
    #[display("too-large")]
    TooLarge,
    /// The body did not arrive in time.
    #[display("too-slow")]
    TooSlow,
}

/// The answer to a request that did not pass a check.
#[derive(Clone, Debug)]
pub enum RejectedRequest {
    /// It did not run, and never will.
    Refused(RefusedAnswer),
    /// It is invalid.
    Invalid(InvalidReason),
}

impl From<RejectedRequest> for RoutedAnswer {
    fn from(rejected: RejectedRequest) -> Self {
        match rejected {
            RejectedRequest::Refused(refused) => Self::Refused(refused),
            RejectedRequest::Invalid(reason) => Self::Invalid(reason),
        }
    }
}

impl RefusedAnswer {
    /// Refuses a request that, as `proof` shows, did not run.
    pub fn new(proof: &NotRunProof, retry_after: Duration) -> Self {
        Self {
            reason: proof.reason(),
            retry_after,
        }
    }

    /// The reason of the refusal.
    pub fn reason(&self) -> RefusalReason {
        self.reason
    }

    /// The time after which the caller may retry.
    pub fn retry_after(&self) -> Duration {
        self.retry_after
    }
}

impl RoutedAnswer {
    /// The name of the outcome in logs and metrics.
    pub fn outcome(&self) -> &'static str {
        match self {
            Self::Passed(answer) if answer.status.is_success() => "passed",
            Self::Passed(_) => "passed-failure",
            Self::Merged(merged) if merged.missing == 0 => "complete",
            Self::Merged(_) => "partial",
            Self::Refused(_) => "refused",
            Self::Failed(_) => "failed",
            Self::Invalid(_) => "invalid",
        }
    }

    /// Whether it is a success with all parts.
    pub fn is_complete(&self) -> bool {
        match self {
            Self::Passed(answer) => answer.status.is_success(),
            Self::Merged(merged) => merged.missing == 0,
            Self::Refused(_) | Self::Failed(_) | Self::Invalid(_) => false,
        }
    }

    /// The reason of the outcome, for logs.
    pub fn reason(&self) -> String {
        match self {
            Self::Passed(answer) => answer.status.as_u16().to_string(),
            Self::Merged(merged) => format!("missing-{}", merged.missing),
            Self::Refused(refused) => refused.reason.to_string(),
            Self::Failed(reason) => reason.to_string(),
            Self::Invalid(reason) => reason.to_string(),
        }
    }
}
