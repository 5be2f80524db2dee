//! Requests for credit of a workspace's quota, and the replies.

use camphorway_model::WorkspaceName;
use serde::{Deserialize, Serialize};

/// The first byte of a [`CreditQuery`], by which it differs from a feed's query. An
/// earlier release can't read it and closes the stream.
pub const CREDIT_TAG: u8 = 0x40;

/// A peer's query about a workspace's quota.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CreditQuery {
    /// [`CREDIT_TAG`].
    tag: u8,
    /// The workspace.
    pub workspace: WorkspaceName,
    /// What the peer asks for.
    pub subject: CreditSubject,
}

/// What a query about a quota asks for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CreditSubject {
    /// The credit of one request.
    Request,
    /// Whether the front that is asked owns the quota, as far as it knows.
    Ownership,
}

/// The reply to a request for credit.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CreditReply {
    /// The request is within the quota.
    Granted,
    /// There is no credit for this time.
    Refused {
        /// The time, in milliseconds.
        retry_after_ms: u64,
    },
    /// The peer does not answer for the workspace.
    NotResponsible,
    /// The peer owns the quota.
    Owner,
    /// The peer knows that it does not own the quota.
    NotOwner,
    /// The peer does not own the quota, and has started so late that it doesn't know who
    /// owned it before. An earlier release can't read this, and takes the peer as not
    /// reached.
    Unaware,
}

impl CreditQuery {
    /// A query about the quota of `workspace`.
    pub fn new(workspace: &WorkspaceName, subject: CreditSubject) -> Self {
        Self {
            tag: CREDIT_TAG,
            workspace: workspace.clone(),
            subject,
        }
    }
}
