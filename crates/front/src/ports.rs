//! The front's interfaces to a platform: the format of its HTTP messages, and the
//! store of routes and registrations.

use crate::answer::RoutedAnswer;
use crate::store_revision::StoreRevision;
use bytes::Bytes;
use camphorway_model::{
    FailureDomain, FrontRecord, KeyDigest, RouteTable, ServerName, ServerRecord, VmName,
    WorkspaceName,
};
use camphorway_policy::{ContentHash, StatedLoad};
use derive_more::Display;
use http_body_util::Full;
use hyper::http::{request, response};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_with::{DurationMilliSeconds, serde_as};
use std::time::Duration;

/// Names and formats of the HTTP messages of callers and backend servers.
pub trait WireDialect: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    /// Returns why the head is invalid.
    fn read_request(&self, head: request::Parts) -> Result<RequestHead, HeadFault>;

    /// Takes the caller's key out of a request's headers, and the workspace that the
    /// caller names.
    fn take_key(&self, headers: &mut HeaderMap) -> CallerKey;

    /// Names the workspace that sent a request to the servers that run it.
    fn set_workspace(&self, headers: &mut HeaderMap, workspace: &WorkspaceName);

    /// Builds the response to a caller from `answer`.
    fn write_answer(&self, answer: &RoutedAnswer) -> Response<Full<Bytes>>;

    /// Builds the request to a backend server.
    fn server_request(&self, call: &ServerRequest<'_>) -> Request<Full<Bytes>>;

    /// Reads the head of a backend server's reply.
    fn read_reply(&self, head: &response::Parts) -> ReplyHead;

    /// Whether a request is the balancer's readiness check.
    fn is_readiness_request(&self, head: &request::Parts) -> bool;
}

/// The head of a caller's request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The request id of this attempt.
    pub id: String,
    /// The host, as sent.
    pub host: String,
    /// The method.
    pub method: Method,
    /// The path and query, as sent.
    pub uri: Uri,
    /// The headers to be forwarded.
    pub headers: HeaderMap,
    /// The caller's time limit, if it sent one.
    pub time_limit: Option<Duration>,
}

/// The key that a caller sent. The key itself is kept nowhere.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerKey {
    /// The request has no key.
    Missing,
    /// What the request has in place of one key can't be read.
    Malformed,
    /// The digest of its key.
    Digest(KeyDigest),
}

/// Why a request's head is invalid.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum HeadFault {
    /// The request id is missing or repeated.
    #[display("request id missing or repeated")]
    Id,
    /// The host is missing or repeated.
    #[display("host missing or repeated")]
    Host,
    /// The time limit is not a number of milliseconds.
    #[display("time limit is not a number of milliseconds")]
    TimeLimit,
}

/// A request to a backend server.
#[derive(Clone, Copy, Debug)]
pub struct ServerRequest<'request> {
    /// The head of the caller's request.
    pub head: &'request RequestHead,
    /// The body of the caller's request.
    pub body: &'request Bytes,
    /// The server to which the request is addressed.
    pub server: &'request ServerName,
    /// The time until the call times out.
    pub time_left: Duration,
}

/// The head of a backend server's reply.
#[derive(Clone, Debug)]
pub struct ReplyHead {
    /// Whether the server ran the request.
    pub run: RunStatus,
    /// The server's signature of the answer.
    pub signature: Option<String>,
    /// The id of the request that the reply answers.
    pub request: Option<String>,
    /// Whether the body is encoded, although no encoding was accepted.
    pub is_encoded: bool,
    /// The time for which the server keeps the idle connection open.
    pub idle_timeout: Option<Duration>,
    /// What the server says of itself.
    pub signals: ServerSignals,
    /// The headers to be forwarded.
    pub headers: HeaderMap,
}

impl ReplyHead {
    /// Whether the reply is the answer to the request with this id. One that names no
    /// request may be bytes that a faulty server added to an earlier answer.
    pub fn is_answer_to(&self, request: &str) -> bool {
        self.request.as_deref() == Some(request)
    }

