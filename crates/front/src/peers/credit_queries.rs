//! Peers' requests for credit, on their way to whoever grants it.
//!
//! They wait only while the process stands still or has too little processor time. Those of
//! a workspace that sends at many times its quota then leave room for the others'.

use crate::messages::credit_message::{CreditQuery, CreditReply};
use crate::peers::workspace_slots::WorkspaceSlots;
use async_channel::{Receiver, Sender};
use std::time::Duration;

/// Requests of one workspace that may wait for a decision; more are refused.
const MAX_WAITING_OF_WORKSPACE: usize = 32;
/// Requests of all workspaces that may wait; more are not decided here.
const MAX_WAITING: usize = 1_024;
/// The time after which a request of a workspace may be repeated when too many wait.
const CROWDED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A peer's request for credit that waits for its reply.
#[derive(Debug)]
pub struct WaitingQuery {
    /// The request.
    pub query: CreditQuery,
    /// Takes the reply.
    pub reply: Sender<CreditReply>,
}

/// Hands requests for credit to the front's quotas.
#[derive(Clone, Debug)]
pub struct CreditQueries {
    sender: Sender<WaitingQuery>,
    slots: WorkspaceSlots,
}

impl CreditQueries {
    /// Creates the queue of requests.
    pub fn new() -> (Self, Receiver<WaitingQuery>) {
        let (sender, queries) = async_channel::bounded(MAX_WAITING);
        let slots = WorkspaceSlots::new(MAX_WAITING_OF_WORKSPACE);
        (Self { sender, slots }, queries)
    }

    /// The reply to a peer's request.
    pub async fn answer(&self, query: CreditQuery) -> CreditReply {
        let workspace = query.workspace.clone();
        let Some(_slot) = self.slots.take(&workspace) else {
            return CreditReply::Refused {
                retry_after_ms: CROWDED_RETRY_AFTER.as_millis() as u64,
            };
        };
        let (reply, replies) = async_channel::bounded(1);
        let is_queued = self.sender.try_send(WaitingQuery { query, reply }).is_ok();
        if !is_queued {
            return CreditReply::NotResponsible;
        }
        let received = replies.recv().await;
        received.unwrap_or(CreditReply::NotResponsible)
    }
}
