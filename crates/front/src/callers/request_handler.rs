//! Handles callers' requests: reads a request, finds its route and answers it.

use crate::answer::{InvalidReason, RefusedAnswer, RejectedRequest, RoutedAnswer};
use crate::callers::room_desk::{DeskRequest, RequestTarget, RoomDesk};
use crate::calls::fan_out::{self, FanOutContext, FanOutRequest, RequestTerms};
use crate::calls::server_call::CallSpec;
use crate::ports::{RequestHead, SourceFeed, WireDialect};
use crate::servers::crash_guard::content_of;
use crate::workspaces::key_check::{KeyCheck, KeyFault};
use crate::workspaces::quota_desk::QuotaDesk;
use bytes::Bytes;
use camphorway_daemon::event;
use camphorway_daemon::http_port::{BodyError, HttpHandler, receive_body};
use camphorway_daemon::sync::lock;
use camphorway_model::{
    RefusalReason, RequestRoute, RouteTable, RouteTarget, Workspace, WorkspaceName,
};
use camphorway_policy::{ContentHash, ContentVerdict, UnsentToken, WeightedSplit, WorkForecast};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::{Extensions, request};
use hyper::{Request, Response};
use log::Level;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

/// The time after which a caller may retry while there is no configuration yet, or no
/// memory for its request.
const START_RETRY_AFTER: Duration = Duration::from_millis(250);

/// The time after which a caller may retry at another front when this one stops.
const STOP_RETRY_AFTER: Duration = Duration::from_millis(50);

/// A request may wait for its credit for this part of its time limit.
const CREDIT_WAIT_DIVISOR: u32 = 2;

/// A request that was read, and its times.
#[derive(Debug)]
struct TimedRequest {
    head: RequestHead,
    body: Bytes,
    arrived_at: Instant,
    time_limit: Duration,
    target: RequestTarget,
}

/// What the log says of a request beside its answer.
#[derive(Debug)]
struct LoggedRequest {
    id: String,
    priority: u8,
    workspace: Option<WorkspaceName>,
    /// The version of the configuration.
    version: u64,
    arrived_at: Instant,
}

/// A request's content as the quarantine classifies it.
#[derive(Clone, Copy, Debug)]
struct RequestContent {
    hash: ContentHash,
    is_suspect: bool,
}

/// Answers callers' requests.
#[derive(Debug)]
pub struct RequestHandler<Wire> {
    context: Arc<FanOutContext<Wire>>,
    keys: KeyCheck,
    /// Keeps workspaces within their quotas, where there are quotas.
    quotas: Option<Arc<QuotaDesk>>,
    /// Shares the room of services, where there are workspaces.
    room: RoomDesk,
    splits: Mutex<HashMap<String, WeightedSplit>>,
}

