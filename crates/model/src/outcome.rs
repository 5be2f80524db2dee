//! The outcome of a request, as reported to its caller.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The outcome of a request. Each answer carries exactly one.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerOutcome {
    /// Every shard of the snapshot answered.
    #[display("complete")]
    Complete,
    /// Some shards are missing; the answer lists them.
    #[display("partial")]
    Partial,
    /// No backend server ran the request.
    #[display("not-run")]
    NotRun,
    /// The request may have run, but its result is unknown.
    #[display("unknown")]
    Unknown,
}

/// The reason a request was refused or could not be completed.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// A header or the body is malformed.
    #[display("bad-request")]
    BadRequest,
    /// The service is not in the inventory.
    #[display("unknown-service")]
    UnknownService,
    /// The deadline can't be met with the current queues.
    #[display("overloaded")]
    Overloaded,
    /// The deadline passed before the request was forwarded.
    #[display("deadline")]
    Deadline,
    /// The service has no known backend server or layout.
    #[display("unavailable")]
    Unavailable,
    /// The request's content is quarantined because it crashed backend servers.
    #[display("quarantined")]
    Quarantined,
    /// The platform's store, needed for requests that run at most once, did not answer.
    #[display("store-unavailable")]
    StoreUnavailable,
    /// The request id has already been used with different content.
    #[display("id-conflict")]
    IdConflict,
    /// Another daemon is currently running the request.
    #[display("in-progress")]
    InProgress,
    /// The request id is older than the retention time of records.
    #[display("expired")]
    Expired,
    /// The request id's time of issue is in the future.
    #[display("issued-in-future")]
    IssuedInFuture,
    /// The connection to the backend server was lost after the request was sent.
    #[display("lost-reply")]
    LostReply,
    /// The workspace's quota is used up.
    #[display("over-quota")]
    OverQuota,
    /// The daemon is stopping.
    #[display("stopping")]
    Stopping,
}
