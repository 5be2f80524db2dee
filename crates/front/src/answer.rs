//! What a caller of a route gets.
//!
//! A refusal says that the request did not run. It can be built only from a
//! proof, so no path can claim it by accident.

use bytes::Bytes;
use camphorway_model::RefusalReason;
use camphorway_policy::NotRunProof;
use derive_more::Display;
use hyper::{HeaderMap, StatusCode};
use std::time::Duration;

/// An answer to one request.
#[derive(Clone, Debug)]
pub enum RoutedAnswer {
    /// One server's answer, unchanged.
    Passed(ServerAnswer),
    /// The merged parts of several servers.
    Merged(MergedAnswer),
    /// The request did not run, and never will.
    Refused(RefusedAnswer),
    /// The request may have run and has no answer.
    Failed(FailReason),
    /// The request can't be served as it is.
    Invalid(InvalidReason),
}

/// A backend server's complete answer.
#[derive(Clone, Debug)]
pub struct ServerAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers, without those of one connection.
    pub headers: HeaderMap,
    /// Its signature.
    pub signature: Option<String>,
    /// Its body.
    pub body: Bytes,
}

/// Parts merged into one answer.
#[derive(Clone, Debug)]
pub struct MergedAnswer {
    /// The records.
    pub body: Bytes,
    /// The signatures of the parts.
    pub signatures: Vec<String>,
    /// Shards that are not in.
    pub missing: usize,
}

/// A request that did not run.
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
    /// The time is over.
    #[display("timeout")]
    Timeout,
    /// Fewer shards answered than the route asks for.
    #[display("too-few-parts")]
    TooFewParts,
}

/// Why a request can't be served as it is.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum InvalidReason {
    /// No route leads there.
    #[display("no-route")]
    NoRoute,
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

impl RefusedAnswer {
    /// A refusal of a request that `proof` shows not to have run.
    pub fn new(proof: &NotRunProof, retry_after: Duration) -> Self {
        Self {
            reason: proof.reason(),
            retry_after,
        }
    }

    /// Why.
    pub fn reason(&self) -> RefusalReason {
        self.reason
    }

    /// When the caller may ask again.
    pub fn retry_after(&self) -> Duration {
        self.retry_after
    }
}

impl RoutedAnswer {
    /// A short word for logs and metrics.
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

    /// Whether it is a success that lacks nothing.
    pub fn is_whole(&self) -> bool {
        match self {
            Self::Passed(answer) => answer.status.is_success(),
            Self::Merged(merged) => merged.missing == 0,
            Self::Refused(_) | Self::Failed(_) | Self::Invalid(_) => false,
        }
    }

    /// The reason of a refusal or failure, for logs.
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