    /// Whether the reply, an answer with `status`, can be used: a success is signed and
    /// is not encoded.
    pub fn is_usable(&self, status: StatusCode) -> bool {
        let is_unsigned = status.is_success() && self.signature.is_none();
        !is_unsigned && !self.is_encoded
    }
}

/// What a server says of itself in an answer, whatever its status.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerSignals {
    /// Requests a second that it takes from all fronts together.
    pub rate_limit: Option<f64>,
    /// Whether it leaves: new requests go elsewhere.
    pub is_leaving: bool,
    /// For how long it wants no request of this front.
    pub closed_for: Option<Duration>,
    /// For how long it is still cold.
    pub cold_for: Option<Duration>,
    /// Its load as it answered.
    pub load: Option<StatedLoad>,
}

/// Whether a server ran a request.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RunStatus {
    /// The server ran the request.
    #[display("ran")]
    Ran,
    /// The server did not run the request, and never will.
    #[display("rejected")]
    Rejected,
    /// The request was addressed to another server and did not run.
    #[display("misdirected")]
    Misdirected,
}

/// A kind of object in the store, followed as one feed.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum SourceFeed {
    /// Routes, services and limits.
    #[display("configuration")]
    Configuration,
    /// Registrations of backend servers.
    #[display("servers")]
    Servers,
    /// Registrations of fronts.
    #[display("fronts")]
    Fronts,
    /// Quarantined content.
    #[display("held")]
    Quarantined,
    /// Evacuated failure domains.
    #[display("evacuations")]
    Evacuations,
}

impl SourceFeed {
    /// All feeds.
    pub const ALL: [Self; 5] = [
        Self::Configuration,
        Self::Servers,
        Self::Fronts,
        Self::Quarantined,
        Self::Evacuations,
    ];
}

/// One object of a feed, or its removal.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum SourceItem {
    /// A configuration as earlier releases sent it, without workspaces or homes. It is
    /// never sent, and can't be read: the reader asks someone else.
    EarlierConfiguration(EarlierConfiguration),
    /// A server's registration.
    Server(ServerRecord),
    /// A server's registration was removed.
    ServerGone(ServerName),
    /// A front's registration.
    Front(FrontRecord),
    /// A front's registration was removed.
    FrontGone(VmName),
    /// Quarantined content; the end of its quarantine is unknown.
    Quarantined(ContentHash),
    /// Content is no longer quarantined.
    Released(ContentHash),
    /// An object that can't be read; the other items are valid.
    Unreadable {
        /// The object's feed.
        feed: SourceFeed,
        /// The object's name.
        name: String,
        /// Why it can't be read.
        cause: String,
    },
    /// Quarantined content, with the end of its quarantine.
    QuarantinedUntil(QuarantineRecord),
    /// A configuration.
    Configuration(Box<RouteTable>),
    /// A failure domain is evacuated.
    Evacuated(FailureDomain),
    /// An evacuation was taken back.
    EvacuationEnded(FailureDomain),
}

/// The place of an item that is no longer used: no bytes are one.
#[derive(Clone, Copy, Debug)]
pub enum EarlierConfiguration {}

impl Serialize for EarlierConfiguration {
    fn serialize<Target>(&self, _: Target) -> Result<Target::Ok, Target::Error>
    where
        Target: Serializer,
    {
        match *self {}
    }
}

impl<'bytes> Deserialize<'bytes> for EarlierConfiguration {
    fn deserialize<Source>(_: Source) -> Result<Self, Source::Error>
    where
        Source: Deserializer<'bytes>,
    {
        Err(Source::Error::custom(
            "a configuration of an earlier release",
        ))
    }
}