impl<Wire> RequestHandler<Wire>
where
    Wire: WireDialect,
{
    /// Creates a handler; once the front stops, its responses have
    /// `Connection: close`.
    pub fn new(
        context: Arc<FanOutContext<Wire>>,
        keys: KeyCheck,
        quotas: Option<Arc<QuotaDesk>>,
    ) -> Self {
        Self {
            context,
            keys,
            quotas,
            room: RoomDesk::default(),
            splits: Mutex::default(),
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> RoutedAnswer {
        let answered = self.check_and_answer(request).await;
        answered.unwrap_or_else(|rejected| {
            let answer = RoutedAnswer::from(rejected);
            self.context.metrics.count_rejection(&answer);
            answer
        })
    }

    /// The answer, or that of the first check that the request doesn't pass. Checks
    /// that hold something for the request come last.
    async fn check_and_answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<RoutedAnswer, RejectedRequest> {
        let arrived_at = self.context.client.clock.now();
        let (mut head, body) = request.into_parts();
        let extensions = std::mem::take(&mut head.extensions);
        let mut head = self.read_head(head)?;
        let routes = self.routes_in_force(&head)?;
        let route = find_route(&head, &routes)?;
        let workspace = self.identify(&mut head, &route, &routes)?;
        let terms = RequestTerms::new(&route, workspace);
        let body = self
            .receive_body(&head, &extensions, body, &route, &routes)
            .await?;
        let time_limit = head
            .time_limit
            .map_or(route.time_limit, |limit| limit.min(route.time_limit));
        self.check_stop(&head, &route, time_limit)?;
        let content = self.check_content(&head, &body)?;
        let target = self.choose_target(&route);
        if !routes.workspaces().is_empty() {
            let asked = DeskRequest {
                route: &route,
                terms: &terms,
                target: &target,
                time_left: self.time_left(&route, time_limit, arrived_at),
            };
            self.check_room(&head, &asked)?;
        }
        // A request that is refused for another reason must not use up its credit.
        let wait_until = arrived_at + time_limit / CREDIT_WAIT_DIVISOR;
        self.check_quota(&head, &terms, wait_until).await?;
        let request = TimedRequest {
            head,
            body,
            arrived_at,
            time_limit,
            target,
        };
        let logged = LoggedRequest {
            id: request.head.id.clone(),
            priority: terms.priority,
            workspace: terms
                .workspace
                .as_ref()
                .map(|workspace| workspace.name.clone()),
            version: routes.version(),
            arrived_at,
        };
        let (answer, extra_calls) = self.fan_out(&route, terms, request, content).await;
        self.log(&logged, &route, &answer, extra_calls);
        Ok(answer)
    }

    fn read_head(&self, head: request::Parts) -> Result<RequestHead, RejectedRequest> {
        self.context
            .client
            .wire
            .read_request(head)
            .map_err(|fault| {
                event!(Info, "request-malformed", fault = fault);
                RejectedRequest::Invalid(InvalidReason::BadRequest)
            })
    }

    fn routes_in_force(&self, head: &RequestHead) -> Result<Arc<RouteTable>, RejectedRequest> {
        let view = self.context.view.load();
        let routes = view.routes.clone().filter(|_| view.is_ready());
        routes.ok_or_else(|| {
            event!(
                Info,
                "request-refused",
                request = head.id,
                reason = "no-configuration"
            );
            refused(RefusalReason::Unavailable, START_RETRY_AFTER)
        })
    }

    /// The workspace that sent the request, if the configuration has workspaces.
    fn identify(
        &self,
        head: &mut RequestHead,
        route: &RequestRoute,
        routes: &RouteTable,
    ) -> Result<Option<Arc<Workspace>>, RejectedRequest> {
        let client = &self.context.client;
        let now = client.clock.now();
        let identified = self
            .keys
            .identify(client.wire.as_ref(), head, route, routes, now);
        identified.map_err(|fault| {
            let metrics = &self.context.metrics;
            metrics.count_key_refusal(&fault.to_string());
            event!(
                Info,
                "request-key-refused",
                request = head.id,
                route = route.name,
                cause = fault,
                version = routes.version()
            );
            match fault {
                KeyFault::Missing | KeyFault::Malformed | KeyFault::Unknown => {
                    RejectedRequest::Invalid(InvalidReason::UnknownKey)
                }
                KeyFault::Unconfirmed => refused(RefusalReason::Unavailable, START_RETRY_AFTER),
            }
        })
    }

    async fn receive_body(
        &self,
        head: &RequestHead,
        extensions: &Extensions,
        body: Incoming,
        route: &RequestRoute,
        routes: &RouteTable,
    ) -> Result<Bytes, RejectedRequest> {
        let received = receive_body(extensions, body, routes.limits().max_body_bytes);
        let clock = &self.context.client.clock;
        let received = clock.timeout(route.time_limit, received).await;
        received
            .unwrap_or(Err(BodyError::TooSlow))
            .map_err(|error| {
                event!(
                    Info,
                    "request-body-refused",
                    request = head.id,
                    cause = error
                );
                refused_body(error)
            })
    }

    fn check_stop(
        &self,
        head: &RequestHead,
        route: &RequestRoute,
        time_limit: Duration,
    ) -> Result<(), RejectedRequest> {
        if self.ends_before_stop(route, time_limit) {
            return Ok(());
        }
        event!(
            Info,
            "request-refused",
            request = head.id,
            reason = "stopping"
        );
        Err(refused(RefusalReason::Stopping, STOP_RETRY_AFTER))
    }

    fn check_content(
        &self,
        head: &RequestHead,
        body: &Bytes,
    ) -> Result<RequestContent, RejectedRequest> {
        let hash = content_of(head, body);
        let verdict = self.context.guard.admit(hash);
        if let ContentVerdict::Quarantined(remaining) = verdict {
            event!(Warn, "request-held", request = head.id, content = hash.0);
            return Err(refused(RefusalReason::Quarantined, remaining));
        }
        Ok(RequestContent {
            hash,
            is_suspect: verdict == ContentVerdict::SuspectAlone,
        })
    }

    /// The time until the answer to a request that arrived at `arrived_at` is useless.
    fn time_left(
        &self,
        route: &RequestRoute,
        time_limit: Duration,
        arrived_at: Instant,
    ) -> Duration {
        let deadline = arrived_at + fan_out::time_limit(route, time_limit);
        deadline.saturating_duration_since(self.context.client.clock.now())
    }

    fn check_room(
        &self,
        head: &RequestHead,
        asked: &DeskRequest<'_>,
    ) -> Result<(), RejectedRequest> {
        let now = self.context.client.clock.now();
        let view = self.context.view.load();
        let admitted = self.room.admit(asked, &view, now);
        admitted.map_err(|refusal| {
            event!(
                Info,
                "request-refused",
                request = head.id,
                reason = refusal.cause,
                route = asked.route.name,
                priority = asked.terms.priority,
                service = refusal.service,
                retry_after_ms = refusal.retry_after.as_millis()
            );
            let rejected = refused(RefusalReason::Overloaded, refusal.retry_after);
            let metrics = &self.context.metrics;
            metrics.count_room_refusal(asked.terms.priority, refusal.cause);
            if let Some(workspace) = &asked.terms.workspace {
                let answer = RoutedAnswer::from(rejected.clone());
                metrics.count_workspace_request(&workspace.name, &answer);
            }
            rejected
        })
    }

    async fn check_quota(
        &self,
        head: &RequestHead,
        terms: &RequestTerms,
        wait_until: Instant,
    ) -> Result<(), RejectedRequest> {
        let (Some(quotas), Some(workspace)) = (&self.quotas, &terms.workspace) else {
            return Ok(());
        };
        let obtained = quotas.obtain(workspace, wait_until).await;
        obtained.map_err(|refusal| {
            event!(
                Info,
                "request-over-quota",
                request = head.id,
                workspace = workspace.name,
                retry_after_ms = refusal.retry_after.as_millis(),
                decided_by = refusal.decider
            );
            let rejected = refused(RefusalReason::OverQuota, refusal.retry_after);
            let answer = RoutedAnswer::from(rejected.clone());
            let metrics = &self.context.metrics;
            metrics.count_workspace_request(&workspace.name, &answer);
            rejected
        })
    }

    async fn fan_out(
        &self,
        route: &Arc<RequestRoute>,
        terms: RequestTerms,
        request: TimedRequest,
        content: RequestContent,
    ) -> (RoutedAnswer, usize) {
        let arrived_at = request.arrived_at;
        let disconnected = CancellationToken::new();
        // When the caller disconnects, this future is dropped, and the guard
        // cancels the token.
        let guard = disconnected.clone().drop_guard();
        let request = FanOutRequest {
            spec: CallSpec {
                head: request.head,
                body: request.body,
                idempotent: route.idempotent,
                deadline: arrived_at + request.time_limit,
            },
            route: Arc::clone(route),
            terms,
            services: request.target.services,
            gather: request.target.gather,
            content: content.hash,
            is_suspect: content.is_suspect,
            arrived_at,
            disconnected,
        };
        let token = UnsentToken::for_new_request();
        let answer = fan_out::run(&self.context, request, token).await;
        guard.disarm();
        answer
    }

    /// Whether a request is expected to end before the front stops, if it does.
    fn ends_before_stop(&self, route: &RequestRoute, time_limit: Duration) -> bool {
        let Some(window) = self.context.stop.window() else {
            return true;
        };
        let forecast = WorkForecast {
            longest: self.context.times.longest(route),
            time_limit: fan_out::time_limit(route, time_limit),
        };
        window.accepts(&forecast, self.context.client.clock.now())
    }

    fn choose_target(&self, route: &RequestRoute) -> RequestTarget {
        match &route.target {
            RouteTarget::Service(service) => RequestTarget {
                services: vec![service.clone()],
                gather: None,
            },
            RouteTarget::Gather(rule) => RequestTarget {
                services: rule.shards.clone(),
                gather: Some(rule.clone()),
            },
            RouteTarget::Split(parts) => {
                let weights: Vec<f64> = parts.iter().map(|part| part.weight).collect();
                let mut splits = lock(&self.splits);
                let split = splits.entry(route.name.clone()).or_default();
                let chosen = split.next(&weights).and_then(|index| parts.get(index));
                let service = chosen.map(|part| part.service.clone());
                RequestTarget {
                    services: service.into_iter().collect(),
                    gather: None,
                }
            }
        }
    }

    fn log(
        &self,
        request: &LoggedRequest,
        route: &RequestRoute,
        answer: &RoutedAnswer,
        extra_calls: usize,
    ) {
        let now = self.context.client.clock.now();
        let took = now.saturating_duration_since(request.arrived_at);
        let priority = request.priority.to_string();
        self.context.metrics.observe_answer(&priority, answer, took);
        if let Some(workspace) = &request.workspace {
            let metrics = &self.context.metrics;
            metrics.count_workspace_request(workspace, answer);
        }
        let is_good = took <= route.objective && answer.is_complete();
        let age = |feed| match self.context.feed_cache.age(feed, now) {
            Some(age) => age.as_millis().to_string(),
            None => "none".to_owned(),
        };
        // Warnings are kept when log lines have to be dropped.
        let level = if is_good { Level::Info } else { Level::Warn };
        if log::log_enabled!(level) {
            let pairs: [(&str, &dyn std::fmt::Display); 11] = [
                ("request", &request.id),
                ("route", &route.name),
                ("priority", &request.priority),
                ("version", &request.version),
                ("version_age_ms", &age(SourceFeed::Configuration)),
                ("servers_age_ms", &age(SourceFeed::Servers)),
                ("outcome", &answer.outcome()),
                ("reason", &answer.reason()),
                ("extra", &extra_calls),
                ("objective_ms", &route.objective.as_millis()),
                ("took_us", &took.as_micros()),
            ];
            let line = pairs
                .iter()
                .fold(String::from("event=request-done"), |line, (key, value)| {
                    event::with_pair(line, key, value)
                });
            let line = match &request.workspace {
                Some(workspace) => event::with_pair(line, "workspace", workspace),
                None => line,
            };
            log::log!(level, "{line}");
        }
    }
}

impl<Wire> HttpHandler for RequestHandler<Wire>
where
    Wire: WireDialect,
{
    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        self.context.metrics.running.inc();
        let running = RunningRequest(&self.context.metrics.running);
        let answer = self.answer(request).await;
        let mut response = self.context.client.wire.write_answer(&answer);
        if self.context.stop.is_stopping() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        drop(running);
        response
    }
}

/// Counts a request as running until dropped.
struct RunningRequest<'gauge>(&'gauge prometheus::IntGauge);

