//! The HTTP port for callers.

use crate::control::view::SharedView;
use crate::entry::RequestEntry;
use crate::entry::request::CallerRequest;
use crate::http_port::{BodyError, HttpHandler, json_response, receive_body};
use crate::metrics::DaemonMetrics;
use bytes::Bytes;
use camphorway_model::{AnswerOutcome, RefusalReason};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::json;
use std::sync::Arc;

/// Serves callers' requests over HTTP.
#[derive(Debug)]
pub struct CallerPort {
    entry: Arc<RequestEntry>,
    view: Arc<SharedView>,
}

/// Counts a request as running until dropped, also if the caller disconnects.
struct RunningGuard<'metrics>(&'metrics DaemonMetrics);

impl<'metrics> RunningGuard<'metrics> {
    fn new(metrics: &'metrics DaemonMetrics) -> Self {
        metrics.requests_running.inc();
        Self(metrics)
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.requests_running.dec();
    }
}

impl CallerPort {
    /// Creates a port whose requests `entry` answers.
    pub fn new(entry: Arc<RequestEntry>, view: Arc<SharedView>) -> Self {
        Self { entry, view }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let context = self.entry.context();
        let (head, body) = request.into_parts();
        let limits = &context.limits;
        if context.metrics.requests_running.get() > limits.max_requests as i64 {
            let problem = "too many requests at once";
            return refusal(
                StatusCode::SERVICE_UNAVAILABLE,
                RefusalReason::Overloaded,
                problem,
            );
        }
        let received = receive_body(&head.extensions, body, limits.max_body_bytes);
        let received = context.clock.timeout(limits.read_timeout, received).await;
        let body = match received.unwrap_or(Err(BodyError::TooSlow)) {
            Ok(body) => body,
            Err(error) => {
                let reason = match error {
                    BodyError::NoMemory => RefusalReason::Overloaded,
                    BodyError::Incomplete
                    | BodyError::Malformed
                    | BodyError::TooLarge
                    | BodyError::TooSlow => RefusalReason::BadRequest,
                };
                return refusal(error.status(), reason, &error.to_string());
            }
        };
        let view = self.view.load();
        let request = match CallerRequest::read(&head.headers, body, &view) {
            Ok(request) => request,
            Err(error) => {
                return refusal(
                    StatusCode::BAD_REQUEST,
                    RefusalReason::BadRequest,
                    &error.to_string(),
                );
            }
        };
        let id = request.id;
        let answer = self.entry.answer(request).await;
        answer.to_http(id)
    }
}

impl HttpHandler for CallerPort {
    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let _running = RunningGuard::new(&self.entry.context().metrics);
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/query") => self.answer(request).await,
            (_, "/query") => refusal(
                StatusCode::METHOD_NOT_ALLOWED,
                RefusalReason::BadRequest,
                "allowed: POST",
            ),
            _ => refusal(
                StatusCode::NOT_FOUND,
                RefusalReason::BadRequest,
                "allowed: /query",
            ),
        }
    }
}

/// The response to a request refused before anything was sent for it.
fn refusal(status: StatusCode, reason: RefusalReason, problem: &str) -> Response<Full<Bytes>> {
    let outcome = AnswerOutcome::NotRun;
    let body = json!({ "outcome": outcome, "reason": reason, "problem": problem });
    let mut response = json_response(status, &body);
    let value = hyper::header::HeaderValue::from_static("not-run");
    response.headers_mut().insert("camphorway-outcome", value);
    if let Ok(value) = hyper::header::HeaderValue::from_str(&reason.to_string()) {
        response.headers_mut().insert("camphorway-reason", value);
    }
    response
}
