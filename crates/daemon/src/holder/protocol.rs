//! The HTTP protocol with backend servers, which docs/backend-servers.md describes.

use bytes::Bytes;
use camphorway_model::{RequestId, RequestRank, ServiceName, ShardId, SnapshotId};
use camphorway_policy::snapshot_choice::HeldSnapshots;
use http_body_util::Full;
use hyper::header::HeaderMap;
use hyper::{Method, Request, StatusCode};
use std::time::Duration;

/// Header of the caller's request id.
pub const REQUEST_HEADER: &str = "camphorway-request";
/// Header of the call's id, unique for each attempt.
pub const CALL_HEADER: &str = "camphorway-call";
/// Header of the service.
pub const SERVICE_HEADER: &str = "camphorway-service";
/// Header of the shard.
pub const SHARD_HEADER: &str = "camphorway-shard";
/// Header of the snapshot.
pub const SNAPSHOT_HEADER: &str = "camphorway-snapshot";
/// Header of the time left, in milliseconds.
pub const DEADLINE_HEADER: &str = "camphorway-deadline-ms";
/// Header of the rank.
pub const RANK_HEADER: &str = "camphorway-rank";
/// Header that permits repeating the call.
pub const IDEMPOTENT_HEADER: &str = "camphorway-idempotent";
/// Header of the boot number, which changes when the server's process starts.
pub const BOOT_HEADER: &str = "camphorway-boot";
/// Header of the reason that a call was not answered.
pub const REASON_HEADER: &str = "camphorway-reason";
/// Header of the oldest snapshot held.
pub const OLDEST_HEADER: &str = "camphorway-oldest-snapshot";
/// Header of the newest snapshot held.
pub const NEWEST_HEADER: &str = "camphorway-newest-snapshot";

/// Maximum size of a status.
pub const MAX_STATUS_BYTES: usize = 16_384;

/// One call to a backend server.
#[derive(Clone, Debug)]
pub struct ServerRequest<'call> {
    /// The caller's request.
    pub request: RequestId,
    /// The call's id, unique for each attempt.
    pub call: u64,
    /// The service.
    pub service: &'call ServiceName,
    /// The shard.
    pub shard: ShardId,
    /// The snapshot.
    pub snapshot: SnapshotId,
    /// The time left.
    pub time_left: Duration,
    /// The rank.
    pub rank: RequestRank,
    /// Whether the call may be repeated.
    pub idempotent: bool,
    /// The caller's body.
    pub body: &'call Bytes,
}

/// The kind of a backend server's reply, once it is matched to the call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplyKind {
    /// An answer.
    Answer,
    /// The server does not hold the snapshot.
    NoSnapshot(HeldSnapshots),
    /// The server is overloaded.
    Shed,
    /// The server is draining.
    Draining,
    /// The call was cancelled or its deadline passed.
    Abandoned,
    /// Any other refusal.
    Refused,
}

impl ServerRequest<'_> {
    /// Builds the HTTP request.
    ///
    /// # Panics
    /// Panics if a header value is not plain text, which the types rule out.
    pub fn to_http(&self) -> Request<Full<Bytes>> {
        Request::builder()
            .method(Method::POST)
            .uri("/call")
            .header(hyper::header::HOST, "backend-server")
            .header(REQUEST_HEADER, self.request.to_string())
            .header(CALL_HEADER, self.call)
            .header(SERVICE_HEADER, self.service.as_str())
            .header(SHARD_HEADER, self.shard.0)
            .header(SNAPSHOT_HEADER, self.snapshot.0)
            .header(DEADLINE_HEADER, self.time_left.as_millis() as u64)
            .header(RANK_HEADER, self.rank.to_string())
            .header(
                IDEMPOTENT_HEADER,
                if self.idempotent { "yes" } else { "no" },
            )
            .body(Full::new(self.body.clone()))
            .expect("header values are plain text")
    }

    /// Whether a reply's headers name this request, call, shard and snapshot.
    pub fn is_answered_by(&self, headers: &HeaderMap) -> bool {
        let request = text(headers, REQUEST_HEADER).and_then(|text| RequestId::parse(text).ok());
        request == Some(self.request)
            && number(headers, CALL_HEADER) == Some(self.call)
            && number(headers, SHARD_HEADER) == Some(u64::from(self.shard.0))
            && number(headers, SNAPSHOT_HEADER) == Some(self.snapshot.0)
    }
}

/// Builds the HTTP request that cancels a call.
///
/// # Panics
/// Never: all parts are constant or numbers.
pub fn cancel_request(call: u64) -> Request<Full<Bytes>> {
    Request::builder()
        .method(Method::POST)
        .uri("/cancel")
        .header(hyper::header::HOST, "backend-server")
        .header(CALL_HEADER, call)
        .body(Full::new(Bytes::new()))
        .expect("header values are plain text")
}

/// Builds the HTTP request for a server's status.
///
/// # Panics
/// Never: all parts are constant.
pub fn status_request() -> Request<Full<Bytes>> {
    Request::builder()
        .uri("/status")
        .header(hyper::header::HOST, "backend-server")
        .body(Full::new(Bytes::new()))
        .expect("header values are plain text")
}

/// Determines a reply's kind from its status and headers.
pub fn reply_kind(status: StatusCode, headers: &HeaderMap) -> ReplyKind {
    if status == StatusCode::OK {
        return ReplyKind::Answer;
    }
    match text(headers, REASON_HEADER) {
        Some("no-snapshot") => ReplyKind::NoSnapshot(HeldSnapshots {
            oldest: number(headers, OLDEST_HEADER).map(SnapshotId),
            newest: number(headers, NEWEST_HEADER).map(SnapshotId),
        }),
        Some("shed") => ReplyKind::Shed,
        Some("draining") => ReplyKind::Draining,
        Some("cancelled" | "deadline") => ReplyKind::Abandoned,
        Some(_) | None => ReplyKind::Refused,
    }
}

/// The server's boot number from a reply's headers.
pub fn boot_number(headers: &HeaderMap) -> Option<u64> {
    number(headers, BOOT_HEADER)
}

fn text<'headers>(headers: &'headers HeaderMap, name: &str) -> Option<&'headers str> {
    headers.get(name)?.to_str().ok()
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}