impl Drop for RunningRequest<'_> {
    fn drop(&mut self) {
        self.0.dec();
    }
}

fn find_route(
    head: &RequestHead,
    routes: &RouteTable,
) -> Result<Arc<RequestRoute>, RejectedRequest> {
    let path = head.uri.path();
    routes.find(&head.host, path).cloned().ok_or_else(|| {
        event!(
            Info,
            "request-without-route",
            request = head.id,
            host = head.host,
            path = path,
            version = routes.version()
        );
        RejectedRequest::Invalid(InvalidReason::NoRoute)
    })
}

/// The refusal of a request of which nothing was sent.
fn refused(reason: RefusalReason, retry_after: Duration) -> RejectedRequest {
    let proof = UnsentToken::for_new_request().refuse(reason);
    RejectedRequest::Refused(RefusedAnswer::new(&proof, retry_after))
}

/// The answer to a request whose body was not received.
fn refused_body(error: BodyError) -> RejectedRequest {
    let reason = match error {
        BodyError::TooLarge => InvalidReason::TooLarge,
        BodyError::TooSlow => InvalidReason::TooSlow,
        BodyError::Incomplete | BodyError::Malformed => InvalidReason::BadRequest,
        BodyError::NoMemory => {
            return refused(RefusalReason::Overloaded, START_RETRY_AFTER);
        }
    };
    RejectedRequest::Invalid(reason)
}
