//! What a fan-out works on: the state that fan-outs share, and one request.

use super::{CallBudgets, CallTimes};
use crate::calls::server_call::{CallSpec, ServerClient};
use crate::calls::stop_state::StopState;
use crate::feeds::feed_cache::FeedCache;
use crate::metrics::FrontMetrics;
use crate::servers::crash_guard::CrashGuard;
use crate::servers::view::SharedView;
use camphorway_model::{GatherRule, RequestRoute, ServiceName, Workspace};
use camphorway_policy::{ContentHash, RequestHomes};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

/// State shared by fan-outs.
#[derive(Debug)]
pub struct FanOutContext<Wire> {
    /// The current routes and servers.
    pub view: Arc<SharedView>,
    /// Sends calls to backend servers.
    pub client: ServerClient<Wire>,
    /// Recent latencies of calls.
    pub times: Arc<CallTimes>,
    /// Quarantines content that crashes servers.
    pub guard: Arc<CrashGuard>,
    /// The age of the routes and servers, for logs.
    pub feed_cache: Arc<FeedCache>,
    /// The budgets of hedges and retries.
    pub budgets: Arc<CallBudgets>,
    /// The front's metrics.
    pub metrics: Arc<FrontMetrics>,
    /// Whether and until when the front stops.
    pub stop: Arc<StopState>,
    /// A query is answered this long before its objective, with the parts
    /// received.
    pub answer_margin: Duration,
}

/// What a request's route and workspace together say about it.
#[derive(Clone, Debug)]
pub struct RequestTerms {
    /// The rank; 0 is the most urgent.
    pub priority: u8,
    /// The workspace that sent it, if its key is known.
    pub workspace: Option<Arc<Workspace>>,
}

impl RequestTerms {
    /// The terms of a request on `route`; the workspace's go before the route's.
    pub fn new(route: &RequestRoute, workspace: Option<Arc<Workspace>>) -> Self {
        let priority = workspace.as_ref().and_then(|workspace| workspace.priority);
        Self {
            priority: priority.unwrap_or(route.priority),
            workspace,
        }
    }

    /// The regions to which `route` and the workspace bind the request.
    pub fn homes<'terms>(&'terms self, route: &'terms RequestRoute) -> RequestHomes<'terms> {
        let workspace = self.workspace.as_deref();
        RequestHomes {
            route: Some(&route.homes),
            workspace: workspace.map(|workspace| &workspace.homes),
        }
    }
}

/// A request and its route.
#[derive(Debug)]
pub struct FanOutRequest {
    /// The request as it is sent to servers.
    pub spec: CallSpec,
    /// The route.
    pub route: Arc<RequestRoute>,
    /// What the route and the workspace together say about it.
    pub terms: RequestTerms,
    /// The service to call for each part.
    pub services: Vec<ServiceName>,
    /// The rule by which the parts are merged; `None` passes the only part's answer
    /// through.
    pub gather: Option<GatherRule>,
    /// The hash of the request's content.
    pub content: ContentHash,
    /// Whether the content may have crashed a server. If so, its first part runs
    /// before the others, and it isn't hedged, nor retried once it may have run.
    pub is_suspect: bool,
    /// The request's arrival time.
    pub arrived_at: Instant,
    /// Cancelled when the caller disconnects.
    pub disconnected: CancellationToken,
}

impl FanOutRequest {
    /// The regions to which its route and its workspace bind it.
    pub fn homes(&self) -> RequestHomes<'_> {
        self.terms.homes(&self.route)
    }
}
