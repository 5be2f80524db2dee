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

/// The request that opens a stream, sent as its first frame.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PeerRequest {
    /// Call the backend servers of a group.
    Group(GroupRequest),
    /// Exchange shared items and crash reports.
    Pull(PullRequest),
}

/// A shard to query.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ShardQuery {
    /// The shard.
    pub shard: ShardId,
    /// The instance whose replicas serve the shard.
    pub instance: InstanceName,
}

/// How often a request may run, and whether other calls may run beside it.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum RunMode {
    /// Hedged and retried within the budgets.
    #[display("free")]
    Free,
    /// On one backend server, once.
    #[display("once")]
    Once,
    /// On one backend server, once, while the server runs nothing else.
    #[display("alone")]
    Alone,
}

/// A request to a holder for some shards of its group.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct GroupRequest {
    /// ID of the caller's request.
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
    /// Hash of the request's content, for the quarantine.
    pub content: ContentHash,
    /// Time left until the deadline, at sending.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub time_left: Duration,
    /// How the request may run.
    pub mode: RunMode,
    /// Whether the service may run the request more than once.
    pub idempotent: bool,
    /// Body of the caller's request.
    pub body: Bytes,
}

/// Why a shard was not queried.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum UnsentCause {
    /// Too little time was left before the deadline.
    #[display("late")]
    TooLate,
    /// The queue was full.
    #[display("crowded")]
    QueueFull,
    /// No replica accepts calls.
    #[display("unavailable")]
    Unavailable,
}

/// Why a shard that was queried has no answer.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum FailCause {
    /// The connection was lost.
    #[display("lost")]
    Lost,
    /// The backend server refused the call.
    #[display("refused")]
    Refused,
    /// The reply did not arrive in time.
    #[display("timeout")]
    Timeout,
    /// The reply was for another request, shard or snapshot.
    #[display("mismatch")]
    Mismatch,
}

/// The result of one shard.
#[derive(Clone, Debug, Deserialize, Display, Serialize)]
pub enum ShardResult {
    /// The backend server's answer.
    #[display("answered")]
    Answered(Bytes),
    /// No byte was sent to a backend server.
    #[display("not-sent-{_0}")]
    Unsent(UnsentCause),
    /// The replicas no longer have the snapshot, or don't have it yet.
    #[display("no-snapshot")]
    NoSnapshot,
    /// The backend server's process ended while the call was running.
    #[display("crashed")]
    Crashed(CrashReport),
    /// The call was sent, but there is no answer.
    #[display("failed-{_0}")]
    Failed(FailCause),
}

/// A shard's result and what it belongs to.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ShardReply {
    /// ID of the caller's request.
    pub request: RequestId,
    /// The shard.
    pub shard: ShardId,
    /// The snapshot.
    pub snapshot: SnapshotId,
    /// The shard's result.
    pub result: ShardResult,
}

/// A frame of a holder's answer to a group request: an acknowledgement, each shard
/// as it completes, and the end.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum HolderFrame {
    /// The request was read.
    Ack {
        /// The current wait for a slot, by rank.
        #[serde_as(as = "[DurationMicroSeconds<u64>; 3]")]
        waits: [Duration; 3],
        /// The time a call takes once it has a slot.
        #[serde_as(as = "DurationMicroSeconds<u64>")]
        service_time: Duration,
    },
    /// The result of one shard.
    Shard(ShardReply),
    /// The results of all shards were sent.
    Done,
}

/// A request for the items that the sender lacks, with the sender's reports.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PullRequest {
    /// Versions of the sender's items.
    pub versions: Vec<ItemVersion>,
    /// The sender's reports on servers and contents.
    pub reports: PeerReports,
}

/// The reply to a pull.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PullReply {
    /// Items that the requester lacked.
    pub items: Vec<SharedItem>,
    /// The replying daemon's reports on servers and contents.
    pub reports: PeerReports,
}

/// Reports on servers and contents, exchanged between daemons.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct PeerReports {
    /// Crashes of backend servers.
    pub crashes: Vec<CrashReport>,
    /// Suspect contents that ran without a crash.
    pub cleared: Vec<ClearReport>,
    /// Backend servers that are draining.
    pub drains: Vec<DrainReport>,
}
