//! The operators' HTTP port: health checks for the balancer, metrics, and a dump
//! of the daemon's state. No response contains secrets.

use crate::control::view::SharedView;
use crate::control::{ControlHandle, ControlInput};
use crate::entry::RequestEntry;
use crate::http_port::{HttpHandler, json_response};
use bytes::Bytes;
use camphorway_model::{CallerName, RequestRank, ServiceName};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Handles requests to the operators' port.
#[derive(Debug)]
pub struct AdminPort {
    /// The request entry, for the state of traffic.
    pub entry: Arc<RequestEntry>,
    /// The current view.
    pub view: Arc<SharedView>,
    /// The control thread.
    pub control: ControlHandle,
    /// Whether the daemon is stopping.
    pub is_stopping: Arc<AtomicBool>,
}

impl AdminPort {
    fn ready(&self) -> Response<Full<Bytes>> {
        let view = self.view.load();
        let is_stopping = self.is_stopping.load(Ordering::Relaxed);
        let problem = if is_stopping {
            Some("stopping")
        } else if view.generation.0 == 0 {
            Some("no configuration yet")
        } else {
            None
        };
        let status = match problem {
            Some(_) => StatusCode::SERVICE_UNAVAILABLE,
            None => StatusCode::OK,
        };
        json_response(
            status,
            &json!({ "ready": problem.is_none(), "problem": problem }),
        )
    }

    async fn state(&self) -> Response<Full<Bytes>> {
        let (reply, dump) = async_channel::bounded(1);
        self.control.send(ControlInput::Dump(reply)).await;
        let mut state = dump.recv().await.unwrap_or(Value::Null);
        let context = self.entry.context();
        let reports: Vec<_> = context
            .holder
            .endpoints()
            .iter()
            .map(|endpoint| endpoint.report())
            .collect();
        state["servers"] = json!(reports);
        state["wire"] = json!(context.links.wire_count());
        state["claims-waiting"] = json!(context.claims.waiting());
        state["requests-running"] = json!(context.metrics.requests_running.get());
        state["groups-running"] = json!(context.metrics.groups_running.get());
        state["stopping"] = json!(self.is_stopping.load(Ordering::Relaxed));
        state["invariant-breaches"] = json!(camphorway_policy::invariant::violations());
        json_response(StatusCode::OK, &state)
    }

    /// Reports the rule and the groups that would apply to a request.
    fn explain(&self, query: &str) -> Response<Full<Bytes>> {
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let Some(service) = value("service") else {
            let body = json!({ "problem": "service is missing" });
            return json_response(StatusCode::BAD_REQUEST, &body);
        };
        let view = self.view.load();
        let service = ServiceName::new(service);
        let caller = CallerName::new(value("caller").unwrap_or_default());
        let rule = view.config.rules.find(&service, &caller, value("kind"));
        let rank = rule.map_or(RequestRank::Normal, |rule| rule.rank);
        let rank_rule = &view.config.rules.ranks[rank];
        let layout = view.services.get(&service);
        let routes = layout
            .and_then(|layout| layout.routes.last())
            .map(|routes| {
                let mut groups: Vec<String> = routes
                    .iter()
                    .filter_map(|route| route.first())
                    .map(ToString::to_string)
                    .collect();
                groups.sort();
                groups.dedup();
                groups
            });
        let holders: Option<Vec<Value>> = routes.as_ref().map(|groups| {
            let seats = view
                .seats
                .iter()
                .filter(|(id, _)| groups.contains(&id.to_string()));
            seats
                .map(|(id, seats)| {
                    let names: Vec<String> =
                        seats.seats.iter().map(|seat| seat.vm.to_string()).collect();
                    json!({ "group": id.to_string(), "seats": names })
                })
                .collect()
        });
        let body = json!({
            "service": service,
            "known": view.config.inventory.services.contains_key(&service),
            "rule": rule.map(|rule| rule.name.clone()),
            "rank": rank,
            "idempotent": rule.is_none_or(|rule| rule.idempotent),
            "canary": rule.map_or(crate::entry::DEFAULT_CANARY, |rule| rule.canary),
            "deadline-ms": rank_rule.deadline.as_millis() as u64,
            "guaranteed-share": rank_rule.share,
            "newest-snapshot": layout.and_then(|layout| layout.layout.snapshots.last()).map(|layout| layout.snapshot),
            "nearest-groups": holders,
            "generation": view.generation,
        });
        json_response(StatusCode::OK, &body)
    }

    fn metrics(&self) -> Response<Full<Bytes>> {
        let text = self.entry.context().metrics.render();
        let mut response = Response::new(Full::new(Bytes::from(text)));
        let value = hyper::header::HeaderValue::from_static("text/plain; version=0.0.4");
        response
            .headers_mut()
            .insert(hyper::header::CONTENT_TYPE, value);
        response
    }
}

impl HttpHandler for AdminPort {
    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if request.method() != Method::GET {
            return json_response(
                StatusCode::METHOD_NOT_ALLOWED,
                &json!({ "problem": "allowed: GET" }),
            );
        }
        match request.uri().path() {
            "/healthz" => json_response(StatusCode::OK, &json!({ "healthy": true })),
            "/readyz" => self.ready(),
            "/metrics" => self.metrics(),
            "/state" => self.state().await,
            "/explain" => self.explain(request.uri().query().unwrap_or_default()),
            _ => {
                let problem = "allowed: /healthz, /readyz, /metrics, /state, /explain";
                json_response(StatusCode::NOT_FOUND, &json!({ "problem": problem }))
            }
        }
    }
}