impl SourceItem {
    /// The item's name, unique within its feed.
    pub fn name(&self) -> String {
        match self {
            // The feed has only one item.
            Self::EarlierConfiguration(_) | Self::Configuration(_) => String::new(),
            Self::Server(record) => record.name.to_string(),
            Self::ServerGone(name) => name.to_string(),
            Self::Front(record) => record.vm.to_string(),
            Self::FrontGone(vm) => vm.to_string(),
            Self::Quarantined(content) | Self::Released(content) => content.0.to_string(),
            Self::QuarantinedUntil(record) => record.content.0.to_string(),
            Self::Evacuated(domain) | Self::EvacuationEnded(domain) => domain.to_string(),
            Self::Unreadable { name, .. } => name.clone(),
        }
    }
}

/// A quarantine as it is stored.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineRecord {
    /// The content.
    pub content: ContentHash,
    /// The time at which it ends, in Unix milliseconds. Clocks of VMs differ by seconds.
    pub ends_at_ms: u64,
    /// The time that it lasts.
    #[serde_as(as = "DurationMilliSeconds")]
    pub lasts: Duration,
}

/// Ends of a quarantine that differ by less are the same.
const QUARANTINE_TOLERANCE: Duration = Duration::from_secs(2);

impl QuarantineRecord {
    /// Whether this quarantine ends as late as the other one.
    pub fn lasts_as_long_as(&self, other: &Self) -> bool {
        let tolerance_ms = QUARANTINE_TOLERANCE.as_millis() as u64;
        self.ends_at_ms + tolerance_ms >= other.ends_at_ms
    }
}

/// The required freshness of a list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListFreshness {
    /// It includes all writes that the store has acknowledged.
    Latest,
    /// It may be seconds old; such a list costs the store less.
    MayBeStale,
}

/// Items of a feed, and the revision from which later changes can be read.
#[derive(Clone, Debug)]
pub struct SourceItems {
    /// The items.
    pub items: Vec<SourceItem>,
    /// The store's revision.
    pub revision: StoreRevision,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum SourceError {
    /// The requested changes are no longer kept, or belong to another history of the
    /// store; list again.
    #[display("history is gone, the era is {era}")]
    HistoryGone {
        /// The history that the origin follows now.
        era: u64,
    },
    /// Any other failure.
    #[display("{step} {feed}: {cause}")]
    Failed {
        /// The name of the failed call.
        step: &'static str,
        /// The feed.
        feed: SourceFeed,
        /// The cause.
        cause: String,
    },
}

impl std::error::Error for SourceError {}

impl SourceError {
    /// The name in metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::HistoryGone { .. } => "history-gone",
            Self::Failed { .. } => "failed",
        }
    }
}

/// The store of routes, registrations, quarantined content and evacuations.
pub trait FeedSource: Send + Sync + 'static {
    /// Lists all items of a feed.
    fn list(
        &self,
        feed: SourceFeed,
        freshness: ListFreshness,
    ) -> impl Future<Output = Result<SourceItems, SourceError>> + Send;

    /// Waits up to `wait` for changes after `revision`, which belong to its history.
    fn watch(
        &self,
        feed: SourceFeed,
        revision: StoreRevision,
        wait: Duration,
    ) -> impl Future<Output = Result<SourceItems, SourceError>> + Send;

    /// Registers a front, replacing an earlier registration of its name;
    /// `may_exist` means that one is likely.
    fn register(
        &self,
        front: &FrontRecord,
        may_exist: bool,
    ) -> impl Future<Output = Result<(), SourceError>> + Send;

    /// Removes a front's registration.
    fn deregister(
        &self,
        front: &FrontRecord,
    ) -> impl Future<Output = Result<(), SourceError>> + Send;

    /// Quarantines content at all fronts, also at those that start later; replaces an
    /// earlier quarantine of the content.
    fn quarantine(
        &self,
        record: &QuarantineRecord,
    ) -> impl Future<Output = Result<(), SourceError>> + Send;

    /// Removes content from the quarantine.
    fn release(&self, content: ContentHash)
    -> impl Future<Output = Result<(), SourceError>> + Send;
}
