//! What the front needs of the world: a way to read and write HTTP messages of
//! a platform, and a source of routes and registrations.

use crate::answer::RoutedAnswer;
use bytes::Bytes;
use camphorway_model::{FrontRecord, RouteTable, ServerName, ServerRecord, VmName};
use camphorway_policy::ContentHash;
use derive_more::Display;
use http_body_util::Full;
use hyper::http::{request, response};
use hyper::{HeaderMap, Method, Request, Response, Uri};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Names and formats of the HTTP messages of callers and backend servers.
pub trait WireDialect: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    /// Returns what is wrong with it.
    fn read_request(&self, head: request::Parts) -> Result<RequestHead, HeadFault>;

    /// The response that tells a caller `answer`.
    fn write_answer(&self, answer: &RoutedAnswer) -> Response<Full<Bytes>>;

    /// The request that asks a backend server.
    fn server_request(&self, call: &ServerRequest<'_>) -> Request<Full<Bytes>>;

    /// Reads the head of a backend server's reply.
    fn read_reply(&self, head: &response::Parts) -> ReplyHead;

    /// Whether a request to the readiness port asks for readiness.
    fn is_readiness_request(&self, head: &request::Parts) -> bool;
}

/// The head of a caller's request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The id of this attempt.
    pub id: String,
    /// The host asked, as sent.
    pub host: String,
    /// Method.
    pub method: Method,
    /// Path and query, as sent.
    pub uri: Uri,
    /// Headers to be sent on.
    pub headers: HeaderMap,
    /// How long the caller waits.
    pub time_limit: Option<Duration>,
}

/// Why a request's head can't be used.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum HeadFault {
    /// No id, or more than one.
    #[display("no single request id")]
    Id,
    /// No host, or more than one.
    #[display("no single host")]
    Host,
    /// The time limit is not a number of milliseconds.
    #[display("the time limit is not a number")]
    TimeLimit,
}

/// One call of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct ServerRequest<'ask> {
    /// The request.
    pub head: &'ask RequestHead,
    /// Its body.
    pub body: &'ask Bytes,
    /// The server that is meant.
    pub server: &'ask ServerName,
    /// How long the answer is worth something.
    pub time_left: Duration,
}

/// The head of a backend server's reply.
#[derive(Clone, Debug)]
pub struct ReplyHead {
    /// Whether the request ran.
    pub run: RunStatus,
    /// The server's signature of the answer.
    pub signature: Option<String>,
    /// The id of the request that it answers.
    pub request: Option<String>,
    /// Whether the body is encoded, although nobody asked for that.
    pub is_encoded: bool,
    /// How long the server keeps the connection open for the next call.
    pub idle_limit: Option<Duration>,
    /// Headers to be sent on.
    pub headers: HeaderMap,
}

/// What a reply says of the run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RunStatus {
    /// The server ran the request.
    #[display("ran")]
    Ran,
    /// It did not, and never will.
    #[display("rejected")]
    Rejected,
    /// It is not the server that was meant, and did not run the request.
    #[display("misdirected")]
    Misdirected,
}

/// A kind of object that the source holds.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum SourceFeed {
    /// Routes, services and limits.
    #[display("configuration")]
    Configuration,
    /// Registrations of backend servers.
    #[display("servers")]
    Servers,
    /// Fronts.
    #[display("fronts")]
    Fronts,
    /// Content that crashes servers.
    #[display("held")]
    Quarantined,
}

impl SourceFeed {
    /// All feeds.
    pub const ALL: [Self; 4] = [
        Self::Configuration,
        Self::Servers,
        Self::Fronts,
        Self::Quarantined,
    ];
}

/// One object of a feed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum SourceItem {
    /// A configuration.
    Configuration(Box<RouteTable>),
    /// A registration.
    Server(ServerRecord),
    /// A registration is gone.
    ServerGone(ServerName),
    /// A front.
    Front(FrontRecord),
    /// A front is gone.
    FrontGone(VmName),
    /// Content that crashes servers.
    Quarantined(ContentHash),
    /// Content is no longer held.
    Released(ContentHash),
    /// An object that can't be read; the rest holds.
    Unreadable {
        /// Its feed.
        feed: SourceFeed,
        /// Its name.
        name: String,
        /// What is wrong.
        cause: String,
    },
}

impl SourceItem {
    /// The name that tells the feed's items apart.
    pub fn name(&self) -> String {
        match self {
            // There is only one.
            Self::Configuration(_) => String::new(),
            Self::Server(record) => record.name.to_string(),
            Self::ServerGone(name) => name.to_string(),
            Self::Front(record) => record.vm.to_string(),
            Self::FrontGone(vm) => vm.to_string(),
            Self::Quarantined(content) | Self::Released(content) => content.0.to_string(),
            Self::Unreadable { name, .. } => name.clone(),
        }
    }
}

/// How new a list has to be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListFreshness {
    /// It has all that the store has acknowledged.
    Latest,
    /// It may be seconds old, and costs the store less.
    MayLag,
}

/// Items of a feed, and the revision from which later changes can be read.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SourceItems {
    /// The items.
    pub items: Vec<SourceItem>,
    /// The store's revision.
    pub revision: u64,
}

/// Why the source gave nothing.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum SourceError {
    /// The changes asked for are no longer known; list again.
    #[display("history is gone")]
    HistoryGone,
    /// Anything else.
    #[display("{step} {feed}: {cause}")]
    Failed {
        /// What was tried.
        step: &'static str,
        /// Of which feed.
        feed: SourceFeed,
        /// What went wrong.
        cause: String,
    },
}

impl std::error::Error for SourceError {}

impl SourceError {
    /// A word for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::HistoryGone => "history-gone",
            Self::Failed { .. } => "failed",
        }
    }
}

/// A store that holds routes, registrations and fronts.
pub trait FeedSource: Send + Sync + 'static {
    /// All items of a feed.
    fn list(
        &self,
        feed: SourceFeed,
        freshness: ListFreshness,
    ) -> impl Future<Output = Result<SourceItems, SourceError>> + Send;

    /// Waits up to `wait` for changes after `revision`.
    fn watch(
        &self,
        feed: SourceFeed,
        revision: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<SourceItems, SourceError>> + Send;

    /// Makes a front known; what stood under its name is replaced. `may_exist`
    /// says that something is likely to stand there.
    fn register(
        &self,
        front: &FrontRecord,
        may_exist: bool,
    ) -> impl Future<Output = Result<(), SourceError>> + Send;

    /// Takes a front's registration back.
    fn deregister(
        &self,
        front: &FrontRecord,
    ) -> impl Future<Output = Result<(), SourceError>> + Send;

    /// Lets all fronts know content that crashes servers.
    fn quarantine(
        &self,
        content: ContentHash,
    ) -> impl Future<Output = Result<(), SourceError>> + Send;

    /// Forgets such content.
    fn release(&self, content: ContentHash)
    -> impl Future<Output = Result<(), SourceError>> + Send;
}
