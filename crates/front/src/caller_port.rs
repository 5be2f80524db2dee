//! The callers' port, with the limits of the configuration in force.

use crate::servers::view::SharedView;
use bytes::Bytes;
use camphorway_daemon::http_port::HttpHandler;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use std::sync::Arc;

/// Passes requests to `handler`.
#[derive(Debug)]
pub struct CallerPort<Handler> {
    /// Answers requests.
    pub handler: Handler,
    /// The routes in force, with the callers' limits.
    pub view: Arc<SharedView>,
}

impl<Handler> HttpHandler for CallerPort<Handler>
where
    Handler: HttpHandler,
{
    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        self.handler.handle(request).await
    }

    fn max_head_bytes(&self) -> Option<usize> {
        let view = self.view.load();
        let routes = view.routes.as_ref()?;
        Some(routes.limits().max_header_bytes)
    }
}
