//! The port for the load balancer's readiness checks and for scraping metrics.

use crate::calls::stop_state::StopState;
use crate::gauges::FrontGauges;
use crate::metrics::FrontMetrics;
use crate::ports::WireDialect;
use crate::servers::view::SharedView;
use bytes::Bytes;
use camphorway_daemon::http_port::{HttpHandler, json_response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde_json::json;
use std::sync::Arc;

/// The path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Answers readiness checks and serves the metrics.
#[derive(Debug)]
pub struct ReadinessPort<Wire> {
    /// Recognizes readiness checks.
    pub wire: Arc<Wire>,
    /// The current routes and servers.
    pub view: Arc<SharedView>,
    /// The front's metrics.
    pub metrics: Arc<FrontMetrics>,
    /// The gauges that are read when the metrics are scraped.
    pub gauges: FrontGauges,
    /// Whether the front is stopping.
    pub stop: Arc<StopState>,
}

impl<Wire> HttpHandler for ReadinessPort<Wire>
where
    Wire: WireDialect,
{
    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, _) = request.into_parts();
        if head.uri.path() == METRICS_PATH {
            self.gauges.update(&self.metrics);
            return Response::new(Full::new(Bytes::from(self.metrics.text())));
        }
        if !self.wire.is_readiness_request(&head) {
            return json_response(StatusCode::NOT_FOUND, &json!({ "problem": "unknown path" }));
        }
        let is_stopping = self.stop.is_stopping();
        let is_ready = !is_stopping && self.view.load().is_ready();
        let status = if is_ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        json_response(
            status,
            &json!({ "ready": is_ready, "stopping": is_stopping }),
        )
    }
}
