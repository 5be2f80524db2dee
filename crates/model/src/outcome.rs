//! What a caller is told about its request.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The outcome of a request; every answer carries exactly one.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerOutcome {
    /// Every shard of the snapshot answered.
    #[display("complete")]
    Complete,
    /// Some shards are missing; the answer names them.
    #[display("partial")]
    Partial,
    /// No byte of the request reached a backend server.
    #[display("not-run")]
    NotRun,
    /// The request may have run, and the result is not known.
    #[display("unknown")]
    Unknown,
}

/// Why a request was refused or could not be finished.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// A header or the body is malformed.
    #[display("bad-request")]
    BadRequest,
    /// The service is not in the inventory.
    #[display("unknown-service")]
    UnknownService,
    /// The deadline can't be met with the present queues.
    #[display("overloaded")]
    Overloaded,
    /// The deadline passed before the request was sent on.
    #[display("deadline")]
    Deadline,
    /// No backend server or layout is known for the service.
    #[display("unavailable")]
    Unavailable,
    /// The request's content is held back since it crashed backend servers.
    #[display("quarantined")]
    Quarantined,
    /// The platform's store, which guards requests that run at most once, did not answer.
    #[display("store-unavailable")]
    StoreUnavailable,
    /// The same request id was used with other content.
    #[display("id-conflict")]
    IdConflict,
    /// Another daemon is running the request now.
    #[display("in-progress")]
    InProgress,
    /// The request id is older than records are kept.
    #[display("expired")]
    Expired,
    /// The request id was issued in the future.
    #[display("issued-in-future")]
    IssuedInFuture,
    /// The connection to the backend server failed after the request was sent.
    #[display("lost-reply")]
    LostReply,
    /// The daemon is stopping.
    #[display("stopping")]
    Stopping,
}
