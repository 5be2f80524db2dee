//! The messages between daemons.

use bytes::Bytes;
use camphorway_gossip::{ItemVersion, SharedItem};
use camphorway_model::{
    GroupId, InstanceName, RequestId, RequestRank, ServiceName, ShardId, SnapshotId,
};
use camphorway_policy::{ClearReport, ContentHash, CrashReport, DrainReport, KindHash};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, serde_as};
use std::time::Duration;

/// What a stream asks for; its first frame.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PeerRequest {
    /// Call the backend servers of a group.
    Group(GroupRequest),
    /// Exchange shared items and crash reports.
    Pull(PullRequest),
}

/// One shard to ask.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ShardQuery {
    /// The shard.
    pub shard: ShardId,
    /// The instance whose replicas hold it.
    pub instance: InstanceName,
}

/// How freely a request may run.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum RunMode {
    /// Hedged and retried as the budgets allow.
    #[display("free")]
    Free,
    /// On one backend server, once.
    #[display("once")]
    Once,
    /// On one backend server, once, with nothing beside it.
    #[display("alone")]
    Alone,
}

/// Asks a holder for some shards of its group.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct GroupRequest {
    /// The caller's request.
    pub request: RequestId,
    /// The service.
    pub service: ServiceName,
    /// The group.
    pub group: GroupId,
    /// The snapshot from which every answer must come.
    pub snapshot: SnapshotId,
    /// The shards.
    pub shards: Vec<ShardQuery>,
    /// Rank in the queues.
    pub rank: RequestRank,
    /// Kind in the queues.
    pub kind: KindHash,
    /// The content, for the quarantine.
    pub content: ContentHash,
    /// Time until the answer is worthless, at sending.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub time_left: Duration,
    /// How freely it may run.
    pub mode: RunMode,
    /// Whether the service may run it more than once.
    pub idempotent: bool,
    /// The caller's body.
    pub body: Bytes,
}

/// Why a shard was not asked.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum NotSentReason {
    /// Too little time was left.
    #[display("late")]
    Late,
    /// The queue was full.
    #[display("crowded")]
    Crowded,
    /// No replica takes calls.
    #[display("unavailable")]
    Unavailable,
}

/// Why a shard that was asked has no answer.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum FailCause {
    /// The connection was lost.
    #[display("lost")]
    Lost,
    /// The backend server refused.
    #[display("refused")]
    Refused,
    /// The reply did not come in time.
    #[display("timeout")]
    Timeout,
    /// The reply belonged to something else.
    #[display("mismatch")]
    Mismatch,
}

/// What became of one shard.
#[derive(Clone, Debug, Deserialize, Display, Serialize)]
pub enum ShardResult {
    /// The backend server's answer.
    #[display("answered")]
    Answered(Bytes),
    /// No byte was sent to a backend server.
    #[display("not-sent-{_0}")]
    NotSent(NotSentReason),
    /// The replicas no longer, or not yet, hold the snapshot.
    #[display("no-snapshot")]
    NoSnapshot,
    /// The backend server's process ended while the call ran there.
    #[display("crashed")]
    Crashed(CrashReport),
    /// Sent, without an answer.
    #[display("failed-{_0}")]
    Failed(FailCause),
}

/// A shard's result, with what it belongs to.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ShardReply {
    /// The caller's request.
    pub request: RequestId,
    /// The shard.
    pub shard: ShardId,
    /// The snapshot.
    pub snapshot: SnapshotId,
    /// What became of it.
    pub result: ShardResult,
}

/// A holder's answer to a group request: an acknowledgement, each shard as it
/// ends, and the end.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum HolderFrame {
    /// The request was read.
    Ack {
        /// The wait for a slot of each rank at present.
        #[serde_as(as = "[DurationMicroSeconds<u64>; 3]")]
        waits: [Duration; 3],
        /// The time that a call takes once it has a slot.
        #[serde_as(as = "DurationMicroSeconds<u64>")]
        service_time: Duration,
    },
    /// One shard.
    Shard(ShardReply),
    /// All shards were told.
    Done,
}

/// Asks a peer for what it has and the sender lacks.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PullRequest {
    /// What the sender holds.
    pub versions: Vec<ItemVersion>,
    /// What the sender knows of servers and contents.
    pub reports: PeerReports,
}

/// Answers a pull.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PullReply {
    /// Items that the sender lacked.
    pub items: Vec<SharedItem>,
    /// What the receiver knows of servers and contents.
    pub reports: PeerReports,
}

/// What a daemon tells others of servers and contents.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct PeerReports {
    /// Crashes.
    pub crashes: Vec<CrashReport>,
    /// Suspects that succeeded.
    pub cleared: Vec<ClearReport>,
    /// Draining servers.
    pub drains: Vec<DrainReport>,
}
